//! Requests at a host's engine: taken in, told, answered.

use bitternlatch_engine::{Id, Input, Output, Request, Work as Job};
use bitternlatch_protocol::engine::{
    Choice, Chunk, CompletionRequest, EngineUsage, FromEngine, KvTransferParams, PromptDetails,
    CODE_FULL, CODE_STATE_GONE,
};

use crate::config::{Role, Trouble};
use crate::host::{answer_len, prompt, Work};
use crate::signed::word;
use crate::world::{Due, World};

impl World {
    pub(crate) fn completion(&mut self, i: usize, conn: u64, id: String, body: CompletionRequest) {
        let kv = body.kv_transfer_params.clone().unwrap_or_default();
        if self.chance(self.hosts[i].trouble(Trouble::FastErrors)) {
            return self.error(i, conn, &id, 500, None);
        }
        if self.chance(self.hosts[i].trouble(Trouble::Garbage)) {
            self.garbage(i, conn, &id);
        }
        let reads = !kv.do_remote_prefill;
        if reads && self.hosts[i].config.role == Role::Writer {
            return self.error(i, conn, &id, 409, Some(CODE_STATE_GONE));
        }
        let out = if kv.do_remote_decode {
            0
        } else {
            answer_len(&body)
        };
        let job = match (kv.do_remote_decode, reads) {
            (true, _) => Job::Read,
            (false, true) => Job::ReadAndWrite { answer: out },
            (false, false) => Job::FetchAndWrite { answer: out },
        };
        let prompt = prompt(&body.prompt);
        self.serial += 1;
        let engine_id = Id(self.serial);
        let host = &mut self.hosts[i];
        let work_s = host.work_s(&prompt, reads, out);
        host.put(
            engine_id,
            Work {
                conn,
                id,
                body,
                tokens: prompt.tokens,
                out,
            },
        );
        self.tell(
            i,
            Input::Submit(Request {
                id: engine_id,
                prompt,
                work: job,
            }),
        );
        let (now, host) = (self.now(), &mut self.hosts[i]);
        // What was refused is no work.
        if host.works.contains_key(&engine_id) && host.pushed_over(&self.config.cold, now, work_s) {
            self.down(i);
        }
    }

    /// Tells a host's engine something, after the trouble it is in, and does what it says.
    pub(crate) fn tell(&mut self, i: usize, input: Input) {
        let now = self.now();
        let host = &mut self.hosts[i];
        let late_s = if host.trouble(Trouble::HangFetch).is_some() {
            3600.0
        } else {
            0.0
        };
        let trouble = (host.slowness(&self.config.cold, now), late_s);
        let mut said = Vec::new();
        if host.told != trouble {
            host.told = trouble;
            host.engine.step(now, Input::Slowness(trouble.0), &mut said);
            host.engine
                .step(now, Input::FetchDelay(trouble.1), &mut said);
        }
        host.engine.step(now, input, &mut said);
        said.into_iter().for_each(|what| self.said(i, what));
        self.wake(i);
    }

    /// Puts the engine's next time among what is due.
    fn wake(&mut self, i: usize) {
        let host = &self.hosts[i];
        let next = host.engine.next_at().map(|at| (at * 1e6).ceil() as u64);
        if host.wakes.map(|w| w.0) == next {
            return;
        }
        if let Some(old) = self.hosts[i].wakes.take() {
            self.due.remove(&old);
        }
        if let Some(at) = next {
            self.serial += 1;
            self.hosts[i].wakes = Some((at, self.serial));
            self.due.insert((at, self.serial), Due::Engine(i));
        }
    }

    fn said(&mut self, i: usize, what: Output) {
        match what {
            Output::Refused { id, .. } => {
                if let Some(work) = self.hosts[i].take(id) {
                    self.error(i, work.conn, &work.id, 503, Some(CODE_FULL));
                }
            }
            Output::Read { id, cached } => self.read_done(i, id, cached),
            Output::Fetched { id } => self.fetched(i, id),
            Output::Token {
                id,
                number,
                last,
                cached,
            } => self.token(i, id, (number, last), cached),
            Output::Preempted { id, .. } => {
                if let Some(work) = self.hosts[i].works.get(&id) {
                    self.capture
                        .put(&self.hosts[i].config.name, work.conn, "preempted", &work.id);
                }
            }
            Output::Expired { id } => drop(self.hosts[i].take(id)),
        }
    }

    /// Messages that a host must not send: broken, unknown, and about somebody else's request.
    fn garbage(&self, i: usize, conn: u64, id: &str) {
        self.say_text(i, conn, "{\"op\":\"chunk\",".to_string());
        self.say_text(i, conn, "{\"op\":\"sing\"}".to_string());
        self.say(
            i,
            conn,
            &FromEngine::Done {
                id: format!("{:0>24}-0", "beef"),
                load: None,
            },
        );
        self.say(
            i,
            conn,
            &FromEngine::Done {
                id: id.replace('-', "-9"),
                load: None,
            },
        );
    }

    fn read_done(&mut self, i: usize, id: Id, cached: u64) {
        let lost = self.chance(self.hosts[i].trouble(Trouble::LostAnswers));
        let host = &self.hosts[i];
        let Some(work) = host.works.get(&id).filter(|_| !lost) else {
            return;
        };
        let params = KvTransferParams {
            do_remote_prefill: true,
            do_remote_decode: false,
            remote_engine_id: Some(host.config.name.clone()),
            remote_block_ids: Some(vec![id.0]),
            remote_host: Some("127.0.0.1".to_string()),
            remote_port: host.acceptor.as_ref().map(|a| a.address().port()),
            remote_request_id: Some(work.id.clone()),
        };
        let choice = Choice {
            finish_reason: Some("length".to_string()),
            ..Choice::default()
        };
        let usage = Some(usage(work, 0, cached));
        let body = Chunk {
            choices: vec![choice],
            usage,
            kv_transfer_params: Some(params),
        };
        let (conn, id) = (work.conn, work.id.clone());
        self.say(
            i,
            conn,
            &FromEngine::Chunk {
                id: id.clone(),
                body,
            },
        );
        self.say(
            i,
            conn,
            &FromEngine::Done {
                id,
                load: self.hosts[i].load(),
            },
        );
    }

    /// A state has come: it is taken where it was read, should it still be there.
    fn fetched(&mut self, i: usize, id: Id) {
        let Some(work) = self.hosts[i].works.get(&id) else {
            return;
        };
        let kv = work.body.kv_transfer_params.clone().unwrap_or_default();
        let reader = self
            .hosts
            .iter()
            .position(|h| Some(&h.config.name) == kv.remote_engine_id.as_ref());
        let made_by = kv.remote_request_id.unwrap_or_default();
        let state = reader.and_then(|r| Some((r, self.hosts[r].state(&made_by)?)));
        if let Some((r, state)) = state {
            self.end(r, state);
            return self.tell(i, Input::Taken(id));
        }
        if let Some(work) = self.hosts[i].take(id) {
            self.error(i, work.conn, &work.id, 409, Some(CODE_STATE_GONE));
        }
        self.tell(i, Input::Cancel(id));
    }

    fn token(&mut self, i: usize, id: Id, (number, last): (u32, bool), cached: u64) {
        let lost = self.hosts[i].trouble(Trouble::LostAnswers);
        if number == 1 && self.chance(lost) {
            return self.end(i, id);
        }
        let Some(work) = self.hosts[i].works.get(&id) else {
            return;
        };
        let (conn, name) = (work.conn, work.id.clone());
        let reason = if work.out == work.body.max_tokens {
            "length"
        } else {
            "stop"
        };
        let odd = self.hosts[i].trouble(Trouble::OddUsage);
        let usage = usage(work, odd.map_or(number, |told| told as u32), cached);
        let text = word(&work.body.prompt, &self.hosts[i].config.name, &name, number);
        let choice = Choice {
            text,
            ..Choice::default()
        };
        let body = Chunk {
            choices: vec![choice],
            ..Chunk::default()
        };
        self.say(
            i,
            conn,
            &FromEngine::Chunk {
                id: name.clone(),
                body,
            },
        );
        if !last {
            return;
        }
        if self.chance(self.hosts[i].trouble(Trouble::Reset)) {
            if let Some(outbox) = self.hosts[i].conns.get(&conn) {
                outbox.close(1011, "reset by script");
            }
            return;
        }
        self.hosts[i].take(id);
        let choice = Choice {
            finish_reason: Some(reason.to_string()),
            ..Choice::default()
        };
        let body = Chunk {
            choices: vec![choice],
            usage: Some(usage),
            kv_transfer_params: None,
        };
        self.say(
            i,
            conn,
            &FromEngine::Chunk {
                id: name.clone(),
                body,
            },
        );
        self.say(
            i,
            conn,
            &FromEngine::Done {
                id: name,
                load: self.hosts[i].load(),
            },
        );
    }
}

fn usage(work: &Work, written: u32, cached: u64) -> EngineUsage {
    let prompt = u32::try_from(work.tokens).unwrap_or(u32::MAX);
    EngineUsage {
        prompt_tokens: prompt,
        completion_tokens: written,
        total_tokens: prompt.saturating_add(written),
        prompt_tokens_details: Some(PromptDetails {
            cached_tokens: u32::try_from(cached).unwrap_or(u32::MAX),
        }),
    }
}
