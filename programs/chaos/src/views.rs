//! Members' views, from their own logs, held against what the script did.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

use crate::parted::{Happened, Truth};

/// A removal has its cause within so long before it: the probe, the suspicion and the news of it, with slack.
const CAUSE_US: u64 = 4_000_000;
/// A member that is cut off from the majority knows it within this.
const KNOWN_US: u64 = 5_000_000;
/// How long a part may be used after it was asked for.
const PART_US: u64 = 1_470_000;
/// One that was killed asked for its last part up to so long before: it asks five times in a part's life.
const ASKS_EVERY_US: u64 = 300_000;
/// What is not spent carefully by each, and the width of the figures.
const MOST_LENT: f64 = 0.9 + 1e-6;
/// Loss above which a living member may be taken for dead.
const MUCH_LOST: f64 = 0.1;

#[derive(Deserialize)]
struct LogLine {
    fields: Fields,
}

#[derive(Deserialize)]
struct Fields {
    at_us: Option<u64>,
    me: Option<String>,
    peer: Option<String>,
    state: Option<String>,
    standing: Option<String>,
    run: Option<u64>,
    lent: Option<f64>,
    before_until_us: Option<u64>,
}

/// What members said: of each other, and of their own standing.
#[derive(Debug, Default)]
pub(crate) struct Said {
    /// When, by whom, of whom.
    pub downs: Vec<(u64, usize, usize)>,
    /// When, by whom, what.
    pub standings: Vec<(u64, usize, String)>,
    /// By member, in order.
    pub parts: BTreeMap<usize, Vec<PartLine>>,
}

/// What a process was lent, since when, and until when the part before it would have counted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartLine {
    at: u64,
    run: u64,
    lent: f64,
    before_until: u64,
}

fn number(name: &str) -> Option<usize> {
    name.strip_prefix("dispatch-")?
        .parse::<usize>()
        .ok()?
        .checked_sub(1)
}

/// All that the logs of a day's folder say.
///
/// # Errors
/// Where the folder or a log cannot be read.
pub(crate) fn read(dir: &Path) -> Result<Said, String> {
    let mut said = Said::default();
    let entries = std::fs::read_dir(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    for path in entries
        .flatten()
        .map(|e| e.path())
        .filter(|p| p.extension().is_some_and(|e| e == "log"))
    {
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        text.lines()
            .filter_map(|line| serde_json::from_str::<LogLine>(line).ok())
            .for_each(|l| said.take(l.fields));
    }
    said.downs.sort_unstable();
    said.standings.sort();
    said.parts
        .values_mut()
        .for_each(|parts| parts.sort_by_key(|p| p.at));
    Ok(said)
}

/// Whether the last word of each of so many members is that all are there.
pub(crate) fn all_whole(dir: &Path, count: usize) -> bool {
    read(dir).is_ok_and(|said| (0..count).all(|i| said.standing(i, u64::MAX) == Some("Whole")))
}

impl Said {
    fn take(&mut self, line: Fields) {
        let (Some(at), Some(me)) = (line.at_us, line.me.as_deref().and_then(number)) else {
            return;
        };
        if let Some(standing) = line.standing {
            self.standings.push((at, me, standing));
        }
        if let (Some(run), Some(lent), Some(before_until)) =
            (line.run, line.lent, line.before_until_us)
        {
            self.parts.entry(me).or_default().push(PartLine {
                at,
                run,
                lent,
                before_until,
            });
        }
        let peer = line.peer.as_deref().and_then(number);
        if let (Some("Down"), Some(peer)) = (line.state.as_deref(), peer) {
            self.downs.push((at, me, peer));
        }
    }

    /// How much all were lent together at most, and when.
    fn most_lent(&self, truths: &[Truth]) -> (f64, u64) {
        let mut changes: Vec<(u64, f64)> = Vec::new();
        for (member, parts) in &self.parts {
            for (i, part) in parts.iter().enumerate() {
                let end = part_ends(part, parts.get(i + 1), *member, truths);
                changes.extend([(part.at, part.lent), (end.max(part.at), -part.lent)]);
            }
        }
        // What ends at a moment has ended when another begins at it.
        changes.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let mut now = 0.0;
        changes.iter().fold((0.0, 0), |most, (at, change)| {
            now += change;
            if now > most.0 {
                (now, *at)
            } else {
                most
            }
        })
    }

    /// The standing that a member had at a time, by its own word.
    fn standing(&self, of: usize, at: u64) -> Option<&str> {
        let mut before = self
            .standings
            .iter()
            .filter(|(t, by, _)| *by == of && *t <= at);
        before.next_back().map(|(_, _, standing)| standing.as_str())
    }
}

/// How much members were lent together at most, by the logs of a folder; where none of them was killed.
///
/// # Errors
/// Where the folder or a log cannot be read.
pub fn lent_at_most(dir: &Path) -> Result<f64, String> {
    Ok(read(dir)?.most_lent(&[]).0)
}

/// When a part that was lent at a time ended: with the next line of its process, or by the time that this line names; one whose
/// process was killed a part's life after that. The last of the day ends with it.
fn part_ends(part: &PartLine, next: Option<&PartLine>, member: usize, truths: &[Truth]) -> u64 {
    let Some(next) = next else { return u64::MAX };
    if next.run == part.run {
        return next.at.min(next.before_until);
    }
    let between = part.at..next.at;
    let killed = |t: &&Truth| {
        matches!(t.what, Happened::Away(i) if i == member) && between.contains(&t.from_us)
    };
    let killed = truths
        .iter()
        .find(killed)
        .map(|t| t.from_us + PART_US - ASKS_EVERY_US);
    killed.map_or(next.at, |end| end.min(next.at))
}

/// What members believed without cause, or failed to see; up to `end`, when they were told to stop.
pub(crate) fn judge(said: &Said, truths: &[Truth], count: usize, end: u64) -> Vec<String> {
    let mut wrong: Vec<String> = Vec::new();
    for (at, by, of) in said.downs.iter().filter(|d| d.0 < end) {
        let near = |t: &&Truth| t.from_us <= *at && *at <= t.to_us.saturating_add(CAUSE_US);
        let cause = |t: &Truth| match &t.what {
            Happened::Away(away) => away == of,
            Happened::Between(b) => {
                let much = b.cut || b.lost > MUCH_LOST;
                much && (0..count).any(|i| b.concerns(*of, i, count) || b.concerns(i, *of, count))
            }
        };
        if !truths.iter().filter(near).any(cause) {
            wrong.push(format!(
                "dispatch-{} took dispatch-{} for dead without cause",
                by + 1,
                of + 1
            ));
        }
    }
    for truth in truths
        .iter()
        .filter(|t| t.to_us > t.from_us + KNOWN_US && t.from_us + KNOWN_US < end)
    {
        let Happened::Between(b) = &truth.what else {
            continue;
        };
        let apart = |i: usize| {
            (0..count)
                .filter(|o| b.concerns(i, *o, count) && b.concerns(*o, i, count))
                .count()
        };
        for member in (0..count)
            .filter(|i| b.cut && b.group.len() < count && 2 * (count - apart(*i)) <= count)
        {
            let busy = |t: &Truth| {
                matches!(t.what, Happened::Away(i) if i == member) && t.to_us >= truth.from_us
            };
            let standing = said.standing(member, truth.from_us + KNOWN_US);
            if !truths.iter().any(busy) && !matches!(standing, Some("CutOff" | "Alone")) {
                wrong.push(format!(
                    "dispatch-{} was cut off from the majority and held itself for {standing:?}",
                    member + 1
                ));
            }
        }
    }
    let (lent, at) = said.most_lent(truths);
    if lent > MOST_LENT {
        wrong.push(format!(
            "at {at} us members were lent {lent:.4} of what all share, more than there is"
        ));
    }
    let last: BTreeMap<usize, &str> = (0..count)
        .filter_map(|i| Some((i, said.standing(i, end)?)))
        .collect();
    for i in (0..count).filter(|i| last.get(i) != Some(&"Whole")) {
        wrong.push(format!(
            "dispatch-{} ended the day as {:?} and not whole",
            i + 1,
            last.get(&i)
        ));
    }
    wrong.sort();
    wrong.dedup();
    wrong
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::parted::BetweenFault;

    const S: u64 = 1_000_000;

    fn whole(count: usize) -> Said {
        let standings = (0..count).map(|i| (S, i, "Whole".to_string())).collect();
        Said {
            standings,
            ..Said::default()
        }
    }

    fn cut(from: u64, to: u64) -> Truth {
        let text = "at_s = 1\nfor_s = 9\ngroup = [1]\ncut = true";
        let fault: BetweenFault = toml::from_str(text).expect("a fault");
        Truth {
            from_us: from,
            to_us: to,
            what: Happened::Between(fault),
        }
    }

    #[test]
    fn a_removal_needs_its_cause() {
        let mut said = whole(3);
        said.downs.push((10 * S, 0, 2));
        let away = |i, from| Truth {
            from_us: from,
            to_us: from + S,
            what: Happened::Away(i),
        };
        assert!(judge(&said, &[away(2, 8 * S)], 3, 60 * S).is_empty());
        for truths in [
            vec![],
            vec![away(1, 8 * S)],
            vec![away(2, 2 * S)],
            vec![away(2, 11 * S)],
        ] {
            let wrong = judge(&said, &truths, 3, 60 * S);
            assert_eq!(
                wrong,
                ["dispatch-1 took dispatch-3 for dead without cause"],
                "{truths:?}"
            );
        }
    }

    #[test]
    fn parts_may_not_add_up_to_more_than_there_is() {
        let mut said = whole(2);
        let line = |at, run, lent, before_until| PartLine {
            at,
            run,
            lent,
            before_until,
        };
        said.parts
            .insert(0, vec![line(2 * S, 1, 0.9, 0), line(5 * S, 1, 0.0, 4 * S)]);
        said.parts.insert(1, vec![line(4 * S, 1, 0.9, 0)]);
        assert!(
            judge(&said, &[], 2, 60 * S).is_empty(),
            "the first one's had ended by its time"
        );
        said.parts.insert(1, vec![line(4 * S - 1, 1, 0.9, 0)]);
        let wrong = judge(&said, &[], 2, 60 * S);
        assert!(
            wrong.len() == 1 && wrong[0].contains("lent 1.8000"),
            "{wrong:?}"
        );
        // Killed at the third second: no line tells of its end, and the next start had a part of nothing before.
        said.parts
            .insert(0, vec![line(2 * S, 1, 0.9, 0), line(9 * S, 2, 0.5, 10 * S)]);
        let killed = [Truth {
            from_us: 3 * S,
            to_us: 8 * S,
            what: Happened::Away(0),
        }];
        assert!(!judge(&said, &killed, 2, 60 * S).is_empty());
        said.parts.insert(
            1,
            vec![line(3 * S + PART_US, 1, 0.9, 0), line(9 * S, 1, 0.4, 9 * S)],
        );
        assert!(judge(&said, &killed, 2, 60 * S).is_empty());
    }

    #[test]
    fn who_is_cut_off_has_to_see_it_and_all_have_to_find_each_other_again() {
        let truths = [cut(10 * S, 20 * S)];
        let mut said = whole(3);
        let blind = judge(&said, &truths, 3, 60 * S);
        assert_eq!(blind.len(), 1, "{blind:?}");
        assert!(blind[0].contains("dispatch-1 was cut off"));
        said.standings.push((13 * S, 0, "Alone".to_string()));
        let lasting = judge(&said, &truths, 3, 60 * S);
        assert!(
            lasting.len() == 1 && lasting[0].contains("ended the day"),
            "{lasting:?}"
        );
        said.standings.push((22 * S, 0, "Whole".to_string()));
        assert!(judge(&said, &truths, 3, 60 * S).is_empty());
    }
}
