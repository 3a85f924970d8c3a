//! What the clients' captures show: one final answer for each try, in time, and nothing after it.

use std::collections::{BTreeMap, BTreeSet};

use bitternlatch_mock_engine::capture::Line;
use bitternlatch_protocol::client::{parse, ClientEvent, Create, ServerEvent};
use bitternlatch_protocol::estimate_tokens;

use crate::hosts::{effects, Seen};
use crate::{mark, us, Breach, ClassFacts, Facts, Rule, Verdict, WorkflowFacts, SLACK_S};

/// One `response.create` on one connection.
pub(crate) struct Try {
    pub conn: (String, String),
    pub t: u64,
    pub class: String,
    /// Empty where it named none.
    pub tenant: String,
    pub mark: String,
    pub tokens: u32,
    /// It goes on with nothing that was said before.
    pub first_turn: bool,
    pub first: Option<u64>,
    pub finals: Vec<(u64, Final)>,
    pub metadata: BTreeMap<String, String>,
    /// Its response, where one was begun.
    pub response: String,
    /// The text of its first final answer, or the code of the error.
    pub said: String,
    /// Events that came after the final one.
    after: usize,
    ended: Option<(u64, End)>,
}

impl Try {
    pub fn is_refused(&self) -> bool {
        self.finals.first().is_some_and(|f| f.1 == Final::Refused)
    }

    pub fn dispatcher(&self) -> &str {
        self.conn.1.split('#').next().unwrap_or_default()
    }
}

/// How a try's session ended before its final answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    /// The client dropped its socket by script, or had lost it before it spoke.
    Dropped,
    /// The other end.
    Closed,
    /// The client closed or gave up though it had no answer.
    Unanswered,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Final {
    Served,
    Refused,
    Failed,
}

/// The whole text of an answer, or the code of the error that ended it.
fn said(event: &ServerEvent) -> String {
    let code = event
        .error
        .as_ref()
        .and_then(|e| e.get("code"))
        .and_then(|c| c.as_str());
    let response = event.response.as_ref();
    let failed = response
        .and_then(|r| r.error.as_ref())
        .map(|e| e.code.as_str());
    if let Some(code) = code.or(failed) {
        return code.to_string();
    }
    let parts = response
        .into_iter()
        .flat_map(|r| &r.output)
        .flat_map(|item| &item.content);
    parts.map(|part| part.text.as_str()).collect()
}

fn final_of(event: &ServerEvent) -> Final {
    let error = event.response.as_ref().and_then(|r| r.error.as_ref());
    match event.kind.as_str() {
        "response.completed" | "response.incomplete" => Final::Served,
        "response.failed" if error.is_some_and(|e| e.safe_to_repeat) => Final::Refused,
        "error" => {
            let status = event.error.as_ref().and_then(|e| e.get("retry_after_ms"));
            if status.is_some() {
                Final::Refused
            } else {
                Final::Failed
            }
        }
        _ => Final::Failed,
    }
}

pub(crate) fn tries(lines: &[Line]) -> Vec<Try> {
    let mut all: Vec<Try> = Vec::new();
    // Open tries of a connection by the client's own name for them, and by response.
    let mut named: BTreeMap<(String, String, String), usize> = BTreeMap::new();
    let mut by_response: BTreeMap<(String, String, String), usize> = BTreeMap::new();
    let mut over: BTreeSet<(String, String)> = BTreeSet::new();
    for line in lines {
        let conn = (line.who.clone(), line.peer.clone());
        let key = |name: &str| (conn.0.clone(), conn.1.clone(), name.to_string());
        match line.dir.as_str() {
            "out" => {
                if let Ok(ClientEvent::Create(create)) = parse(&line.text) {
                    named.insert(key(name_of(&create)), all.len());
                    let mut one = try_of(conn.clone(), line.t, &create);
                    // Said after its socket had ended: nothing of it was sent.
                    one.ended = over.contains(&conn).then_some((line.t, End::Dropped));
                    all.push(one);
                }
            }
            "in" => {
                let Ok(event) = serde_json::from_str::<ServerEvent>(&line.text) else {
                    continue;
                };
                let response = event.response.as_ref();
                let name = response
                    .and_then(|r| r.metadata.get("try"))
                    .cloned()
                    .or_else(|| name_in_error(&event));
                let id = response
                    .map(|r| r.id.clone())
                    .or(event.response_id.clone())
                    .unwrap_or_default();
                let known = name
                    .and_then(|n| named.get(&key(&n)))
                    .or_else(|| by_response.get(&key(&id)))
                    .copied();
                let Some(i) = known else { continue };
                if !id.is_empty() {
                    by_response.insert(key(&id), i);
                    all[i].response = id;
                }
                hear(&mut all[i], line.t, &event);
            }
            "close" | "drop" | "bye" | "gave_up" => {
                over.insert(conn.clone());
                let end = match line.dir.as_str() {
                    "drop" => End::Dropped,
                    "close" => End::Closed,
                    _ => End::Unanswered,
                };
                let here = |t: &&mut Try| t.conn == conn && t.ended.is_none();
                all.iter_mut()
                    .filter(here)
                    .for_each(|t| t.ended = Some((line.t, end)));
            }
            _ => {}
        }
    }
    all
}

fn name_of(create: &Create) -> &str {
    create.metadata.get("try").map_or("", String::as_str)
}

fn name_in_error(event: &ServerEvent) -> Option<String> {
    event
        .error
        .as_ref()?
        .get("metadata")?
        .get("try")?
        .as_str()
        .map(str::to_string)
}

fn try_of(conn: (String, String), t: u64, create: &Create) -> Try {
    let text = format!("{}\n{}", create.instructions, create.input);
    Try {
        conn,
        t,
        class: create.metadata.get("class").cloned().unwrap_or_default(),
        tenant: create.metadata.get("tenant").cloned().unwrap_or_default(),
        first_turn: create.previous_response_id.is_none(),
        mark: mark(&text).unwrap_or_default().to_string(),
        tokens: estimate_tokens(text.len()),
        first: None,
        finals: Vec::new(),
        metadata: create.metadata.clone(),
        response: String::new(),
        said: String::new(),
        after: 0,
        ended: None,
    }
}

fn hear(one: &mut Try, t: u64, event: &ServerEvent) {
    if !one.finals.is_empty() && !event.is_final() {
        one.after += 1;
    }
    if event.delta.is_some() {
        one.first.get_or_insert(t);
    }
    if event.is_final() {
        if one.finals.is_empty() {
            one.said = said(event);
        }
        one.finals.push((t, final_of(event)));
    }
}

pub(crate) fn judge(facts: &Facts, lines: &[Line], seen: &Seen, verdict: &mut Verdict) -> Vec<Try> {
    let all = tries(lines);
    let end = lines.last().map_or(0, |l| l.t);
    let classes: BTreeMap<&str, &ClassFacts> =
        facts.classes.iter().map(|c| (c.name.as_str(), c)).collect();
    for one in &all {
        if let Some(class) = classes.get(one.class.as_str()) {
            lost(facts, class, one, end, verdict);
        }
    }
    let class_of: BTreeMap<&str, &str> = all
        .iter()
        .map(|t| (t.mark.as_str(), t.class.as_str()))
        .collect();
    // A worker may have died before its capture held what it asked: its plan is known all the same.
    let planned: BTreeSet<String> = facts
        .workflows
        .iter()
        .flat_map(WorkflowFacts::unsafe_marks)
        .collect();
    let is_unsafe = |mark: &str| {
        let class = class_of.get(mark).and_then(|c| classes.get(c));
        class.is_some_and(|c| c.effect == "unsafe") || planned.contains(mark)
    };
    effects(seen, is_unsafe, verdict);
    refused_though_run(&all, seen, is_unsafe, verdict);
    service(&all, &classes, verdict);
    all
}

/// The first rule, for one try.
fn lost(facts: &Facts, class: &ClassFacts, one: &Try, end: u64, verdict: &mut Verdict) {
    let mut breach = |t: u64, what: String| {
        let what = format!(
            "request {} on {} {}: {what}",
            one.mark, one.conn.0, one.conn.1
        );
        verdict.breaches.push(Breach {
            rule: Rule::NoRequestLost,
            t,
            what,
        });
    };
    if one.finals.len() > 1 {
        breach(
            one.finals[1].0,
            format!("{} final answers", one.finals.len()),
        );
    }
    if one.after > 0 {
        breach(
            one.finals[0].0,
            format!("{} events after the final answer", one.after),
        );
    }
    let due = one.t + us(class.deadline_s + SLACK_S);
    // One that stands still reads late, and dates from when it reads.
    let due = due
        + away(facts, one, due)
            .map(|(from, to)| to.min(due) - from.max(one.t))
            .sum::<u64>();
    let until = one.ended.map_or(end, |e| e.0);
    let first = one
        .first
        .into_iter()
        .chain(one.finals.first().map(|f| f.0))
        .min();
    if first.is_none_or(|t| t > due) && until > due {
        breach(due, "no answer begun within the client's time".to_string());
    } else if one.finals.is_empty() {
        let dispatcher = one.dispatcher();
        let killed = |at: u64| {
            facts
                .kills
                .iter()
                .any(|(t, name)| name == dispatcher && *t <= at + 1_000_000 && at < t + 10_000_000)
        };
        match one.ended {
            Some((_, End::Dropped)) => {}
            Some((t, End::Closed)) if killed(t) => {}
            Some((t, End::Closed)) => {
                breach(t, "its session ended without a final answer".to_string())
            }
            Some((t, End::Unanswered)) if away(facts, one, t).next().is_some() => {}
            Some((t, End::Unanswered)) => breach(
                t,
                "its client waited for a final answer in vain".to_string(),
            ),
            None => breach(end, "no final answer by the end".to_string()),
        }
    }
}

/// Times in which the script kept its dispatcher or its worker away, between its begin and another moment.
fn away<'a>(facts: &'a Facts, one: &'a Try, until: u64) -> impl Iterator<Item = (u64, u64)> + 'a {
    let concerned = |who: &str| who == one.dispatcher() || who == one.conn.0;
    let here = move |a: &&(u64, u64, String)| concerned(&a.2) && a.0 < until && one.t < a.1;
    facts
        .away
        .iter()
        .filter(here)
        .map(|(from, to, _)| (*from, *to))
}

/// A refusal says that asking again is harmless: it is none where an unsafe request may have run.
fn refused_though_run(
    all: &[Try],
    seen: &Seen,
    is_unsafe: impl Fn(&str) -> bool,
    verdict: &mut Verdict,
) {
    let by_mark = seen.by_mark();
    // Asking a step of a workflow again is harmless whatever was run: its log stands before it.
    let bare = |t: &&Try| is_unsafe(&t.mark) && !t.metadata.contains_key("workflow");
    for one in all.iter().filter(bare) {
        let Some((t, _)) = one.finals.iter().find(|f| f.1 == Final::Refused) else {
            continue;
        };
        let runs = by_mark.get(one.mark.as_str()).into_iter().flatten();
        if runs.filter(|a| a.runs() && a.told < *t).count() > 0 {
            let what = format!("request {} was refused though it may have run", one.mark);
            verdict.breaches.push(Breach {
                rule: Rule::NoEffectTwice,
                t: *t,
                what,
            });
        }
    }
}

/// Worth answered in time over worth asked for; a client's repeats count with its first try.
fn service(all: &[Try], classes: &BTreeMap<&str, &ClassFacts>, verdict: &mut Verdict) {
    let mut by_mark: BTreeMap<&str, Vec<&Try>> = BTreeMap::new();
    all.iter()
        .for_each(|t| by_mark.entry(&t.mark).or_default().push(t));
    let (mut got, mut asked) = (0.0, 0.0);
    let s = &mut verdict.service;
    for (_, tries) in by_mark {
        let Some(class) = classes.get(tries[0].class.as_str()) else {
            continue;
        };
        s.asked += 1;
        asked += class.worth;
        let served = tries
            .iter()
            .find(|t| t.finals.first().is_some_and(|f| f.1 == Final::Served));
        if let Some(first) = served.and_then(|t| t.first) {
            let took = (first.saturating_sub(tries[0].t)) as f64 / 1e6;
            let aim = class.ttft_aim_s
                + class.ttft_aim_ms_per_1000_tokens * f64::from(tries[0].tokens) / 1e6;
            got += class.worth * if took <= aim { 1.0 } else { class.late_worth };
            verdict.ttft_s.push(took);
        }
    }
    for one in all {
        s.tries += 1;
        match one.finals.first() {
            Some((_, Final::Served)) => s.served += 1,
            Some((_, Final::Refused)) => s.refused += 1,
            Some((_, Final::Failed)) => s.failed += 1,
            None => s.cut_off += 1,
        }
    }
    s.worth = if asked > 0.0 { got / asked } else { 0.0 };
    verdict.ttft_s.sort_by(f64::total_cmp);
}

#[cfg(test)]
mod tests {
    use bitternlatch_mock_engine::capture::Line;
    use serde_json::json;

    use crate::{judge, ClassFacts, Facts};

    /// Breaches of a request that was asked at second 0 and answered at another or given up.
    fn breaches(away_s: Option<(u64, u64)>, answered_s: Option<u64>, over_s: u64) -> usize {
        let line = |t_s: u64, dir: &str, text: serde_json::Value| Line {
            t: 1_000_000 * (100 + t_s),
            who: "c".into(),
            peer: "dispatch-1#1".into(),
            dir: dir.into(),
            text: text.to_string(),
        };
        let create = json!({ "type": "response.create", "model": "m", "input": "[req=1.0]", "max_output_tokens": 9,
            "metadata": { "class": "q", "try": "c-1" } });
        let error = json!({ "type": "error", "error": { "retry_after_ms": 1, "metadata": { "try": "c-1" } } });
        let end = if answered_s.is_some() {
            "bye"
        } else {
            "gave_up"
        };
        let answer = answered_s.map(|t_s| line(t_s, "in", error));
        let lines = [line(0, "out", create)]
            .into_iter()
            .chain(answer)
            .chain([line(over_s, end, json!(""))]);
        let class = ClassFacts {
            name: "q".into(),
            effect: "safe".into(),
            deadline_s: 6.0,
            worth: 1.0,
            late_worth: 0.3,
            ttft_aim_s: 1.5,
            ttft_aim_ms_per_1000_tokens: 0.0,
        };
        let at = |s: u64| 1_000_000 * (100 + s);
        let away = away_s
            .map(|(from, to)| (at(from), at(to), "dispatch-1".to_string()))
            .into_iter()
            .collect();
        judge(
            &Facts {
                classes: vec![class],
                away,
                ..Facts::default()
            },
            lines.collect(),
            Vec::new(),
        )
        .breaches
        .len()
    }

    #[test]
    fn a_dispatcher_that_stood_still_answers_later_by_as_much_and_no_more() {
        assert_eq!(breaches(None, Some(5), 9), 0);
        assert_eq!(breaches(None, Some(8), 9), 1);
        assert_eq!(breaches(Some((1, 4)), Some(8), 9), 0);
        assert_eq!(breaches(Some((1, 4)), Some(10), 12), 1);
        assert_eq!(
            breaches(Some((1, 9)), None, 7),
            0,
            "its client waited in vain for one that stood still"
        );
        assert_eq!(breaches(None, None, 7), 1);
    }
}
