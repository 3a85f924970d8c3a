//! Dispatchers as processes of this program's own image, with the fault shim loaded where a day asks for it.

use std::fs::File;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use crate::draw::Day;
use crate::faults::Fault;
use crate::processor_wait::record_waits;
use crate::record::{Record, Seen};
use crate::slow_start::{SlowStartTerms, WarmUp};

/// The word that turns this program into a dispatcher.
pub const AS_DISPATCHER: &str = "--as-dispatcher";
const PORT: u16 = 7733;
/// A process is waited for so long until it is ready.
const READY: Duration = Duration::from_secs(20);
/// The kill comes so much after the longest deadline, which counts as the second at the most.
const KILL_AFTER_S: f64 = 0.7;
const LONGEST_DEADLINE_S: f64 = 3.0;
/// What the settings say on days without cold servers.
const USUAL_SLOW_START: SlowStartTerms = SlowStartTerms {
    overload_factor: 2.5,
    start_capacity: 0.25,
    window_s: 3.0,
    warm_after_s: 14.0,
    warm_rate: f64::INFINITY,
    warm_up: WarmUp::ByAge,
};
/// The wall clock is so far off where a day says so.
const CLOCK_OFF_S: [i64; 4] = [3600, -3600, 7, -7];

/// An address that nothing else on this machine is given: a loopback host by this process's number and a count.
fn own_address() -> SocketAddr {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let (process, n) = (std::process::id(), GIVEN.fetch_add(1, Ordering::SeqCst));
    let (high, low) = (64 + (process >> 8) % 128, process % 256);
    let host = Ipv4Addr::new(127, high as u8, low as u8, (n % 250) as u8 + 1);
    SocketAddr::from((host, PORT + (n / 250) as u16))
}

/// One dispatcher's place.
pub struct Process {
    pub number: usize,
    pub listen: SocketAddr,
    record: Record,
    folder: PathBuf,
    text: String,
    shim: Option<(PathBuf, String)>,
    starts: u32,
    child: Option<Child>,
}

/// The library of the fault shim, beside this program or among its dependencies.
///
/// # Errors
/// One line where it is not there: a run without its faults would prove nothing.
pub fn shim_library() -> Result<PathBuf, String> {
    let image = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    let beside = image.parent().unwrap_or(Path::new("."));
    let name = "libbitternlatch_fault_shim.so";
    let places = [
        beside.join(name),
        beside.join("deps").join(name),
        beside.join("..").join(name),
    ];
    let found = places.iter().find(|p| p.exists()).cloned();
    found.ok_or_else(|| {
        format!(
            "{name} is not beside {}: build the whole workspace",
            image.display()
        )
    })
}

fn configuration(
    process: usize,
    listen: SocketAddr,
    discovery: SocketAddr,
    known: &str,
    day: &Day,
) -> String {
    let d = &day.deployment;
    let SlowStartTerms {
        overload_factor,
        window_s,
        warm_after_s,
        ..
    } = day.slow_start.unwrap_or(USUAL_SLOW_START);
    let start_capacity = match day.slow_start {
        _ if day.without_slow_start => 1.0,
        slow_start => slow_start.unwrap_or(USUAL_SLOW_START).start_capacity,
    };
    let (pin, connect) = (d.pin_limit_s, d.connect_timeout_s);
    let (safe, one_shot, sockets) = (d.safe_deadline_s, d.unsafe_deadline_s, d.sockets);
    let (cancel, probing) = (d.may_cancel, d.probes);
    format!(
        r#"{{"name":"d{process}","listen":"{listen}","discovery":"{discovery}","seed":"{process}f",
        "limits":{{"cores":0.5,"memory_mb":64,"sockets":{sockets}}},
        "known":{known},
        "settings":{{"balancers":{processes},"classes":[
            {{"name":"ask","effect":"free","aimS":{safe_aim},"deadlineS":{safe}}},
            {{"name":"book","effect":"single_shot","aimS":{unsafe_aim},"deadlineS":{one_shot}}}],
          "contract":{{"overloadFactor":{overload_factor},"startCapacity":{start_capacity},"fallS":{window_s},"warmAfterS":{warm_after_s}}},
          "extra":{{"kindRole":["read","write"],"pinLimitS":{pin},"kindMemoryTokens":[200000,150000]}},
          "kinds":["reads","writes"],"zones":["hall"],"locality":0,"membershipMode":"pushed",
          "limits":{{"maxAttempts":4,"cancel":{cancel},"probing":{probing},"connIdleS":15.0,"connectTimeoutS":{connect}}},
          "report":{{"how":"inline","fields":["load_share","depth","x0"]}}}}}}"#,
        processes = day.processes,
        safe_aim = safe * 0.4,
        unsafe_aim = one_shot * 0.4,
    )
}

/// The shim's plan for one process of a day; none where the day has none of its faults.
fn plan(day: &Day, process: usize) -> Option<String> {
    let mut plan = format!(
        "seed={}",
        day.seed.wrapping_mul(31).wrapping_add(process as u64)
    );
    let before = plan.len();
    if day.has(Fault::Calls) {
        plan.push_str(",accept=0.2,socket=0.25,connect=0.25");
    }
    if day.has(Fault::Short) {
        plan.push_str(",wait=0.2,short=0.3");
    }
    if day.has(Fault::Clock) {
        let off_s = CLOCK_OFF_S[(day.seed as usize + process) % CLOCK_OFF_S.len()];
        plan.push_str(&format!(",clock_s={off_s}"));
    }
    (plan.len() > before).then_some(plan)
}

impl Process {
    /// A place for one; its discovery and what it knows of the list are given.
    ///
    /// # Errors
    /// One line where the shim is missing that the day needs.
    pub fn new(
        day: &Day,
        number: usize,
        folder: &Path,
        discovery: SocketAddr,
        known: &str,
        record: Record,
    ) -> Result<Process, String> {
        let listen = own_address();
        let text = configuration(number, listen, discovery, known, day);
        let shim = plan(day, number)
            .map(|plan| Ok::<_, String>((shim_library()?, plan)))
            .transpose()?;
        let folder = folder.to_path_buf();
        Ok(Process {
            number,
            listen,
            record,
            folder,
            text,
            shim,
            starts: 0,
            child: None,
        })
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.join(format!("d{}.{name}", self.number))
    }

    /// Starts it, and waits until it is ready.
    ///
    /// # Errors
    /// One line where it cannot be started.
    pub fn start(&mut self) -> Result<(), String> {
        let fault = |what: &str, e: std::io::Error| format!("{what}: {e}");
        let config = self.file("json");
        std::fs::write(&config, &self.text).map_err(|e| fault("a configuration", e))?;
        let image = std::env::current_exe().map_err(|e| fault("this program's own path", e))?;
        let log = File::create(self.file(&format!("{}.log", self.starts)))
            .map_err(|e| fault("a log", e))?;
        let out = log.try_clone().map_err(|e| fault("a log", e))?;
        self.starts += 1;
        let mut command = Command::new(image);
        command
            .arg(AS_DISPATCHER)
            .arg("--platform")
            .env("EDGE_CONFIG", &config);
        command.env("BITTERNLATCH_LOG", "info,explain=debug");
        if let Some((library, plan)) = &self.shim {
            command.env("LD_PRELOAD", library).env("FAULT_SHIM", plan);
            command.env("FAULT_SHIM_COUNTS", self.file("injected"));
        }
        let child = command.stdin(Stdio::null()).stdout(out).stderr(log).spawn();
        let child = child.map_err(|e| fault("a dispatcher", e))?;
        record_waits(self.number, child.id(), self.record.clone());
        self.child = Some(child);
        let began = Instant::now();
        while began.elapsed() < READY && !self.is_ready() && !self.has_ended() {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.record.note(Seen::Ready {
            process: self.number,
            after_s: began.elapsed().as_secs_f64(),
        });
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.listen) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut answer = [0; 12];
        stream
            .write_all(b"GET /ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            .is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }

    fn has_ended(&mut self) -> bool {
        !matches!(self.child.as_mut().map(Child::try_wait), Some(Ok(None)))
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // One that has ended meanwhile is found so when it is looked at.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// Writes its configuration, whole or half.
    pub fn write_configuration(&self, whole: bool) {
        let text = if whole {
            &self.text[..]
        } else {
            &self.text[..self.text.len() / 2]
        };
        // What a process reads meanwhile is part of the trouble.
        let _ = std::fs::write(self.file("json"), text);
    }

    /// Tells it to end, and kills it as early as the platform may.
    pub fn stop(&mut self, longest_deadline_s: f64) {
        self.record.note(Seen::Told {
            process: self.number,
        });
        self.signal(Signal::TERM);
        let kill =
            Duration::from_secs_f64(longest_deadline_s.min(LONGEST_DEADLINE_S) + KILL_AFTER_S);
        let began = Instant::now();
        while began.elapsed() < kill && !self.has_ended() {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.end(true);
    }

    /// Kills it if it still runs; its end was expected or not.
    pub fn end(&mut self, expected: bool) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        let by_itself = matches!(child.try_wait(), Ok(Some(_)));
        let _ = child.kill();
        let status = child.wait();
        let crashed = by_itself && !status.is_ok_and(|s| s.success());
        let expected = expected && !crashed || !by_itself;
        self.record.note(Seen::Gone {
            process: self.number,
            killed: !by_itself,
            expected,
        });
    }

    /// Kinds of injections that this process's plan names and that none of its calls met.
    pub fn never_injected(&self) -> Vec<&'static str> {
        let Some((_, plan)) = &self.shim else {
            return Vec::new();
        };
        let marks = std::fs::read(self.file("injected")).unwrap_or_default();
        let kinds = bitternlatch_fault_shim::plan::KINDS.iter().enumerate();
        let missing = kinds.filter(|(at, kind)| {
            plan.contains(&format!(",{}=", kind.0)) && marks.get(*at) != Some(&b'x')
        });
        missing.map(|(_, kind)| kind.0).collect()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
