//! Dispatchers as processes: made from this program's own image, killed and started again.

use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bitternlatch_net::dial::{get, DialOptions};
use rustix::process::{kill_process, Pid, Signal};

/// The word that turns this program into a dispatcher.
pub const AS_DISPATCHER: &str = "--as-dispatcher";

/// One dispatcher's place: it may be started several times.
pub struct Dispatcher {
    pub name: String,
    pub address: String,
    dir: PathBuf,
    settings: toml::Table,
    /// Number of the next start.
    starts: u32,
    recorded: bool,
    /// How it is asked whether it is ready.
    manner: DialOptions,
    child: Option<Child>,
}

/// An address that nothing else on this machine is given: a loopback host of its own, by this process's number and a count. A port that
/// is merely free now may be taken by any connection that goes out before it is listened on.
pub fn own_address(port: u16) -> SocketAddrV4 {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let (process, n) = (std::process::id(), GIVEN.fetch_add(1, Ordering::SeqCst));
    let (high, low) = (64 + (process >> 8) % 128, process % 256);
    let host = Ipv4Addr::new(127, high as u8, low as u8, (n % 250) as u8 + 1);
    SocketAddrV4::new(host, port + (n / 250) as u16)
}

/// One to listen on for connections. It is not tried by listening here: a process that another thread is just starting may hold such
/// a listener's copy for a while after its end, and the one that the address is for finds it in use.
pub fn free_address() -> String {
    own_address(7711).to_string()
}

impl Dispatcher {
    /// A place for a dispatcher; `settings` are taken but for its name, address, list and record.
    pub fn new(dir: &Path, number: usize, count: usize, settings: &toml::Table) -> Dispatcher {
        let mut settings = settings.clone();
        let name = format!("dispatch-{number}");
        let address = free_address();
        settings.insert("name".into(), name.clone().into());
        settings.insert("dispatchers".into(), (count as i64).into());
        let listen = settings
            .entry("listen")
            .or_insert_with(|| toml::Table::new().into());
        if let Some(listen) = listen.as_table_mut() {
            listen.insert("address".into(), address.clone().into());
        }
        if settings.contains_key("charges") {
            // One journal a dispatcher, the same after a restart.
            let file =
                toml::Table::from_iter([("file".to_string(), format!("{name}.charges").into())]);
            settings.insert("charges".into(), file.into());
        }
        let inventory = toml::Table::from_iter([("file".to_string(), "hosts.csv".into())]);
        settings.insert("inventory".into(), inventory.into());
        Dispatcher {
            name,
            address,
            dir: dir.to_path_buf(),
            settings,
            starts: 0,
            recorded: true,
            manner: DialOptions::default(),
            child: None,
        }
    }

    /// Leaves the record out, for measurements.
    pub fn without_record(&mut self) {
        self.recorded = false;
    }

    /// Sets one table or value of its settings, for the next start.
    pub fn set(&mut self, key: &str, value: toml::Value) {
        self.settings.insert(key.to_string(), value);
    }

    /// It speaks TLS.
    pub fn secured(&mut self, manner: DialOptions) {
        self.manner = manner;
    }

    /// Starts it from `image`, this program or another that takes [`AS_DISPATCHER`]; ends a process that is still there.
    ///
    /// # Errors
    /// Where files or the process cannot be made.
    pub fn start(&mut self, image: &Path) -> io::Result<()> {
        self.kill();
        self.starts += 1;
        let run = format!("{}.{}", self.name, self.starts);
        let record = toml::Table::from_iter([("file".to_string(), format!("{run}.rec").into())]);
        if self.recorded {
            self.settings.insert("record".into(), record.into());
        }
        let config = self.dir.join(format!("{run}.toml"));
        std::fs::write(&config, self.settings.to_string())?;
        let log = File::create(self.dir.join(format!("{run}.log")))?;
        let child = Command::new(image)
            .arg(AS_DISPATCHER)
            .arg("--config")
            .arg(&config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Waits until it says that it is ready.
    pub fn ready(&self, within: Duration) -> bool {
        let by = Instant::now() + within;
        while Instant::now() < by {
            if get(
                &self.address,
                "/ready",
                &self.manner,
                Duration::from_secs(2),
                1024,
            )
            .is_ok()
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        false
    }

    /// SIGKILL: the restart that the rules know.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// SIGSTOP: it stands still between two instructions.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }

    /// The log of its latest run.
    ///
    /// # Errors
    /// As the file's.
    pub fn log(&self) -> io::Result<String> {
        std::fs::read_to_string(self.dir.join(format!("{}.{}.log", self.name, self.starts)))
    }

    /// Waits for the end after [`Dispatcher::terminate`]; true for an orderly one.
    pub fn ended(&mut self, within: Duration) -> bool {
        let by = Instant::now() + within;
        while let Some(child) = &mut self.child {
            match child.try_wait() {
                Ok(Some(status)) => {
                    self.child = None;
                    return status.success();
                }
                Ok(None) if Instant::now() < by => std::thread::sleep(Duration::from_millis(10)),
                _ => {
                    self.kill();
                    return false;
                }
            }
        }
        true
    }

    /// Records of all its runs.
    pub fn records(&self) -> Vec<PathBuf> {
        (1..=self.starts)
            .map(|n| self.dir.join(format!("{}.{n}.rec", self.name)))
            .collect()
    }

    /// Seconds of processor time that its process has used; as the system tells it, in hundredths.
    pub fn cpu_s(&self) -> Option<f64> {
        let stat =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.as_ref()?.id())).ok()?;
        let fields = stat.rsplit(')').next()?.split_whitespace().skip(11).take(2);
        Some(
            fields
                .filter_map(|ticks| ticks.parse::<f64>().ok())
                .sum::<f64>()
                / 100.0,
        )
    }

    /// Resident memory of its process, KiB; as the system tells it.
    pub fn resident_kib(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A plain GET; gives the whole answer.
///
/// # Errors
/// As the socket's.
pub fn ask(address: &str, path: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n")?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}
