//! Dispatchers that know each other on a day: what lies between them, and what happens to their processes.

use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bitternlatch_core::settings::{Cluster, Peer};
use bitternlatch_mock_engine::capture::unix_us;
use bitternlatch_net::lock;
use serde::Deserialize;

use crate::between::{Between, Rule};
use crate::process::{own_address, Dispatcher};

/// Which datagrams a trouble concerns, seen from its group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    #[default]
    Both,
    /// From the group to the others alone.
    Out,
    /// From the others to the group alone.
    In,
}

/// `[[between]]`: for some time what a group of dispatchers and the others say to each other is cut, lost, delayed or doubled.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BetweenFault {
    pub at_s: f64,
    pub for_s: f64,
    /// From 1; all of them, for trouble between each two.
    pub group: Vec<usize>,
    /// The others that it concerns; all that are not in the group, where none is named.
    #[serde(default)]
    pub with: Vec<usize>,
    #[serde(default)]
    pub way: Way,
    #[serde(default)]
    pub cut: bool,
    #[serde(default)]
    pub lost: f64,
    #[serde(default)]
    pub twice: f64,
    #[serde(default)]
    pub delay_s: f64,
    #[serde(default)]
    pub jitter_s: f64,
    /// A slow link: bytes a second; 0 is no bound.
    #[serde(default)]
    pub bytes_s: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// SIGSTOP, and SIGCONT after the time.
    Pause,
    /// The same for the leader, which issues quota leases; `dispatcher` where there is none.
    PauseSteward,
    /// SIGKILL, and a start with what its folder holds after the time.
    Kill,
    /// The same, and the folder's last start is gone.
    KillAndEmpty,
    /// The same, and the folder is as it was at the day's begin.
    KillAndSetBack,
    /// The same, and the folder's last start was made by a clock that was an hour ahead; it is right again.
    KillAndClockAhead,
}

/// `[[process]]`: what happens to one dispatcher's process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessFault {
    pub at_s: f64,
    pub for_s: f64,
    /// From 1.
    pub dispatcher: usize,
    pub what: What,
}

impl BetweenFault {
    fn rule(&self) -> Rule {
        Rule {
            cut: self.cut,
            lost: self.lost,
            twice: self.twice,
            delay_s: self.delay_s,
            jitter_s: self.jitter_s,
            bytes_s: self.bytes_s,
        }
    }

    /// Whether it concerns what one dispatcher says to another, both from 0.
    pub(crate) fn concerns(&self, from: usize, to: usize, count: usize) -> bool {
        let within = |i: usize| self.group.contains(&(i + 1));
        if self.group.len() == count {
            return true;
        }
        let other = |i: usize| !within(i) && (self.with.is_empty() || self.with.contains(&(i + 1)));
        let (out, back) = (within(from) && other(to), other(from) && within(to));
        match self.way {
            Way::Both => out || back,
            Way::Out => out,
            Way::In => back,
        }
    }
}

/// The first thing wrong with troubles of so many dispatchers.
///
/// # Errors
/// With its place and cause.
pub(crate) fn check(
    between: &[BetweenFault],
    process: &[ProcessFault],
    count: usize,
) -> Result<(), String> {
    for (i, b) in between.iter().enumerate() {
        if !b.bytes_s.is_finite() || b.bytes_s < 0.0 {
            return Err(format!(
                "between.{i}.bytes_s: {} is no number of bytes",
                b.bytes_s
            ));
        }
        let shares = [b.lost, b.twice].iter().all(|s| (0.0..=1.0).contains(s));
        let times = [b.at_s, b.for_s, b.delay_s, b.jitter_s]
            .iter()
            .all(|t| (0.0..=600.0).contains(t));
        if !shares || !times {
            return Err(format!("between.{i}: shares are 0 to 1, times 0 to 600 s"));
        }
        if b.group.is_empty()
            || b.group
                .iter()
                .chain(&b.with)
                .any(|n| !(1..=count).contains(n))
        {
            return Err(format!(
                "between.{i}.group: dispatchers 1 to {count} are expected"
            ));
        }
    }
    for (i, p) in process.iter().enumerate() {
        if !(1..=count).contains(&p.dispatcher) {
            return Err(format!(
                "process.{i}.dispatcher: {} is not between 1 and {count}",
                p.dispatcher
            ));
        }
        if !(0.0..=600.0).contains(&p.at_s) || !(0.0..=600.0).contains(&p.for_s) {
            return Err(format!("process.{i}: times are 0 to 600 s"));
        }
    }
    Ok(())
}

/// What truly happened, by the script's own clock.
#[derive(Clone, Debug)]
pub(crate) struct Truth {
    pub from_us: u64,
    pub to_us: u64,
    pub what: Happened,
}

#[derive(Clone, Debug)]
pub(crate) enum Happened {
    /// A process was paused, or not there.
    Away(usize),
    Between(BetweenFault),
}

pub(crate) type Truths = Arc<Mutex<Vec<Truth>>>;

/// The cluster of one day.
pub(crate) struct Joined {
    addresses: Vec<SocketAddrV4>,
    between: Arc<Between>,
    dir: PathBuf,
    pub truths: Truths,
}

impl Joined {
    /// # Errors
    /// Where the secret cannot be written or the system gives no socket.
    pub fn make(dir: &Path, count: usize, seed: u64) -> std::io::Result<Joined> {
        let addresses: Vec<SocketAddrV4> = (0..count).map(|_| own_address(7811)).collect();
        let named = addresses
            .iter()
            .enumerate()
            .map(|(i, at)| (format!("dispatch-{}", i + 1), *at));
        let between = Between::start(&named.collect::<Vec<_>>(), seed)?;
        std::fs::write(dir.join("secret"), "known to the day's dispatchers alone\n")?;
        Ok(Joined {
            addresses,
            between: Arc::new(between),
            dir: dir.to_path_buf(),
            truths: Truths::default(),
        })
    }

    /// Gives each its part; `dispatchers` are all of the day, in order.
    ///
    /// # Errors
    /// Where one has no relay before it.
    pub fn settle(
        &self,
        dispatchers: &mut [Dispatcher],
        beside: &toml::Table,
    ) -> std::io::Result<()> {
        let no_relay = || std::io::Error::other("a dispatcher without a relay");
        let line = |(i, one): (usize, &Dispatcher)| {
            let (name, clients) = (one.name.clone(), Some(one.address.clone()));
            Ok(Peer {
                name,
                address: self.between.front(i).ok_or_else(no_relay)?,
                client_address: clients,
            })
        };
        let roster = dispatchers
            .iter()
            .enumerate()
            .map(line)
            .collect::<std::io::Result<Vec<Peer>>>()?;
        for (one, address) in dispatchers.iter_mut().zip(&self.addresses) {
            let cluster = Cluster {
                name: "day".to_string(),
                secret: "secret".to_string(),
                incarnation_file: Some(format!("{}.start", one.name)),
                address: Some(*address),
                roster: roster.clone(),
                ..Cluster::default()
            };
            let mut table = toml::Table::try_from(cluster).map_err(std::io::Error::other)?;
            // What the day's or the settings' own table switches on besides.
            table.extend(beside.clone());
            if let Some(workflows) = table.get_mut("workflows").and_then(|w| w.as_table_mut()) {
                // One file a dispatcher, the same after a restart, and none from an earlier day in this folder.
                let kept = format!("{}.workflows", one.name);
                match std::fs::remove_file(self.dir.join(&kept)) {
                    Err(e) if e.kind() != std::io::ErrorKind::NotFound => return Err(e),
                    _ => drop(workflows.entry("kept").or_insert(kept.into())),
                }
            }
            one.set("cluster", table.into());
        }
        Ok(())
    }

    /// Threads that play the troubles at their times, from now on.
    pub fn scripts(
        &self,
        between: &[BetweenFault],
        process: &[ProcessFault],
        image: &Path,
        dispatchers: &Arc<Mutex<Vec<Dispatcher>>>,
    ) -> Vec<JoinHandle<()>> {
        let start = Instant::now();
        let mut threads = vec![self.between_script(between.to_vec(), start)];
        for fault in process {
            let fault = fault.clone();
            let (all, image, dir) = (
                Arc::clone(dispatchers),
                image.to_path_buf(),
                self.dir.clone(),
            );
            let truths = Arc::clone(&self.truths);
            threads.push(std::thread::spawn(move || {
                play(&fault, start, &all, &image, &dir, &truths)
            }));
        }
        threads
    }

    /// Troubles may overlap: at each change the last that concerns a way and is on counts.
    fn between_script(&self, faults: Vec<BetweenFault>, start: Instant) -> JoinHandle<()> {
        let (between, truths, count) = (
            Arc::clone(&self.between),
            Arc::clone(&self.truths),
            self.addresses.len(),
        );
        let mut times: Vec<f64> = faults
            .iter()
            .flat_map(|f| [f.at_s, f.at_s + f.for_s])
            .collect();
        times.sort_by(f64::total_cmp);
        std::thread::spawn(move || {
            let mut since: Vec<Option<u64>> = vec![None; faults.len()];
            for at_s in times {
                wait_until(start, at_s);
                let on = |f: &&BetweenFault| f.at_s <= at_s && at_s < f.at_s + f.for_s;
                for (from, to) in (0..count).flat_map(|from| (0..count).map(move |to| (from, to))) {
                    let last = faults
                        .iter()
                        .filter(on)
                        .rfind(|f| f.concerns(from, to, count));
                    between.set(from, to, last.map(BetweenFault::rule).unwrap_or_default());
                }
                for (fault, since) in faults.iter().zip(&mut since) {
                    match (on(&fault), *since) {
                        (true, None) => *since = Some(unix_us()),
                        (false, Some(from_us)) => {
                            *since = None;
                            note(&truths, from_us, Happened::Between(fault.clone()));
                        }
                        _ => {}
                    }
                }
            }
        })
    }
}

pub(crate) fn wait_until(start: Instant, at_s: f64) {
    std::thread::sleep(Duration::from_secs_f64(at_s).saturating_sub(start.elapsed()));
}

fn note(truths: &Truths, from_us: u64, what: Happened) {
    lock(truths).push(Truth {
        from_us,
        to_us: unix_us(),
        what,
    });
}

/// Whether the last that a log says of it is that its process is the one that lends.
fn lends_last(log: &str) -> bool {
    let begun = log.rfind("became leader; issues quota leases");
    begun.is_some() && begun > log.rfind("no longer leader; stopped issuing quota leases")
}

/// What happened to the folder while its process was away. Where it has no start yet there is nothing to change.
fn change_kept(what: What, path: &Path, first: Option<&str>) {
    let done = match (what, first) {
        (What::Pause | What::PauseSteward | What::Kill, _) => Ok(()),
        (What::KillAndEmpty, _) => std::fs::remove_file(path),
        (What::KillAndSetBack, Some(first)) => std::fs::write(path, first),
        (What::KillAndClockAhead, _) => {
            let ahead = unix_us() / 1000 + 3_600_000;
            std::fs::write(path, ahead.to_string())
        }
        (What::KillAndSetBack, None) => Ok(()),
    };
    if let Err(error) = done {
        eprintln!("{}: {error}; it is as it was", path.display());
    }
}

fn play(
    fault: &ProcessFault,
    start: Instant,
    all: &Mutex<Vec<Dispatcher>>,
    image: &Path,
    dir: &Path,
    truths: &Truths,
) {
    let mut i = fault.dispatcher - 1;
    let kept = lock(all)
        .get(i)
        .map(|one| dir.join(format!("{}.start", one.name)));
    let first = kept.and_then(|path| std::fs::read_to_string(path).ok());
    wait_until(start, fault.at_s);
    if fault.what == What::PauseSteward {
        let lends = |one: &Dispatcher| one.log().is_ok_and(|log| lends_last(&log));
        i = lock(all).iter().position(lends).unwrap_or(i);
    }
    let began = unix_us();
    if let Some(one) = lock(all).get_mut(i) {
        match fault.what {
            What::Pause | What::PauseSteward => one.pause(),
            _ => one.kill(),
        }
    }
    wait_until(start, fault.at_s + fault.for_s);
    if let Some(one) = lock(all).get_mut(i) {
        change_kept(
            fault.what,
            &dir.join(format!("{}.start", one.name)),
            first.as_deref(),
        );
        match fault.what {
            What::Pause | What::PauseSteward => one.go_on(),
            // Should it not start again, its clients find the others.
            _ => drop(one.start(image)),
        }
    }
    note(truths, began, Happened::Away(i));
}

#[cfg(test)]
mod tests {
    use crate::day::Day;

    #[test]
    fn a_trouble_concerns_a_pair_or_a_group_and_the_rest() {
        let concerned = |text: &str| {
            let fault: super::BetweenFault =
                toml::from_str(&format!("at_s = 1\nfor_s = 1\n{text}")).expect(text);
            let ways = (0..3)
                .flat_map(|from| (0..3).map(move |to| (from, to)))
                .filter(|(from, to)| from != to);
            ways.filter(|(from, to)| fault.concerns(*from, *to, 3))
                .collect::<Vec<_>>()
        };
        assert_eq!(concerned("group = [1]"), [(0, 1), (0, 2), (1, 0), (2, 0)]);
        assert_eq!(concerned("group = [1]\nwith = [3]"), [(0, 2), (2, 0)]);
        assert_eq!(concerned("group = [1]\nwith = [3]\nway = \"in\""), [(2, 0)]);
        assert_eq!(concerned("group = [1, 2, 3]").len(), 6);
    }

    #[test]
    fn the_one_that_lends_is_known_by_the_last_word_of_its_log() {
        let (begun, ended) = (
            "became leader; issues quota leases\n",
            "no longer leader; stopped issuing quota leases\n",
        );
        let lends = |log: &[&str]| super::lends_last(&log.concat());
        assert!(lends(&[begun]) && lends(&[begun, ended, begun]));
        assert!(!lends(&[]) && !lends(&[begun, ended]) && !lends(&[ended]));
    }

    #[test]
    fn troubles_that_would_not_be_played_are_refused_with_their_place() {
        let fault = |cluster: bool, more: &str| {
            let dispatchers =
                format!("dispatchers = {{ count = 2, settings = \"\", cluster = {cluster} }}");
            let text =
                format!("for_s = 1\nrate_rps = 1\nmix = []\n{dispatchers}\nhosts = []\n{more}");
            Day::parse(&text).err()
        };
        let process = |n: usize| {
            format!("[[process]]\nat_s = 1\nfor_s = 1\ndispatcher = {n}\nwhat = \"pause\"")
        };
        let between =
            |n: usize| format!("[[between]]\nat_s = 1\nfor_s = 1\ngroup = [{n}]\ncut = true");
        assert_eq!(fault(true, &process(2)), None);
        assert_eq!(fault(true, &between(2)), None);
        assert_eq!(
            fault(false, &process(2)),
            Some("process: needs dispatchers.cluster = true".into())
        );
        assert_eq!(
            fault(false, &between(2)),
            Some("between: needs dispatchers.cluster = true".into())
        );
        assert!(fault(true, &process(3)).is_some_and(|f| f.starts_with("process.0.dispatcher: 3")));
        assert!(fault(true, &between(3)).is_some_and(|f| f.starts_with("between.0.group:")));
    }
}
