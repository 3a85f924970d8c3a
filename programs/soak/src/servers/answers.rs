//! How a mock server answers: prefills that leave a state, hand-overs that take it, streams, and releases.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::connection::{Call, Connection, Ended};
use super::places::Place;
use super::{lock, LOOK};
use crate::record::Seen;
use crate::spoilt::{self, Shape, Spoil};

const RELEASED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
const GONE: &[u8] = b"HTTP/1.1 410 Gone\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const REPORT: &str = "util=0.1,queue=0,x0=0.1";
const DECLINED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
/// What follows an answer that has a second one, and what comes before another.
const SECOND_ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const INTERIM_ANSWER: &str = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Events of a slow answer that are slow, and the bytes of such an event that come one by one.
const SLOW_EVENTS: usize = 2;
const SLOW_BYTES: usize = 8;
/// Share of prefills that end well though their connection has just ended.
const LEFT_SHARE: f64 = 0.3;
/// Requests that may wait at a server with a limited capacity.
const MAX_WAITING: usize = 30;
/// Where answers are long the first token comes early, and the work is in the stream.
const FIRST_TOKEN_FRACTION: f64 = 0.02;
const SHORT_STREAM_PAUSE_S: f64 = 0.02;
const SECONDS_PER_EVENT: f64 = 0.25;

impl Connection {
    /// Notes an attempt whose last byte has come. A cold server falls where it is too much.
    fn arrived(&mut self, call: &Call) {
        let (id, server) = (call.id.clone(), self.server.number);
        self.attempt = Some(id.clone());
        self.was_hung = false;
        let work = call.work.weight(self.server.decode);
        let mut cold = lock(&self.server.cold);
        let at = self.servers.record.note(Seen::Arrived {
            id,
            server,
            decode: self.server.decode,
            told_ms: call.told_ms,
            work,
            held_up_s: self.held_up.as_secs_f64(),
        });
        if cold.as_ref().is_some_and(|cold| cold.is_warm(at)) {
            *cold = None;
        }
        if cold
            .as_mut()
            .is_some_and(|cold| cold.receive(at, work, true).is_some())
        {
            *cold = None;
            self.servers.record.note(Seen::Fell { server });
            self.server.down.store(true, Ordering::SeqCst);
        }
    }

    pub(super) fn report(&self) -> String {
        if self.servers.slow_start.is_none() {
            return REPORT.to_string();
        }
        let slots = self.servers.slots(self.server.decode);
        let busy = self.server.busy.load(Ordering::SeqCst) as f64 / slots as f64;
        let waiting = self.server.waiting.load(Ordering::SeqCst);
        format!("util={busy:.2},queue={waiting},x0={busy:.2}")
    }

    /// Works on a request up to its answer: for `for_s`, or as long as the server's capacity and the requests before it
    /// make it.
    fn work_on(&mut self, call: &Call, for_s: f64) -> Result<Service, Ended> {
        let Some(terms) = self.servers.slow_start_of(&self.server) else {
            return self.work(for_s).map(|()| Service::default());
        };
        let server = Arc::clone(&self.server);
        let slots = self.servers.slots(server.decode);
        let place = Place::take(&server, |server| &server.waiting);
        let slot = loop {
            match Place::take_below(slots, &server, |server| &server.busy) {
                Some(slot) => break slot,
                None => self.work(LOOK.as_secs_f64())?,
            }
        };
        drop(place);
        let work = call.work.at(server.decode);
        let service_s = work * slots as f64 / terms.warm_rate;
        if !self.servers.works_in_stream(server.decode) {
            self.work(service_s / server.capacity())?;
            return Ok(Service::default());
        }
        self.work(FIRST_TOKEN_FRACTION * service_s / server.capacity())?;
        Ok(Service {
            stream_s: (1.0 - FIRST_TOKEN_FRACTION) * service_s,
            slot: Some(slot),
        })
    }

    fn is_full(&self) -> bool {
        let waiting = self.server.waiting.load(Ordering::SeqCst);
        self.servers.slow_start.is_some() && waiting >= MAX_WAITING
    }

    fn decline(&mut self) -> Result<(), Ended> {
        let said = self.say(DECLINED);
        self.end_attempt(true);
        said
    }

    fn is_reset(&mut self) -> bool {
        let share = self.servers.resets.load(Ordering::SeqCst) as f64 / 1000.0;
        self.chance.happens(share)
    }

    pub(super) fn release(&mut self, call: &Call) -> Result<(), Ended> {
        if !call.path.starts_with("/bootstrap/rooms/") {
            return self.say(&plain("404 Not Found", "", REPORT));
        }
        {
            let mut states = lock(&self.servers.states);
            let waits = states.waiting.get(&call.id).is_some_and(|n| *n > 0);
            if !waits && states.held.remove(&call.id).is_some() {
                self.note(Seen::Released {
                    id: call.id.clone(),
                });
            }
        }
        self.say(std::str::from_utf8(RELEASED).unwrap_or_default())
    }

    pub(super) fn prefill(&mut self, call: &Call) -> Result<(), Ended> {
        self.arrived(call);
        if self.is_full() {
            return self.decline();
        }
        let told_until = Instant::now() + Duration::from_millis(call.told_ms);
        let breaks = self.is_reset();
        let for_s = self.chance.between(0.005, 0.06);
        let worked = self.work_on(call, for_s);
        let is_overdue = self.was_hung && Instant::now() > told_until;
        let ends_well =
            !is_overdue && (!breaks && worked.is_ok() || self.chance.happens(LEFT_SHARE));
        if ends_well {
            // Under the lock, as a release may come in the same moment.
            let mut states = lock(&self.servers.states);
            states.held.insert(call.id.clone(), self.server.number);
            self.note(Seen::Held {
                id: call.id.clone(),
            });
        }
        let said = match worked {
            Ok(_) if breaks => self.reset(),
            Ok(_) => {
                let report = self.report();
                self.say(&plain("202 Accepted", r#"{"cached_tokens":0}"#, &report))
            }
            Err(ended) => Err(ended),
        };
        // It is out until its answer has left, or its connection has ended.
        self.end_attempt(false);
        said
    }

    pub(super) fn decode(&mut self, call: &Call) -> Result<(), Ended> {
        if self.is_full() {
            self.arrived(call);
            return self.decline();
        }
        *lock(&self.servers.states)
            .waiting
            .entry(call.id.clone())
            .or_default() += 1;
        self.transfer = Some(call.id.clone());
        self.arrived(call);
        let breaks = self.is_reset();
        let for_s = self.chance.between(0.005, 0.08);
        let worked = self.work_on(call, for_s);
        let is_taken = {
            let servers = Arc::clone(&self.servers);
            let mut states = lock(&servers.states);
            let waited = self.end_transfer(&mut states);
            let is_taken = waited && worked.is_ok() && states.held.remove(&call.id).is_some();
            if is_taken {
                self.note(Seen::Taken {
                    id: call.id.clone(),
                });
            }
            is_taken
        };
        if worked.is_ok() && !is_taken {
            let said = self.say(std::str::from_utf8(GONE).unwrap_or_default());
            self.end_attempt(true);
            return said;
        }
        let ended = worked.and_then(|service| self.stream_events(call, breaks, service));
        self.end_attempt(false);
        ended
    }

    fn stream_events(&mut self, call: &Call, breaks: bool, service: Service) -> Result<(), Ended> {
        let events = match service.slot {
            Some(_) => 2 + (service.stream_s / SECONDS_PER_EVENT) as usize,
            None => 2 + self.chance.below(6),
        };
        let broken_at = if breaks {
            self.chance.below(events)
        } else {
            events
        };
        let shape = spoilt::draw(
            &mut self.chance,
            self.servers.may_spoil,
            self.servers.may_drag,
        );
        let spoilt_at = match &shape {
            Shape::Spoilt(spoil) if spoil.before_head => return self.spoil(call, spoil),
            // At least one event comes before it, by which the stream has begun.
            Shape::Spoilt(_) => 1 + self.chance.below(events - 1),
            _ => events,
        };
        if shape == Shape::Interim {
            self.say(INTERIM_ANSWER)?;
        }
        self.say(STREAM_HEAD)?;
        for event in 0..events {
            if event == broken_at {
                return self.reset();
            }
            if let (Shape::Spoilt(spoil), true) = (&shape, event == spoilt_at) {
                return self.spoil(call, spoil);
            }
            self.say_event(call, event, &shape)?;
            let pause_s = match service.slot {
                Some(_) => service.stream_s / events as f64 / self.server.capacity(),
                None => SHORT_STREAM_PAUSE_S,
            };
            self.work(pause_s)?;
        }
        let usage = call.work.output_tokens.map_or(String::new(), |tokens| {
            chunk(&format!(
                "data: {{\"choices\":[],\"usage\":{{\"completion_tokens\":{tokens:.0},\
                 \"prompt_tokens_details\":{{\"cached_tokens\":0}}}}}}\n\n"
            ))
        });
        let mut end = format!("{usage}{}0\r\n\r\n", chunk("data: [DONE]\n\n"));
        if shape == Shape::SecondAnswer {
            end.push_str(SECOND_ANSWER);
        }
        self.say(&end)?;
        self.note(Seen::StreamWhole {
            id: call.id.clone(),
        });
        Ok(())
    }

    /// Writes one whole event, and notes it.
    fn say_event(&mut self, call: &Call, number: usize, shape: &Shape) -> Result<(), Ended> {
        let event = chunk(&format!(
            "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{number}\"}}}}]}}\n\n"
        ));
        let is_slow = (1..=SLOW_EVENTS).contains(&number);
        match shape {
            Shape::SlowEvents(pause_s) if is_slow => {
                self.work(*pause_s)?;
                self.say(&event)?;
            }
            Shape::SlowBytes(event_s) if is_slow => {
                let (first, rest) = event.split_at(event.len() - SLOW_BYTES);
                self.say(first)?;
                for byte in rest.chars() {
                    self.work(event_s / SLOW_BYTES as f64)?;
                    self.say(&byte.to_string())?;
                }
            }
            _ => self.say(&event)?,
        }
        self.note(Seen::Event {
            id: call.id.clone(),
        });
        Ok(())
    }

    /// Spoils an answer, and goes on with it until the other side ends the connection.
    fn spoil(&mut self, call: &Call, spoil: &Spoil) -> Result<(), Ended> {
        self.note(Seen::Spoilt {
            id: call.id.clone(),
        });
        self.say(&spoil.once)?;
        loop {
            self.work(spoil.every.as_secs_f64())?;
            self.say(&spoil.repeated)?;
        }
    }
}

/// What is left of the work on a request when its answer begins.
#[derive(Default)]
struct Service {
    /// Work of the stream, in seconds of a warm server; it holds the slot.
    stream_s: f64,
    slot: Option<Place>,
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// An answer with a body.
pub(super) fn plain(status: &str, body: &str, report: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nSrv-Load: {report}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
