//! What the hosts' captures show: runs, drains, cold hosts, states.

use std::collections::BTreeMap;

use bitternlatch_mock_engine::capture::Line;
use bitternlatch_protocol::engine::{
    decode, CompletionRequest, EngineState, FromEngine, ToEngine, CODE_FULL, CODE_STATE_GONE,
};
use bitternlatch_protocol::estimate_tokens;

use bitternlatch_mock_engine::answer_len;

use crate::{mark, us, Breach, Facts, HostFacts, Rule, Verdict, SLACK_S};

/// One attempt as its host saw it.
pub(crate) struct Attempt {
    pub host: String,
    pub peer: String,
    pub id: String,
    pub body: CompletionRequest,
    pub told: u64,
    /// When it was over for the dispatcher: answered, cancelled, or its link gone.
    pub ended: Option<u64>,
    pub first_chunk: Option<u64>,
    pub turned_away: bool,
    pub state_gone: bool,
    pub cached: u32,
    /// When the host said where its read state waits, and when the dispatcher let go of it.
    pub state: Option<u64>,
    pub let_go: Option<u64>,
}

impl Attempt {
    fn kv(&self) -> bitternlatch_protocol::engine::KvTransferParams {
        self.body.kv_transfer_params.clone().unwrap_or_default()
    }

    /// Whether it could have the effect of a request.
    pub(crate) fn runs(&self) -> bool {
        !self.kv().do_remote_decode && !self.turned_away
    }

    /// Whether its prompt is read here for another host to answer.
    pub(crate) fn reads(&self) -> bool {
        self.kv().do_remote_decode
    }

    pub(crate) fn mark(&self) -> &str {
        mark(&self.body.prompt).unwrap_or_default()
    }
}

/// All attempts, in order of time.
#[derive(Default)]
pub(crate) struct Seen {
    pub attempts: Vec<Attempt>,
}

impl Seen {
    pub(crate) fn of(lines: &[Line]) -> Seen {
        let mut seen = Seen::default();
        let mut open: BTreeMap<(&str, &str, String), usize> = BTreeMap::new();
        for line in lines {
            match line.dir.as_str() {
                "in" => seen.heard(line, &mut open),
                "out" => seen.said(line, &mut open),
                "close" | "down" => seen.ended(line),
                _ => {}
            }
        }
        seen
    }

    fn heard<'a>(
        &mut self,
        line: &'a Line,
        open: &mut BTreeMap<(&'a str, &'a str, String), usize>,
    ) {
        let key = |id: &str| (line.who.as_str(), line.peer.as_str(), id.to_string());
        match decode::<ToEngine>(&line.text) {
            Ok(ToEngine::Completion { id, body }) => {
                open.insert(key(&id), self.attempts.len());
                self.attempts.push(Attempt {
                    host: line.who.clone(),
                    peer: line.peer.clone(),
                    id,
                    body: *body,
                    told: line.t,
                    ended: None,
                    first_chunk: None,
                    turned_away: false,
                    state_gone: false,
                    cached: 0,
                    state: None,
                    let_go: None,
                });
            }
            Ok(ToEngine::Cancel { id }) => {
                if let Some(i) = open.get(&key(&id)) {
                    self.attempts[*i].ended.get_or_insert(line.t);
                }
            }
            Ok(ToEngine::Release { id }) => {
                if let Some(i) = open.get(&key(&id)) {
                    self.attempts[*i].let_go.get_or_insert(line.t);
                }
            }
            _ => {}
        }
    }

    fn said<'a>(&mut self, line: &'a Line, open: &mut BTreeMap<(&'a str, &'a str, String), usize>) {
        let Ok(message) = decode::<FromEngine>(&line.text) else {
            return;
        };
        let id = match &message {
            FromEngine::Chunk { id, .. }
            | FromEngine::Done { id, .. }
            | FromEngine::Error { id, .. } => id.clone(),
            _ => return,
        };
        let Some(i) = open.get(&(line.who.as_str(), line.peer.as_str(), id)) else {
            return;
        };
        let attempt = &mut self.attempts[*i];
        match message {
            FromEngine::Chunk { body, .. } => {
                attempt.first_chunk.get_or_insert(line.t);
                let details = body.usage.and_then(|u| u.prompt_tokens_details);
                attempt.cached = details.map_or(attempt.cached, |d| d.cached_tokens);
                if body.kv_transfer_params.is_some_and(|k| k.do_remote_prefill) {
                    attempt.state = Some(line.t);
                }
            }
            FromEngine::Error { error, .. } => {
                let never = [CODE_FULL, CODE_STATE_GONE];
                attempt.state_gone = error.code.as_deref() == Some(CODE_STATE_GONE);
                attempt.turned_away = error.code.is_some_and(|c| never.contains(&c.as_str()));
                attempt.ended.get_or_insert(line.t);
            }
            _ => {
                attempt.ended.get_or_insert(line.t);
            }
        }
    }

    /// A link or a host ended: what was out there is over, and its states are let go of.
    fn ended(&mut self, line: &Line) {
        let whole = line.dir == "down";
        for a in self
            .attempts
            .iter_mut()
            .filter(|a| a.host == line.who && (whole || a.peer == line.peer))
        {
            a.ended.get_or_insert(line.t);
            a.let_go.get_or_insert(line.t);
        }
    }

    /// Attempts by the mark of their request.
    pub(crate) fn by_mark(&self) -> BTreeMap<&str, Vec<&Attempt>> {
        let mut by = BTreeMap::<&str, Vec<&Attempt>>::new();
        self.attempts
            .iter()
            .for_each(|a| by.entry(a.mark()).or_default().push(a));
        by
    }
}

pub(crate) fn judge(facts: &Facts, lines: &[Line], seen: &Seen, verdict: &mut Verdict) {
    drains(facts, lines, verdict);
    cold(facts, lines, seen, verdict);
    let end = lines.last().map_or(0, |l| l.t);
    let mut pins = Vec::new();
    seen.attempts
        .iter()
        .for_each(|a| pin(facts, a, seen, end, &mut pins));
    pins.retain(|(a, from, to)| !stood_still(facts, lines, a, *from, *to));
    verdict
        .breaches
        .extend(pins.into_iter().map(|(a, from, to)| Breach {
            rule: Rule::NothingLeftPinned,
            t: from,
            what: format!(
                "a state of {} at {} was held {} ms",
                a.mark(),
                a.host,
                (to - from) / 1000
            ),
        }));
}

/// An unsafe request runs once at the most, whoever asked for it again.
pub(crate) fn effects(seen: &Seen, is_unsafe: impl Fn(&str) -> bool, verdict: &mut Verdict) {
    for (mark, attempts) in seen.by_mark() {
        let runs: Vec<&&Attempt> = attempts.iter().filter(|a| a.runs()).collect();
        if runs.len() > 1 && is_unsafe(mark) {
            let hosts: Vec<&str> = runs.iter().map(|a| a.host.as_str()).collect();
            let what = format!(
                "request {mark} may have run {} times: at {}",
                runs.len(),
                hosts.join(", ")
            );
            verdict.breaches.push(Breach {
                rule: Rule::NoEffectTwice,
                t: runs[1].told,
                what,
            });
        }
    }
}

fn is_completion(line: &Line) -> bool {
    line.dir == "in"
        && matches!(
            decode::<ToEngine>(&line.text),
            Ok(ToEngine::Completion { .. })
        )
}

/// Told by the host itself over a link, or by the list's file.
fn drains(facts: &Facts, lines: &[Line], verdict: &mut Verdict) {
    let mut closed_from: BTreeMap<(&str, &str), u64> = BTreeMap::new();
    let mut listed: BTreeMap<&str, u64> = BTreeMap::new();
    let grace = us(facts.drain_grace_s + SLACK_S);
    let mut drains = facts.list_drains.iter().peekable();
    let mut readies = facts.list_ready.iter().peekable();
    for line in lines {
        while let Some((t, host)) = drains.next_if(|d| d.0 <= line.t) {
            listed.insert(host, t + us(facts.list_s) + grace);
        }
        while let Some((_, host)) = readies.next_if(|d| d.0 <= line.t) {
            listed.remove(host.as_str());
        }
        let key = (line.who.as_str(), line.peer.as_str());
        let drains = FromEngine::State {
            state: EngineState::Draining,
        };
        match line.dir.as_str() {
            "out" if decode::<FromEngine>(&line.text).is_ok_and(|m| m == drains) => {
                closed_from.insert(key, line.t + grace);
            }
            "up" => {
                closed_from.retain(|k, _| k.0 != line.who);
                listed.remove(line.who.as_str());
            }
            _ => {}
        }
        let from = [closed_from.get(&key), listed.get(line.who.as_str())]
            .into_iter()
            .flatten()
            .min();
        if from.is_some_and(|from| line.t > *from) && is_completion(line) {
            let late_ms = from.map_or(0, |f| (line.t - f) / 1000);
            let what = format!(
                "{} was sent new work {late_ms} ms past the grace of its drain",
                line.who
            );
            verdict.breaches.push(Breach {
                rule: Rule::DrainsKept,
                t: line.t,
                what,
            });
        }
    }
}

/// A host that goes down unscripted fell over; and what was sent to a cold one is counted again.
fn cold(facts: &Facts, lines: &[Line], seen: &Seen, verdict: &mut Verdict) {
    for line in lines.iter().filter(|l| l.dir == "down") {
        let near = |d: &&(u64, String)| d.1 == line.who && d.0.abs_diff(line.t) < 2_000_000;
        if facts.downs.iter().find(near).is_none() {
            let what = format!("{} fell over", line.who);
            verdict.breaches.push(Breach {
                rule: Rule::NoColdHostPushedOver,
                t: line.t,
                what,
            });
        }
    }
    for host in &facts.hosts {
        let ups = lines
            .iter()
            .filter(|l| l.dir == "up" && l.who == host.name)
            .skip(1);
        for born in ups.map(|l| l.t) {
            let warm = born + us(facts.cold.warm_after_s);
            let given = seen
                .attempts
                .iter()
                .filter(|a| a.host == host.name && (born..warm).contains(&a.told));
            let work: Vec<(u64, f64)> = given.map(|a| (a.told, work_s(a, host))).collect();
            if let Some((t, share)) = most_pushed(facts, born, &work) {
                let what = format!(
                    "{} was cold and sent {share:.1} times what it could do",
                    host.name
                );
                verdict.breaches.push(Breach {
                    rule: Rule::NoColdHostPushedOver,
                    t,
                    what,
                });
            }
        }
    }
}

fn work_s(a: &Attempt, host: &HostFacts) -> f64 {
    let kv = a.kv();
    let tokens = estimate_tokens(a.body.prompt.len()).saturating_sub(a.cached);
    let read = if kv.do_remote_prefill {
        0.0
    } else {
        f64::from(tokens) / host.read_tokens_per_s
    };
    let out = if kv.do_remote_decode {
        0
    } else {
        answer_len(&a.body)
    };
    read + f64::from(out) * (host.token_gap_s / host.slots as f64 + host.sequence_step_s)
}

/// The first time at which the work of a window is more than the stated multiple of what can be done in it.
fn most_pushed(facts: &Facts, born: u64, work: &[(u64, f64)]) -> Option<(u64, f64)> {
    let cold = &facts.cold;
    work.iter().enumerate().find_map(|(i, (t, _))| {
        let recent = work[..=i].iter().filter(|w| t - w.0 <= us(cold.window_s));
        let sum: f64 = recent.map(|w| w.1).sum();
        let age = ((t - born) as f64 / 1e6 / cold.warm_after_s).min(1.0);
        let can = (cold.start_capacity + (1.0 - cold.start_capacity) * age) * cold.window_s;
        (sum > cold.overload_factor * can).then(|| (*t, sum / can))
    })
}

/// A state is taken by a send or let go of within the limit whenever no attempt that wants it is out.
fn pin<'a>(
    facts: &Facts,
    read: &'a Attempt,
    seen: &Seen,
    end: u64,
    pins: &mut Vec<(&'a Attempt, u64, u64)>,
) {
    let Some(mut free) = read.state else { return };
    let limit = us(facts.pin_limit_s + SLACK_S);
    let takes = |a: &&Attempt| a.kv().remote_request_id.as_deref() == Some(read.id.as_str());
    let mut breach = |from: u64, to: u64| {
        if to.saturating_sub(from) > limit {
            pins.push((read, from, to));
        }
    };
    for taker in seen.attempts.iter().filter(takes) {
        if read.let_go.is_some_and(|t| t < taker.told) {
            break;
        }
        breach(free, taker.told);
        let gone = taker.first_chunk.is_some() || taker.state_gone;
        match taker.ended {
            Some(t) if !gone => free = t,
            _ => return,
        }
    }
    breach(free, read.let_go.unwrap_or(end));
}

/// Whether the dispatcher that a state waited for was paused by the script meanwhile: its link said nothing all the while, and the
/// state was let go of within the limit after.
fn stood_still(facts: &Facts, lines: &[Line], of: &Attempt, from: u64, to: u64) -> bool {
    // What was under way to the host when it stopped may be read there later, on a loaded machine.
    let under_way = us(2.0 * SLACK_S);
    // The script notes the end when it has told it to go on.
    let noted = us(SLACK_S);
    let said = |from: u64, to: u64| {
        let begin = lines.partition_point(|l| l.t < from);
        let here = |l: &Line| l.who == of.host && l.peer == of.peer && l.dir == "in";
        lines[begin..].iter().take_while(|l| l.t < to).any(here)
    };
    let mut spans = facts
        .away
        .iter()
        .filter(|(begin, end, _)| from < *end && *begin < to);
    spans.any(|(begin, end, _)| {
        let late = us(facts.pin_limit_s + SLACK_S);
        begin.saturating_sub(from) <= late
            && to.saturating_sub(*end) <= late
            && !said(begin + under_way, end.saturating_sub(noted))
    })
}

#[cfg(test)]
mod tests {
    use bitternlatch_mock_engine::capture::Line;
    use bitternlatch_protocol::engine::{
        encode, Chunk, CompletionRequest, FromEngine, KvTransferParams, ToEngine,
    };

    use crate::{judge, Facts};

    /// Breaches where a state waits from second 1 to 5 and its dispatcher says something at another second.
    fn breaches(pause_s: Option<(u64, u64)>, said_at_s: u64) -> usize {
        let line = |t_s: u64, dir: &str, text: String| Line {
            t: t_s * 1_000_000,
            who: "reader".into(),
            peer: "1".into(),
            dir: dir.into(),
            text,
        };
        let kv = |read: bool| {
            Some(KvTransferParams {
                do_remote_decode: read,
                do_remote_prefill: !read,
                ..KvTransferParams::default()
            })
        };
        let body = CompletionRequest {
            kv_transfer_params: kv(true),
            ..CompletionRequest::default()
        };
        let state = Chunk {
            kv_transfer_params: kv(false),
            ..Chunk::default()
        };
        let lines = vec![
            line(
                0,
                "in",
                encode(&ToEngine::Completion {
                    id: "a".into(),
                    body: Box::new(body),
                }),
            ),
            line(
                1,
                "out",
                encode(&FromEngine::Chunk {
                    id: "a".into(),
                    body: state,
                }),
            ),
            line(said_at_s, "in", encode(&ToEngine::Probe { id: 1 })),
            line(5, "in", encode(&ToEngine::Release { id: "a".into() })),
        ];
        let away =
            pause_s.map(|(from, to)| (from * 1_000_000, to * 1_000_000, "dispatch-1".to_string()));
        let facts = Facts {
            pin_limit_s: 1.0,
            away: away.into_iter().collect(),
            ..Facts::default()
        };
        judge(&facts, Vec::new(), lines).breaches.len()
    }

    #[test]
    fn a_state_is_held_without_fault_by_a_dispatcher_that_stood_still_alone() {
        assert_eq!(breaches(None, 0), 1);
        assert_eq!(breaches(Some((1, 5)), 0), 0);
        assert_eq!(
            breaches(Some((1, 5)), 3),
            1,
            "its dispatcher did not stand still"
        );
        assert_eq!(
            breaches(Some((1, 3)), 0),
            1,
            "it was held on after the pause"
        );
        assert_eq!(breaches(Some((3, 5)), 0), 1, "it was held before the pause");
    }
}
