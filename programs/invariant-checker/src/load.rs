//! What the captures show of load: work done again at hosts, probes, who was refused where, how soon answers began, and what was
//! answered in time by the second. No rule is judged here.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_mock_engine::capture::Line;
use bitternlatch_protocol::engine::{decode, ToEngine};
use serde::Serialize;

use crate::answers::{Final, Try};
use crate::hosts::Seen;
use crate::{ClassFacts, Facts};

/// Tries at each dispatcher below which shares of refusals are not compared: chance alone would part them.
const COMPARED_FROM: usize = 100;
/// Seconds over which goodput is looked at, so that a few answers more or less do not decide.
const WINDOW_S: usize = 3;
/// Seconds before a trouble that say what goodput was.
const BEFORE_S: usize = 5;
const BACK: f64 = 0.95;

/// What was asked of one class or by one tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Part {
    pub asked: usize,
    /// Requests with a whole answer.
    pub served: usize,
    /// Worth answered in time over worth asked for.
    pub worth: f64,
    pub tries: usize,
    pub refused: usize,
    /// Seconds from the try that was served to its first token, and from the first try to it; 0 where none was served.
    pub first_token_p50_s: f64,
    pub first_token_p99_s: f64,
    pub from_first_try_p99_s: f64,
    /// Share of what was served whose first token came within the aim of the try that was served.
    pub within_aim: f64,
}

/// What one trouble did to goodput.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Recovery {
    pub trouble: String,
    /// Worth a second in time before it, and while it lasted.
    pub before: f64,
    pub during: f64,
    /// Seconds after its end until goodput was back to 0.95 of what it was, or of what was asked where that was less; none: not by
    /// the end of the day.
    pub back_after_s: Option<f64>,
}

/// Figures of load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Load {
    /// Completions at hosts, and how many a request asked for.
    pub attempts: usize,
    pub attempts_per_asked: f64,
    /// Completions over the first read and the first answer of each request: 1 where no work was done again.
    pub repeats: f64,
    /// The same in the worst five seconds.
    pub repeats_worst: f64,
    /// Probes a second at a host: the mean over the day and the most in any second.
    pub probes_per_s: BTreeMap<String, (f64, usize)>,
    /// By class, then by tenant where one was named.
    pub parts: BTreeMap<String, Part>,
    /// Share of refused tries by class and level, then by dispatcher. A level is the prompt's length by powers of two, and whether
    /// it is a session's first turn.
    pub refused_share: BTreeMap<String, BTreeMap<String, f64>>,
    /// The widest difference between two dispatchers in one of those that can be compared; none: none can.
    pub refused_spread: Option<f64>,
    /// The same by class alone, where chance does less.
    pub refused_spread_of_class: Option<f64>,
    /// Seconds from a try to its refusal.
    pub refusal_p50_s: f64,
    pub refusal_p99_s: f64,
    /// Requests that came to another dispatcher within five seconds of a refusal, and how many were refused there too.
    pub roamed: usize,
    pub roamed_refused: usize,
    /// Worth asked for, and worth answered in time, of the requests first asked in each second.
    pub asked_by_s: Vec<f64>,
    pub goodput_by_s: Vec<f64>,
    pub recoveries: Vec<Recovery>,
}

/// A value of a sorted list; 0 of an empty one.
pub fn quantile(sorted: &[f64], q: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted
        .get((q * last as f64).round() as usize)
        .copied()
        .unwrap_or(0.0)
}

fn seconds(from: u64, to: u64) -> f64 {
    to.saturating_sub(from) as f64 / 1e6
}

pub(crate) fn judge(facts: &Facts, tries: &[Try], hosts: &[Line], seen: &Seen) -> Load {
    let mut load = Load::default();
    let mut by_mark: BTreeMap<&str, Vec<&Try>> = BTreeMap::new();
    tries
        .iter()
        .for_each(|t| by_mark.entry(&t.mark).or_default().push(t));
    repeats(&mut load, seen, by_mark.len());
    probes(&mut load, hosts);
    parts(&mut load, facts, tries, &by_mark);
    refusals(&mut load, tries, &by_mark);
    goodput(&mut load, facts, &by_mark);
    load
}

fn ratio(of: usize, to: usize) -> f64 {
    of as f64 / to.max(1) as f64
}

fn repeats(load: &mut Load, seen: &Seen, asked: usize) {
    load.attempts = seen.attempts.len();
    load.attempts_per_asked = ratio(load.attempts, asked);
    let mut known = BTreeSet::new();
    // (all, first) by second.
    let mut by_s: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for one in &seen.attempts {
        let first = usize::from(known.insert((one.mark(), one.reads())));
        let second = by_s.entry(one.told / 1_000_000).or_default();
        *second = (second.0 + 1, second.1 + first);
    }
    load.repeats = ratio(load.attempts, known.len());
    let of_five = |from: &u64| {
        let (all, first) = by_s
            .range(*from..from + 5)
            .fold((0, 0), |sum, (_, n)| (sum.0 + n.0, sum.1 + n.1));
        ratio(all, first)
    };
    load.repeats_worst = by_s.keys().map(of_five).fold(0.0, f64::max);
}

fn probes(load: &mut Load, hosts: &[Line]) {
    let (first, last) = (
        hosts.first().map_or(0, |l| l.t),
        hosts.last().map_or(0, |l| l.t),
    );
    let mut by: BTreeMap<&str, BTreeMap<u64, usize>> = BTreeMap::new();
    let is_probe = |l: &&Line| {
        l.dir == "in"
            && l.text.contains("probe")
            && matches!(decode::<ToEngine>(&l.text), Ok(ToEngine::Probe { .. }))
    };
    for line in hosts.iter().filter(is_probe) {
        *by.entry(&line.who)
            .or_default()
            .entry(line.t / 1_000_000)
            .or_default() += 1;
    }
    let day_s = seconds(first, last).max(1.0);
    for (host, by_s) in by {
        let mean = by_s.values().sum::<usize>() as f64 / day_s;
        load.probes_per_s.insert(
            host.to_string(),
            (mean, by_s.values().copied().max().unwrap_or(0)),
        );
    }
}

fn aim_s(class: &ClassFacts, tokens: u32) -> f64 {
    class.ttft_aim_s + class.ttft_aim_ms_per_1000_tokens * f64::from(tokens) / 1e6
}

/// The try of a request that was served, with its first token.
fn served<'a>(tries: &[&'a Try]) -> Option<(&'a Try, u64)> {
    let one = tries
        .iter()
        .find(|t| t.finals.first().is_some_and(|f| f.1 == Final::Served))?;
    Some((one, one.first?))
}

/// Worth asked for and worth answered in time, of one request.
fn worth(class: &ClassFacts, tries: &[&Try]) -> (f64, f64) {
    let got = served(tries).map_or(0.0, |(_, first)| {
        let took = seconds(tries[0].t, first);
        class.worth
            * if took <= aim_s(class, tries[0].tokens) {
                1.0
            } else {
                class.late_worth
            }
    });
    (class.worth, got)
}

fn parts(load: &mut Load, facts: &Facts, tries: &[Try], by_mark: &BTreeMap<&str, Vec<&Try>>) {
    let classes: BTreeMap<&str, &ClassFacts> =
        facts.classes.iter().map(|c| (c.name.as_str(), c)).collect();
    let tenants: BTreeSet<&str> = tries
        .iter()
        .map(|t| t.tenant.as_str())
        .filter(|t| !t.is_empty())
        .collect();
    let names = tries
        .iter()
        .map(|t| t.class.as_str())
        .collect::<BTreeSet<&str>>();
    let of_class = names.into_iter().map(|c| (c.to_string(), true, c));
    let of_tenant = tenants
        .into_iter()
        .map(|t| (format!("tenant {t}"), false, t));
    for (shown, by_class, name) in of_class.chain(of_tenant) {
        let fits = |t: &Try| {
            if by_class {
                t.class == name
            } else {
                t.tenant == name
            }
        };
        let mut part = Part::default();
        let (mut asked, mut got, mut took, mut whole, mut in_time) = (0.0, 0.0, vec![], vec![], 0);
        for tries in by_mark.values().filter(|tries| fits(tries[0])) {
            let Some(class) = classes.get(tries[0].class.as_str()) else {
                continue;
            };
            part.asked += 1;
            let (worth, answered) = worth(class, tries);
            (asked, got) = (asked + worth, got + answered);
            let Some((one, first)) = served(tries) else {
                continue;
            };
            part.served += 1;
            took.push(seconds(one.t, first));
            whole.push(seconds(tries[0].t, first));
            in_time += usize::from(seconds(one.t, first) <= aim_s(class, one.tokens));
        }
        for one in tries.iter().filter(|t| fits(t)) {
            part.tries += 1;
            part.refused += usize::from(one.is_refused());
        }
        took.sort_by(f64::total_cmp);
        whole.sort_by(f64::total_cmp);
        part.worth = if asked > 0.0 { got / asked } else { 0.0 };
        (part.first_token_p50_s, part.first_token_p99_s) =
            (quantile(&took, 0.5), quantile(&took, 0.99));
        part.from_first_try_p99_s = quantile(&whole, 0.99);
        part.within_aim = ratio(in_time, part.served);
        load.parts.insert(shown, part);
    }
}

fn level(one: &Try) -> String {
    let turn = if one.first_turn { "first" } else { "later" };
    format!(
        "{} {turn} {}",
        one.class,
        one.tokens.max(1).next_power_of_two()
    )
}

/// (refused, tries) by dispatcher, of tries that are alike by something.
type Places<'a> = BTreeMap<String, BTreeMap<&'a str, (usize, usize)>>;

fn places<'a>(tries: &'a [Try], alike: impl Fn(&Try) -> String) -> Places<'a> {
    let mut at = Places::new();
    for one in tries {
        let place = at
            .entry(alike(one))
            .or_default()
            .entry(one.dispatcher())
            .or_default();
        *place = (place.0 + usize::from(one.is_refused()), place.1 + 1);
    }
    at
}

fn spread(at: &Places) -> Option<f64> {
    let one = |by: &BTreeMap<&str, (usize, usize)>| {
        let shares = by
            .values()
            .filter(|n| n.1 >= COMPARED_FROM)
            .map(|n| ratio(n.0, n.1));
        let shares: Vec<f64> = shares.collect();
        let (most, least) = (
            shares.iter().copied().fold(0.0, f64::max),
            shares.iter().copied().fold(1.0, f64::min),
        );
        (shares.len() > 1).then_some(most - least)
    };
    at.values().filter_map(one).max_by(f64::total_cmp)
}

fn refusals(load: &mut Load, tries: &[Try], by_mark: &BTreeMap<&str, Vec<&Try>>) {
    let by_level = places(tries, level);
    load.refused_spread = spread(&by_level);
    load.refused_spread_of_class = spread(&places(tries, |t| t.class.clone()));
    for (level, by) in by_level {
        let by = by
            .into_iter()
            .map(|(name, n)| (name.to_string(), ratio(n.0, n.1)))
            .collect();
        load.refused_share.insert(level, by);
    }
    let mut took: Vec<f64> = tries
        .iter()
        .filter(|t| t.is_refused())
        .map(|t| seconds(t.t, t.finals[0].0))
        .collect();
    took.sort_by(f64::total_cmp);
    (load.refusal_p50_s, load.refusal_p99_s) = (quantile(&took, 0.5), quantile(&took, 0.99));
    for two in by_mark.values().flat_map(|tries| tries.windows(2)) {
        let elsewhere = two[0].dispatcher() != two[1].dispatcher();
        if elsewhere && two[0].is_refused() && seconds(two[0].t, two[1].t) <= 5.0 {
            load.roamed += 1;
            load.roamed_refused += usize::from(two[1].is_refused());
        }
    }
}

fn goodput(load: &mut Load, facts: &Facts, by_mark: &BTreeMap<&str, Vec<&Try>>) {
    let classes: BTreeMap<&str, &ClassFacts> =
        facts.classes.iter().map(|c| (c.name.as_str(), c)).collect();
    let Some(begin) = by_mark.values().map(|tries| tries[0].t).min() else {
        return;
    };
    for tries in by_mark.values() {
        let Some(class) = classes.get(tries[0].class.as_str()) else {
            continue;
        };
        let s = seconds(begin, tries[0].t) as usize;
        if load.asked_by_s.len() <= s {
            load.asked_by_s.resize(s + 1, 0.0);
            load.goodput_by_s.resize(s + 1, 0.0);
        }
        let (asked, got) = worth(class, tries);
        load.asked_by_s[s] += asked;
        load.goodput_by_s[s] += got;
    }
    let recoveries = facts.troubles.iter().map(|(from, to, name)| {
        recovery(
            &load.asked_by_s,
            &load.goodput_by_s,
            seconds(begin, *from),
            seconds(begin, *to),
            name,
        )
    });
    load.recoveries = recoveries.collect();
}

fn mean(of: &[f64]) -> f64 {
    of.iter().sum::<f64>() / of.len().max(1) as f64
}

/// The last second of a day is part of one and does not count.
fn recovery(asked: &[f64], got: &[f64], from_s: f64, to_s: f64, trouble: &str) -> Recovery {
    let last = got.len().saturating_sub(1);
    let (from, to) = (
        (from_s as usize).min(last),
        (to_s.ceil() as usize).min(last),
    );
    let before = mean(&got[from.saturating_sub(BEFORE_S)..from]);
    let back = (to..last.saturating_sub(WINDOW_S - 1)).find(|s| {
        let window = *s..s + WINDOW_S;
        mean(&got[window.clone()]) >= BACK * before.min(mean(&asked[window]))
    });
    Recovery {
        trouble: trouble.to_string(),
        before,
        during: mean(&got[from..to]),
        back_after_s: back.map(|s| (s as f64 - to_s).max(0.0)),
    }
}

impl Load {
    /// The most probes a second at any host, as a mean over the day.
    pub fn probes_most(&self) -> f64 {
        self.probes_per_s.values().map(|p| p.0).fold(0.0, f64::max)
    }

    /// The figures as lines for people.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "attempts {} ({:.2} a request asked), repeats {:.3} (worst five seconds {:.2}); probes a host {:.2}/s at the most",
            self.attempts, self.attempts_per_asked, self.repeats, self.repeats_worst, self.probes_most()
        )];
        let shown = |spread: Option<f64>| {
            spread.map_or("not comparable".to_string(), |s| format!("{s:.3}"))
        };
        lines.push(format!(
            "refusals after {:.0} ms p50, {:.0} ms p99; share differs between dispatchers by {} in a class, by {} in a level; \
             refused again elsewhere {} of {}",
            self.refusal_p50_s * 1e3,
            self.refusal_p99_s * 1e3,
            shown(self.refused_spread_of_class),
            shown(self.refused_spread),
            self.roamed_refused,
            self.roamed
        ));
        lines.extend(self.parts.iter().map(|(name, p)| {
            format!(
                "{name:<20} asked {:>6}, served {:>6}, worth {:.3}, refused {:>6} of {:>6} tries, first token p50 {:>5.0} ms, \
                 p99 {:>5.0} ms ({:.0} ms from the first try), in time {:.3}",
                p.asked,
                p.served,
                p.worth,
                p.refused,
                p.tries,
                p.first_token_p50_s * 1e3,
                p.first_token_p99_s * 1e3,
                p.from_first_try_p99_s * 1e3,
                p.within_aim
            )
        }));
        lines.extend(self.recoveries.iter().map(|r| {
            let back = r
                .back_after_s
                .map_or("not back".to_string(), |s| format!("back after {s:.1} s"));
            format!(
                "{:<20} goodput {:.1}/s before, {:.1}/s during, {back}",
                r.trouble, r.before, r.during
            )
        }));
        lines
    }
}

#[cfg(test)]
mod tests {
    use bitternlatch_mock_engine::capture::Line;
    use bitternlatch_protocol::engine::{encode, CompletionRequest, KvTransferParams, ToEngine};
    use serde_json::{json, Value};

    use super::recovery;
    use crate::{judge, ClassFacts, Facts};

    fn line(t_ms: u64, who: &str, peer: &str, dir: &str, text: String) -> Line {
        Line {
            t: 1_000 * (100_000 + t_ms),
            who: who.into(),
            peer: peer.into(),
            dir: dir.into(),
            text,
        }
    }

    #[test]
    fn what_is_asked_refused_served_and_done_again_is_counted_from_the_sockets() {
        let said = |t_ms, peer: &str, name: &str| {
            let text = json!({ "type": "response.create", "model": "m", "input": "[req=1.0]", "max_output_tokens": 9,
                "metadata": { "class": "q", "try": name, "tenant": "north" } });
            line(t_ms, "c", peer, "out", text.to_string())
        };
        let heard = |t_ms, peer: &str, event: Value| line(t_ms, "c", peer, "in", event.to_string());
        let response = |status: &str| {
            json!({ "id": "r", "object": "response", "created_at": 0, "status": status, "model": "m",
            "output": [], "metadata": { "try": "c-2" } })
        };
        let clients = vec![
            said(0, "dispatch-1#1", "c-1"),
            heard(
                20,
                "dispatch-1#1",
                json!({ "type": "error", "error": { "retry_after_ms": 1, "metadata": { "try": "c-1" } } }),
            ),
            said(1000, "dispatch-2#1", "c-2"),
            heard(
                1100,
                "dispatch-2#1",
                json!({ "type": "response.created", "response": response("in_progress") }),
            ),
            heard(
                1300,
                "dispatch-2#1",
                json!({ "type": "response.output_text.delta", "response_id": "r", "delta": "w" }),
            ),
            heard(
                1500,
                "dispatch-2#1",
                json!({ "type": "response.completed", "response": response("completed") }),
            ),
        ];
        let run = |t_ms, id: &str, read: bool| {
            let kv = KvTransferParams {
                do_remote_decode: read,
                ..KvTransferParams::default()
            };
            let body = CompletionRequest {
                prompt: "[req=1.0]".into(),
                kv_transfer_params: Some(kv),
                ..CompletionRequest::default()
            };
            line(
                t_ms,
                "h",
                "1",
                "in",
                encode(&ToEngine::Completion {
                    id: id.into(),
                    body: Box::new(body),
                }),
            )
        };
        let probe = |t_ms| line(t_ms, "h", "1", "in", encode(&ToEngine::Probe { id: 1 }));
        let hosts = vec![
            run(0, "a", true),
            run(1, "b", true),
            run(2, "c", false),
            probe(100),
            probe(200),
            probe(2000),
        ];
        let class = ClassFacts {
            name: "q".into(),
            effect: "safe".into(),
            deadline_s: 6.0,
            worth: 2.0,
            late_worth: 0.5,
            ttft_aim_s: 1.0,
            ttft_aim_ms_per_1000_tokens: 0.0,
        };
        let load = judge(
            &Facts {
                classes: vec![class],
                ..Facts::default()
            },
            clients,
            hosts,
        )
        .load;
        assert_eq!(
            (load.attempts, load.attempts_per_asked, load.repeats),
            (3, 3.0, 1.5),
            "one read was repeated"
        );
        assert_eq!(load.probes_per_s["h"], (1.5, 2));
        assert_eq!((load.roamed, load.roamed_refused), (1, 0));
        assert_eq!(load.refusal_p99_s, 0.02);
        let part = &load.parts["q"];
        assert_eq!(
            (part.asked, part.served, part.tries, part.refused),
            (1, 1, 2, 1)
        );
        assert_eq!(
            (
                part.first_token_p50_s,
                part.from_first_try_p99_s,
                part.within_aim
            ),
            (0.3, 1.3, 1.0)
        );
        assert_eq!(part.worth, 0.5, "late by its first try");
        assert_eq!(load.parts["tenant north"], *part);
        assert_eq!((load.asked_by_s, load.goodput_by_s), (vec![2.0], vec![1.0]));
    }

    #[test]
    fn goodput_is_back_when_it_is_what_it_was_or_what_is_asked() {
        let asked = [10.0; 20];
        let mut got = [10.0; 20];
        got[6..12].fill(2.0);
        let back = |got: &[f64], asked: &[f64]| recovery(asked, got, 6.0, 8.0, "").back_after_s;
        assert_eq!(back(&got, &asked), Some(4.0));
        got[12..].fill(9.0);
        assert_eq!(back(&got, &asked), None, "never back to 0.95");
        let less = [[10.0; 8], [2.0; 8]].concat();
        assert_eq!(back(&got[..16], &less), Some(0.0), "no more is asked for");
        assert_eq!(recovery(&[], &[], 1.0, 2.0, "").back_after_s, None);
        assert_eq!(recovery(&asked, &got, 6.0, 8.0, "").during, 2.0);
    }
}
