//! The simulator's wire: framing, the start settings and the map of instances. It decides nothing.

use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, Read, Write};

use bitternlatch_output_length::Timed;
use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;
use bitternlatch_routing_settings::{read_settings, Facts};

/// Why a run had to stop: what was wrong and where.
#[derive(Debug)]
pub struct WireError(String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

impl From<io::Error> for WireError {
    fn from(e: io::Error) -> Self {
        WireError(format!("input or output failed: {e}"))
    }
}

type Result<T> = std::result::Result<T, WireError>;

/// Whether lengths of answers are learnt and told to the module; the platform's node has the same switch.
const LEARNS: bool = false;
const HEADER_BYTES: usize = 16;
const LIST_NUMBERS: u32 = 16;
const PEER_BYTES: usize = 256;

fn bad<T>(what: impl Into<String>) -> Result<T> {
    Err(WireError(what.into()))
}

/// A cursor over one frame; every read is checked against the frame's end.
struct Cursor<'a> {
    data: &'a [u8],
    at: usize,
}

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8]> {
        match self
            .at
            .checked_add(n)
            .and_then(|end| self.data.get(self.at..end))
        {
            Some(bytes) => {
                self.at += n;
                Ok(bytes)
            }
            None => bad(format!(
                "frame ends at byte {} inside {what} at byte {}",
                self.data.len(),
                self.at
            )),
        }
    }

    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N]> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N, what)?);
        Ok(out)
    }

    fn u8(&mut self, what: &str) -> Result<u8> {
        Ok(self.array::<1>(what)?[0])
    }

    fn u16(&mut self, what: &str) -> Result<u16> {
        Ok(u16::from_le_bytes(self.array(what)?))
    }

    fn u32(&mut self, what: &str) -> Result<u32> {
        Ok(u32::from_le_bytes(self.array(what)?))
    }

    fn u64(&mut self, what: &str) -> Result<u64> {
        Ok(u64::from_le_bytes(self.array(what)?))
    }

    fn f32(&mut self, what: &str) -> Result<f64> {
        Ok(f64::from(f32::from_le_bytes(self.array(what)?)))
    }

    fn f64(&mut self, what: &str) -> Result<f64> {
        Ok(f64::from_le_bytes(self.array(what)?))
    }

    fn report(&mut self, what: &str) -> Result<Vec<f64>> {
        let n = self.u8(what)?;
        (0..n).map(|_| self.f32(what)).collect()
    }

    fn outcome(&mut self, what: &str) -> Result<Outcome> {
        let at = self.at;
        Ok(match self.u8(what)? {
            0 => Outcome::Served,
            202 => Outcome::PrefillDone,
            255 => Outcome::Error,
            254 => Outcome::Rejected {
                state_missing: false,
            },
            253 => Outcome::TimedOut,
            252 => Outcome::ConnectFailed,
            251 => Outcome::Reset,
            250 => Outcome::Cancelled,
            249 => Outcome::NotSent,
            code => return bad(format!("unknown outcome {code} in {what} at byte {at}")),
        })
    }
}

/// Reads the start settings as the wire carries them; keys that are not known are skipped.
pub fn parse_settings(text: &str) -> Result<Settings> {
    let facts = Facts::from_lines(text).map_err(|e| WireError(e.to_string()))?;
    read_settings(&facts).map_err(|e| WireError(e.to_string()))
}

/// All instances of one process and the numbered lists they refer to.
#[derive(Default)]
pub struct Adapter {
    routers: BTreeMap<u16, (Router, Timed)>,
    lists: BTreeMap<u32, Vec<ServerEntry>>,
    actions: Vec<Action>,
}

impl Adapter {
    /// Answers one whole batch frame with one whole reply frame.
    pub fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>> {
        let mut c = Cursor { data: frame, at: 0 };
        let count = c.u32("the record count")?;
        let size = c.u32("the frame size")?;
        if size as usize != frame.len() {
            return bad(format!("frame says {size} bytes but has {}", frame.len()));
        }
        let now = c.f64("the clock")?;
        if !now.is_finite() {
            return bad("the clock is not a finite number");
        }
        let mut reply = Reply::default();
        let mut who = None;
        for i in 0..count {
            self.record(&mut c, now, &mut who, &mut reply)
                .map_err(|e| WireError(format!("record {i}: {e}")))?;
        }
        if c.at != frame.len() {
            return bad(format!(
                "{} bytes left after {count} records",
                frame.len() - c.at
            ));
        }
        Ok(reply.finish())
    }

    fn record(
        &mut self,
        c: &mut Cursor,
        now: f64,
        who: &mut Option<u16>,
        reply: &mut Reply,
    ) -> Result<()> {
        let at = c.at;
        let code = c.u8("a record code")?;
        match code {
            13 => {
                *who = Some(c.u16("at")?);
                return Ok(());
            }
            12 => return self.inventory(c),
            _ => {}
        }
        let Some(instance) = *who else {
            return bad(format!(
                "event {code} at byte {at} comes before any instance"
            ));
        };
        match code {
            1 => return self.start(c, instance),
            10 => {
                self.routers.remove(&instance);
                return Ok(());
            }
            _ => {}
        }
        let mut event = self.event(c, code, at)?;
        let Some((router, lengths)) = self.routers.get_mut(&instance) else {
            return bad(format!(
                "event {code} at byte {at} is for instance {instance}, which has not started"
            ));
        };
        self.actions.clear();
        if LEARNS {
            lengths.see(now, &mut event);
        }
        router.handle(now, event, &mut self.actions);
        for action in &self.actions {
            reply.put(instance, action);
        }
        Ok(())
    }

    fn start(&mut self, c: &mut Cursor, instance: u16) -> Result<()> {
        let seed = c.u64("start")?;
        let n = c.u32("start")? as usize;
        let text = std::str::from_utf8(c.take(n, "the settings")?)
            .map_err(|e| WireError(format!("the settings are not UTF-8: {e}")))?;
        let settings = parse_settings(text)?;
        let lengths = Timed::new(&settings);
        self.routers
            .insert(instance, (Router::new(settings, seed), lengths));
        Ok(())
    }

    fn inventory(&mut self, c: &mut Cursor) -> Result<()> {
        let at = c.at;
        let set = c.u32("inventory")?;
        if set >= LIST_NUMBERS {
            return bad(format!("list number {set} at byte {at} is out of range"));
        }
        let n = c.u32("inventory")?;
        let mut entries = Vec::new();
        for _ in 0..n {
            entries.push(read_entry(c)?);
        }
        self.lists.insert(set, entries);
        Ok(())
    }

    fn event(&mut self, c: &mut Cursor, code: u8, at: usize) -> Result<Event> {
        Ok(match code {
            2 => self.view(c)?,
            3 => Event::Arrival(read_request(c)?),
            4 => Event::FirstToken {
                request: c.u32("begun")?,
                attempt: c.u16("begun")?,
                server: c.u32("begun")?,
                elapsed_s: c.f64("begun")?,
            },
            5 => Event::AttemptEnded(read_end(c)?),
            6 => Event::ClientDisconnected {
                request: c.u32("hangup")?,
            },
            7 => Event::Timer {
                label: c.u64("alarm")?,
            },
            8 => Event::ProbeEnded {
                server: c.u32("probe_done")?,
                outcome: c.outcome("probe_done")?,
                elapsed_s: c.f64("probe_done")?,
                report: c.report("probe_done")?,
            },
            9 => {
                let from = c.u32("inbox")?;
                let n = c.u16("inbox")?;
                Event::PeerMessage {
                    from,
                    data: c.take(usize::from(n), "inbox")?.to_vec(),
                }
            }
            11 => {
                let (request, attempt) = (c.u32("reserved")?, c.u16("reserved")?);
                let (server, held) = (c.u32("reserved")?, c.u8("reserved")? == 1);
                c.f32("reserved")?;
                Event::ReservationAnswer {
                    request,
                    attempt,
                    server,
                    held,
                }
            }
            _ => return bad(format!("unknown event code {code} at byte {at}")),
        })
    }

    fn view(&mut self, c: &mut Cursor) -> Result<Event> {
        let at = c.at;
        let form = match c.u8("view")? {
            0 => ListForm::Delta,
            1 => ListForm::Full,
            2 => ListForm::Cached,
            3 => ListForm::Failed,
            v => return bad(format!("unknown list form {v} at byte {at}")),
        };
        c.u32("view")?;
        let set = c.u32("view")?;
        let entries = match (form, self.lists.get(&set)) {
            (ListForm::Failed, _) => Vec::new(),
            (_, Some(list)) => list.clone(),
            (_, None) => {
                return bad(format!(
                    "view at byte {at} names list {set}, which was never sent"
                ))
            }
        };
        Ok(Event::Servers { form, entries })
    }
}

fn read_entry(c: &mut Cursor) -> Result<ServerEntry> {
    let what = "a list entry";
    let (weight, cell, zone) = (c.f32(what)?, c.u16(what)?, c.u16(what)?);
    let at = c.at;
    let standing = match c.u8(what)? {
        0 => ServerStatus::Draining,
        1 => ServerStatus::Removed,
        2 => ServerStatus::Ready,
        v => return bad(format!("unknown health {v} at byte {at}")),
    };
    Ok(ServerEntry {
        id: c.u32(what)?,
        status: standing,
        kind: c.u16(what)?,
        cell,
        zone,
        weight,
        booted_at: c.f64(what)?,
    })
}

fn read_request(c: &mut Cursor) -> Result<Request> {
    let what = "accept";
    let (id, max_output_tokens, tenant) = (c.u32(what)?, c.f32(what)?, c.u32(what)?);
    let (marks, session, hint) = (c.u16(what)?, c.u64(what)?, c.f64(what)?);
    Ok(Request {
        id,
        max_output_tokens,
        tenant,
        session,
        output_tokens: None,
        output_hint_s: (marks & 1 != 0).then_some(hint),
        class: c.u16(what)?,
        time_left_s: c.f64(what)?,
        prefix: c.u64(what)?,
        prompt_tokens: c.f32(what)?,
        prefix_tokens: c.f32(what)?,
    })
}

fn read_end(c: &mut Cursor) -> Result<AttemptEnd> {
    let what = "completed";
    let (request, attempt, server) = (c.u32(what)?, c.u16(what)?, c.u32(what)?);
    let (outcome, elapsed_s) = (c.outcome(what)?, c.f64(what)?);
    let (finished, info) = (c.u8(what)? != 0, c.u32(what)?);
    let outcome = match outcome {
        Outcome::Rejected { .. } => Outcome::Rejected {
            state_missing: info == 1,
        },
        other => other,
    };
    let prefix_hit_tokens = f64::from(info);
    Ok(AttemptEnd {
        request,
        attempt,
        server,
        outcome,
        elapsed_s,
        finished,
        prefix_hit_tokens,
        report: c.report(what)?,
    })
}

/// One instance's actions as a reply frame.
pub fn encode_reply(instance: u16, actions: &[Action]) -> Vec<u8> {
    let mut reply = Reply::default();
    actions.iter().for_each(|a| reply.put(instance, a));
    reply.finish()
}

/// A reply under construction.
#[derive(Default)]
struct Reply {
    count: u32,
    body: Vec<u8>,
    who: Option<u16>,
}

impl Reply {
    fn put(&mut self, instance: u16, action: &Action) {
        if self.who != Some(instance) {
            self.who = Some(instance);
            self.record(14, &[&instance.to_le_bytes()]);
        }
        match *action {
            Action::Send {
                request,
                server,
                timeout_s,
            } => self.record(
                15,
                &[
                    &request.to_le_bytes(),
                    &timeout_s.to_le_bytes(),
                    &server.to_le_bytes(),
                ],
            ),
            Action::Cancel { request, attempt } => {
                self.record(2, &[&request.to_le_bytes(), &attempt.to_le_bytes()])
            }
            Action::Reject {
                request,
                retry_after_s,
            } => self.record(11, &[&request.to_le_bytes(), &retry_after_s.to_le_bytes()]),
            Action::Fail { request } => self.record(3, &[&request.to_le_bytes()]),
            Action::Release { request } => self.record(6, &[&request.to_le_bytes()]),
            Action::Probe { server } => self.record(7, &[&server.to_le_bytes()]),
            Action::SetTimer { at, label } => {
                self.record(9, &[&at.to_le_bytes(), &label.to_le_bytes()])
            }
            Action::Subscribe => self.record(4, &[&[1]]),
            Action::Unsubscribe => self.record(4, &[&[0]]),
            Action::FetchList => self.record(5, &[]),
            Action::ReserveSlot { request, server } => {
                self.record(16, &[&request.to_le_bytes(), &server.to_le_bytes()])
            }
            Action::Migrate { request } => self.record(8, &[&request.to_le_bytes()]),
            Action::CloseIdle { server } => self.record(13, &[&server.to_le_bytes()]),
            Action::SendToPeer { peer, ref data } => {
                let data = &data[..data.len().min(PEER_BYTES)];
                let whom = peer.unwrap_or(u16::MAX);
                self.record(
                    12,
                    &[
                        &whom.to_le_bytes(),
                        &(data.len() as u16).to_le_bytes(),
                        data,
                    ],
                )
            }
            Action::Log { ref text } => self.text(1, text),
            Action::Fault { ref text } => self.text(10, text),
        }
    }

    /// A text record; longer texts are cut at what the length field holds.
    fn text(&mut self, code: u8, text: &str) {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.record(code, &[&(bytes.len() as u16).to_le_bytes(), bytes]);
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        self.count += 1;
        self.body.push(code);
        for field in fields {
            self.body.extend_from_slice(field);
        }
    }

    fn finish(self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.body.len());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.extend_from_slice(&(8 + self.body.len() as u32).to_le_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}

/// Reads one frame; `None` at a clean end of input. The length field alone reserves no memory.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>> {
    let mut frame = Vec::new();
    input
        .by_ref()
        .take(HEADER_BYTES as u64)
        .read_to_end(&mut frame)?;
    if frame.is_empty() {
        return Ok(None);
    }
    if frame.len() < HEADER_BYTES {
        return bad(format!(
            "input ends after {} bytes of a frame's header",
            frame.len()
        ));
    }
    let size = Cursor {
        data: &frame,
        at: 4,
    }
    .u32("the frame size")?;
    if (size as usize) < HEADER_BYTES {
        return bad(format!("frame size {size} is shorter than a header"));
    }
    let rest = u64::from(size) - HEADER_BYTES as u64;
    input.by_ref().take(rest).read_to_end(&mut frame)?;
    if frame.len() < size as usize {
        return bad(format!(
            "input ends after {} of a frame's {size} bytes",
            frame.len()
        ));
    }
    Ok(Some(frame))
}

/// Answers batches until the input ends.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<()> {
    let mut adapter = Adapter::default();
    while let Some(frame) = read_frame(&mut input)? {
        output.write_all(&adapter.answer(&frame)?)?;
        output.flush()?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
