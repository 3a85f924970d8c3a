//! A day's workers as processes: started, killed, paused, and what they heard brought together.

use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bitternlatch_mock_engine::capture::{unix_us, Line};
use bitternlatch_net::lock;
use rustix::process::{kill_process, Pid, Signal};

use super::{workflows, Agents, Brief, WorkerFault, AS_WORKER};
use crate::parted::wait_until;

const LOOK_EVERY: Duration = Duration::from_millis(50);

/// One worker's place: it may be started several times.
struct Place {
    brief: Brief,
    dir: PathBuf,
    image: PathBuf,
    child: Option<Child>,
    /// When each start was killed.
    killed: BTreeMap<u32, u64>,
}

impl Place {
    fn start(&mut self) -> io::Result<()> {
        self.brief.start += 1;
        let run = format!("{}.{}", self.brief.name, self.brief.start);
        self.brief.capture = self.dir.join(format!("{run}.jsonl"));
        let path = self.dir.join(format!("{run}.json"));
        std::fs::write(&path, serde_json::to_string(&self.brief)?)?;
        let log = File::create(self.dir.join(format!("{run}.log")))?;
        let mut command = Command::new(&self.image);
        command
            .arg(AS_WORKER)
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        self.child = Some(command.spawn()?);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.killed.insert(self.brief.start, unix_us());
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    fn ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().is_ok_and(|status| status.is_some()),
            None => true,
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All workers of a day.
pub struct Field {
    places: Arc<Mutex<Vec<Place>>>,
    agents: Agents,
    seed: u64,
    over: PathBuf,
    /// When which worker stood still or was away.
    pauses: Arc<Mutex<Vec<(u64, u64, String)>>>,
}

impl Field {
    /// Starts all workers; `dispatchers` are names and addresses.
    ///
    /// # Errors
    /// Where files or processes cannot be made.
    pub fn start(
        agents: &Agents,
        seed: u64,
        dir: &Path,
        image: &Path,
        dispatchers: &[(String, String)],
    ) -> io::Result<Field> {
        let over = dir.join("over");
        // An earlier run in this folder ended other workflows.
        match std::fs::remove_dir_all(&over) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => std::fs::create_dir_all(&over)?,
        }
        let place = |number: usize| Place {
            brief: Brief {
                name: format!("worker-{}", number + 1),
                number,
                start: 0,
                seed,
                agents: agents.clone(),
                dispatchers: dispatchers.to_vec(),
                capture: PathBuf::new(),
                over: over.clone(),
            },
            dir: dir.to_path_buf(),
            image: image.to_path_buf(),
            child: None,
            killed: BTreeMap::new(),
        };
        let mut places: Vec<Place> = (0..agents.workers).map(place).collect();
        places.iter_mut().try_for_each(Place::start)?;
        let places = Arc::new(Mutex::new(places));
        Ok(Field {
            places,
            agents: agents.clone(),
            seed,
            over,
            pauses: Arc::default(),
        })
    }

    /// Threads that play what happens to workers, from now on.
    pub fn scripts(&self, faults: &[WorkerFault]) -> Vec<JoinHandle<()>> {
        let start = Instant::now();
        let play = |fault: &WorkerFault| {
            let (fault, places, pauses) = (
                fault.clone(),
                Arc::clone(&self.places),
                Arc::clone(&self.pauses),
            );
            std::thread::spawn(move || {
                wait_until(start, fault.at_s);
                let from = unix_us();
                if let Some(one) = lock(&places).get_mut(fault.worker) {
                    match fault.killed {
                        true => one.kill(),
                        false => one.signal(Signal::STOP),
                    }
                }
                wait_until(start, fault.at_s + fault.for_s);
                if let Some(one) = lock(&places).get_mut(fault.worker) {
                    match fault.killed {
                        // Should it not start again, others carry what it had.
                        true => drop(one.start()),
                        false => one.signal(Signal::CONT),
                    }
                    lock(&pauses).push((from, unix_us(), one.brief.name.clone()));
                }
            })
        };
        faults.iter().map(play).collect()
    }

    /// Waits until every workflow is over or the day's time for it is, and ends all workers.
    pub fn wait(&self) {
        let by = Instant::now() + Duration::from_secs_f64(self.agents.within_s);
        let names: Vec<PathBuf> = workflows(&self.agents, self.seed)
            .iter()
            .map(|w| self.over.join(&w.name))
            .collect();
        while Instant::now() < by && !names.iter().all(|name| name.exists()) {
            std::thread::sleep(LOOK_EVERY);
        }
        // They end by themselves once all is over, with their captures whole.
        let by = Instant::now() + Duration::from_secs(10);
        while Instant::now() < by && !lock(&self.places).iter_mut().all(Place::ended) {
            std::thread::sleep(LOOK_EVERY);
        }
        lock(&self.places).iter_mut().for_each(|one| {
            if !one.ended() {
                one.kill()
            }
        });
    }

    pub fn pauses(&self) -> Vec<(u64, u64, String)> {
        lock(&self.pauses).clone()
    }

    /// Adds what all workers said and heard to the clients' capture.
    ///
    /// # Errors
    /// Where a file cannot be read or written.
    pub fn collect(&self, clients: &Path) -> io::Result<()> {
        let mut out = OpenOptions::new().append(true).open(clients)?;
        for place in lock(&self.places).iter() {
            for start in 1..=place.brief.start {
                let path = place
                    .dir
                    .join(format!("{}.{start}.jsonl", place.brief.name));
                // One that was killed before it began has none.
                let Ok(file) = File::open(path) else { continue };
                let killed = place.killed.get(&start).copied();
                for line in closed(BufReader::new(file), killed)? {
                    serde_json::to_writer(&mut out, &line)?;
                    out.write_all(b"\n")?;
                }
            }
        }
        Ok(())
    }
}

/// A worker's lines; where it was killed, its last one may be torn, and its sessions dropped then.
fn closed(lines: impl BufRead, killed: Option<u64>) -> io::Result<Vec<Line>> {
    let mut all: Vec<Line> = Vec::new();
    let mut open: BTreeMap<String, String> = BTreeMap::new();
    for text in lines.split(b'\n') {
        let Ok(line) = serde_json::from_slice::<Line>(&text?) else {
            break;
        };
        match line.dir.as_str() {
            "open" => drop(open.insert(line.peer.clone(), line.who.clone())),
            "close" | "drop" | "bye" | "gave_up" => drop(open.remove(&line.peer)),
            _ => {}
        }
        all.push(line);
    }
    if let Some(killed) = killed {
        let t = all.last().map_or(killed, |l| l.t.max(killed));
        let drop = |(peer, who)| Line {
            t,
            who,
            peer,
            dir: "drop".to_string(),
            text: String::new(),
        };
        all.extend(open.into_iter().map(drop));
    }
    Ok(all)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_killed_workers_torn_line_is_left_out_and_its_sessions_are_dropped() {
        let line = |t: u64, peer: &str, dir: &str| {
            serde_json::json!({ "t": t, "who": "w", "peer": peer, "dir": dir, "text": "" })
                .to_string()
        };
        let lines = [
            line(1, "a", "open"),
            line(2, "b", "open"),
            line(3, "a", "bye"),
            "{\"t\":4,".into(),
        ];
        let text = lines.join("\n");
        let dirs = |killed| {
            let all = closed(text.as_bytes(), killed).expect("lines");
            all.into_iter()
                .map(|l| (l.t, l.peer, l.dir))
                .collect::<Vec<_>>()
        };
        assert_eq!(dirs(None).len(), 3);
        assert_eq!(dirs(Some(9))[3], (9, "b".to_string(), "drop".to_string()));
    }
}
