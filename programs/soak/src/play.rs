//! Plays one day: servers, discovery, processes and clients, with each trouble at its time.

use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bitternlatch_machine_load::{MachineLoad, Monitor};
use rustix::process::Signal;

use crate::clients::{Clients, Reach};
use crate::discovery::Discovery;
use crate::discovery::State;
use crate::draw::{Day, Replacement, Spell, Trouble};
use crate::faults::Fault;
use crate::judge::{cold_overloads, judge, Break, Terms};
use crate::process::Process;
use crate::record::{End, Entry, Record, Seen, MIN_HELD_UP};
use crate::servers::Servers;

/// New connections keep coming for so long after a process was told to end.
const FRONT_NOTICES: Duration = Duration::from_millis(300);
/// What a half-written configuration is left like, before it is whole.
const HALF_WRITTEN: Duration = Duration::from_millis(60);
/// After the clients' last answers states may still have to be released.
const AFTERMATH: Duration = Duration::from_millis(1800);
/// A server that is replaced drains for so long before its process ends.
const DRAINS: Duration = Duration::from_millis(800);
/// Between two notifications of the same start.
const LISTED_AGAIN: Duration = Duration::from_millis(400);
/// How long a thread sleeps that watches for times in which the machine holds the mock up.
const NAP: Duration = Duration::from_millis(5);

/// What a day came to.
pub struct Played {
    pub breaks: Vec<Break>,
    pub requests: usize,
    pub served: usize,
    /// Refused or failed.
    pub unserved: usize,
    pub cold_starts: usize,
    /// Servers that fell, whoever was notified.
    pub falls: usize,
    /// Most work of a window at a cold server, as a fraction of what makes it fall.
    pub cold_peak: f64,
    /// How far the machine kept the day from running.
    pub machine: MachineLoad,
    /// Injections that the day asks for and that no process met.
    pub never_injected: Vec<&'static str>,
}

struct World {
    day: Day,
    servers: Arc<Servers>,
    discovery: Discovery,
    processes: Vec<Mutex<Process>>,
    clients: Vec<Arc<Clients>>,
    began: Instant,
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Plays a day in a folder of its own, and judges it.
///
/// # Errors
/// One line where something of the day cannot be started.
pub fn play(day: &Day, folder: &Path) -> Result<Played, String> {
    let record = Record::default();
    let world = World::start(day, folder, &record)?;
    let monitor = Monitor::start();
    thread::scope(|scope| {
        for clients in &world.clients {
            scope.spawn(|| clients.ask(day));
        }
        for spell in &day.spells {
            scope.spawn(|| world.suffer(*spell));
        }
        scope.spawn(|| world.watch_itself(&record));
        world.sleep_until(day.length_s);
        world.clients.iter().for_each(|c| c.stop());
    });
    thread::sleep(AFTERMATH);
    let never_injected = world.end();
    let machine = monitor.finish();
    let terms = Terms {
        pin_limit: Duration::from_secs_f64(day.deployment.pin_limit_s),
        servers_read_late: [
            Fault::Hang,
            Fault::SilentDecode,
            Fault::SilentPrefill,
            Fault::SilentKept,
            Fault::Unreachable,
            Fault::ColdStart,
            Fault::AtCapacity,
            Fault::QuietStart,
        ]
        .iter()
        .any(|f| day.has(*f)),
        slow_start: day.slow_start,
    };
    let entries = record.take();
    let count = |fits: fn(&Seen) -> bool| entries.iter().filter(|e| fits(&e.seen)).count();
    let requests = count(|s| matches!(s, Seen::Asked { .. }));
    let served = count(|s| {
        matches!(
            s,
            Seen::Ended {
                end: End::Served,
                ..
            }
        )
    });
    let unserved = count(|s| {
        matches!(
            s,
            Seen::Ended {
                end: End::Refused | End::Failed,
                ..
            }
        )
    });
    let cold_starts = count(|s| matches!(s, Seen::ColdStart { .. }));
    let falls = count(|s| matches!(s, Seen::Fell { .. }));
    let breaks = judge(&entries, terms);
    if !breaks.is_empty() {
        write_record(folder, &entries, world.began);
    }
    Ok(Played {
        breaks,
        requests,
        served,
        unserved,
        cold_starts,
        falls,
        cold_peak: day
            .slow_start
            .map_or(0.0, |terms| cold_overloads(&entries, terms).peak),
        machine,
        never_injected,
    })
}

fn write_record(folder: &Path, entries: &[Entry], began: Instant) {
    let line = |e: &Entry| {
        format!(
            "{:.3} {:?}\n",
            e.at.saturating_duration_since(began).as_secs_f64(),
            e.seen
        )
    };
    // The verdict stands without it.
    let _ = std::fs::write(
        folder.join("record.txt"),
        entries.iter().map(line).collect::<String>(),
    );
}

/// Starts a process anew, and lets its clients come.
fn start_again(process: &mut Process, clients: &Clients) {
    // One that does not start is found by its clients and by the record.
    let _ = process.start();
    clients.set_reach(Reach::Open);
}

impl World {
    fn start(day: &Day, folder: &Path, record: &Record) -> Result<World, String> {
        let fault = |e: std::io::Error| format!("a mock of the platform: {e}");
        let servers = Servers::new(record.clone(), day);
        let discovery = Discovery::new(record.clone());
        for number in 0..2 * day.deployment.servers_by_role {
            discovery.add(servers.start(number % 2 == 1, 0).map_err(fault)?);
        }
        let mut processes = Vec::new();
        for number in 0..day.processes {
            let period = Duration::from_secs_f64(day.agent_periods_s[number]);
            let agent = discovery.agent(number, period).map_err(fault)?;
            processes.push(Process::new(
                day,
                number,
                folder,
                agent,
                &discovery.known(),
                record.clone(),
            )?);
        }
        for process in &mut processes {
            process.start()?;
        }
        let clients = processes
            .iter()
            .map(|p| Clients::new(p.number, p.listen, record.clone()))
            .collect();
        let processes = processes.into_iter().map(Mutex::new).collect();
        Ok(World {
            day: day.clone(),
            servers,
            discovery,
            processes,
            clients,
            began: Instant::now(),
        })
    }

    fn end(&self) -> Vec<&'static str> {
        let mut missing: Option<Vec<&'static str>> = None;
        for process in &self.processes {
            let mut process = process.lock().unwrap_or_else(|e| e.into_inner());
            process.end(false);
            let here = process.never_injected();
            // A kind counts as injected where any process has met it.
            missing = Some(missing.map_or(here.clone(), |m| {
                m.into_iter().filter(|k| here.contains(k)).collect()
            }));
        }
        missing.unwrap_or_default()
    }

    fn sleep_until(&self, at_s: f64) {
        let at = self.began + Duration::from_secs_f64(at_s);
        thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    /// Notes when the machine holds the mock up.
    fn watch_itself(&self, record: &Record) {
        while self.began.elapsed().as_secs_f64() < self.day.length_s {
            let slept = Instant::now();
            thread::sleep(NAP);
            let took = slept.elapsed();
            if took > MIN_HELD_UP {
                record.note(Seen::HeldUp {
                    seconds: took.as_secs_f64(),
                });
            }
        }
    }

    fn process(&self, number: usize) -> MutexGuard<'_, Process> {
        self.processes[number]
            .lock()
            .unwrap_or_else(|e| e.into_inner())
    }

    fn suffer(&self, spell: Spell) {
        self.sleep_until(spell.from_s);
        let over = || self.sleep_until(spell.to_s);
        match spell.trouble {
            Trouble::Silence {
                decode,
                servers,
                kept_only,
            } => {
                let struck: Vec<_> = self
                    .servers
                    .of_role(decode)
                    .into_iter()
                    .take(servers)
                    .collect();
                struck.iter().for_each(|s| s.fall_silent(kept_only));
                over();
                struck.iter().for_each(|s| s.return_from_silence());
            }
            Trouble::Hang { server } => {
                let server = self.servers.get(server);
                server.hang();
                over();
                server.go_on();
            }
            Trouble::Unreachable { server } => {
                let server = self.servers.get(server);
                let fill = server.be_unreachable();
                over();
                server.be_reachable(fill);
            }
            Trouble::Reset { share } => {
                self.servers.reset(share);
                over();
                self.servers.reset(0.0);
            }
            Trouble::Drain { server } => self.replace(server),
            Trouble::DiscoveryDown => {
                self.discovery.set_down(true);
                over();
                self.discovery.set_down(false);
            }
            Trouble::Restart { process } => self.restart(process),
            Trouble::Kill { process } => self.kill(process),
            Trouble::Reload { process, whole } => self.reload(process, whole),
            Trouble::ColdStart {
                server,
                replacement,
                away_s,
                listed_after_s,
                accepts_after_s,
            } => {
                self.take_away(server, replacement, away_s);
                let restarted = self.servers.get(server);
                let accepts_in = Duration::from_secs_f64(accepts_after_s);
                self.servers.restart(&restarted, unix_ms(), accepts_in);
                thread::sleep(Duration::from_secs_f64(listed_after_s));
                self.list_start(server, replacement);
            }
            Trouble::Crowd {
                process,
                connections,
            } => {
                let to = self.process(process).listen;
                let crowd: Vec<TcpStream> = (0..connections)
                    .filter_map(|_| TcpStream::connect(to).ok())
                    .collect();
                over();
                drop(crowd);
            }
            Trouble::Pause { process } => {
                self.process(process).signal(Signal::STOP);
                over();
                self.process(process).signal(Signal::CONT);
            }
        }
    }

    /// Ends a server's process, after a drain where there is one.
    fn take_away(&self, number: usize, replacement: Replacement, away_s: f64) {
        if replacement != Replacement::Crashed {
            self.discovery.set(number, State::Draining);
            thread::sleep(DRAINS);
        }
        self.servers.stop(&self.servers.get(number));
        if replacement == Replacement::Gone {
            self.discovery.set(number, State::Gone);
        }
        thread::sleep(Duration::from_secs_f64(away_s));
    }

    fn list_start(&self, number: usize, replacement: Replacement) {
        let first = match replacement {
            Replacement::ListedDraining => State::Draining,
            _ => State::Ready,
        };
        self.discovery.set(number, first);
        let is_listed_again = matches!(
            replacement,
            Replacement::ListedDraining | Replacement::ListedTwice
        );
        if is_listed_again {
            thread::sleep(LISTED_AGAIN);
            self.discovery.set(number, State::Ready);
        }
    }

    fn replace(&self, number: usize) {
        let decode = self.servers.get(number).decode;
        if let Ok(server) = self.servers.start(decode, unix_ms()) {
            self.discovery.add(server);
            self.discovery.drain(number);
        }
    }

    fn restart(&self, number: usize) {
        let longest_s = self
            .day
            .deployment
            .safe_deadline_s
            .max(self.day.deployment.unsafe_deadline_s);
        let clients = &self.clients[number];
        let mut process = self.process(number);
        thread::scope(|scope| {
            scope.spawn(|| {
                thread::sleep(FRONT_NOTICES);
                clients.set_reach(Reach::KeptOnly);
            });
            process.stop(longest_s);
        });
        clients.set_reach(Reach::Down);
        start_again(&mut process, clients);
    }

    fn kill(&self, number: usize) {
        let clients = &self.clients[number];
        let mut process = self.process(number);
        clients.set_reach(Reach::Down);
        process.end(true);
        start_again(&mut process, clients);
    }

    fn reload(&self, number: usize, whole: bool) {
        self.process(number).write_configuration(whole);
        self.process(number).signal(Signal::HUP);
        thread::sleep(HALF_WRITTEN);
        self.process(number).write_configuration(true);
        self.process(number).signal(Signal::HUP);
    }
}
