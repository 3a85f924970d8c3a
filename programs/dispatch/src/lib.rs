//! The dispatcher: reads its settings, listens, and runs the loop until it is told to stop.
//!
//! A library, so that other programs may start dispatchers as processes of their own image.

mod beside;

use std::ffi::OsString;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bitternlatch_cluster_net::{ClusterEvent, ClusterRuntime};
use bitternlatch_core::{Input, Settings};
use bitternlatch_identity::rights::AccessRights;
use bitternlatch_inventory::{LastValidList, UpdateOutcome};
use bitternlatch_journal::Journal;
use bitternlatch_net::accept::{Acceptor, Door};
use bitternlatch_net::charges::Charges;
use bitternlatch_net::driver::{events, Beside, Driver, Event, Front, Recorder};
use bitternlatch_net::ledger::LedgerLink;
use bitternlatch_net::socket::Limits;
use bitternlatch_net::{guard, logs, tls, watch};
use clap::Parser;
use crossbeam_channel::Sender;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Routes requests of WebSocket sessions to model hosts.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-dispatch --config deploy/dispatch.toml --check\n  \
    bitternlatch-dispatch --config deploy/dispatch.toml\n\nExit codes: 0 stopped as told, 2 could not run.\n\
    SIGTERM takes nothing new, answers what is in hand, then ends."
)]
struct Args {
    /// The settings file (TOML); the platform's configuration (JSON) with `--platform`.
    #[arg(long, env = "EDGE_CONFIG")]
    config: PathBuf,
    /// Serve on the platform: its protocol in and out, and nothing else.
    #[arg(long)]
    platform: bool,
    /// Check settings and host list, say what would run, and end.
    #[arg(long)]
    check: bool,
    /// Seed of all chance and of the secret behind ids; by default the system's randomness.
    #[arg(long)]
    seed: Option<u64>,
}

/// Runs a dispatcher from command-line words, the program's name first; ends the process on words that are wrong.
pub fn main_from(words: impl Iterator<Item = OsString>) -> ExitCode {
    let args = Args::parse_from(words);
    logs::start();
    let done = if args.platform {
        run_on_platform(&args)
    } else {
        run(&args)
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("bitternlatch-dispatch: {why}");
            ExitCode::from(2)
        }
    }
}

/// A path of the settings, relative to their file.
fn beside(config: &Path, file: &str) -> PathBuf {
    config.parent().unwrap_or(Path::new("")).join(file)
}

/// The platform's way in and out; the other fronts, stores and threads are not started.
fn run_on_platform(args: &Args) -> Result<(), String> {
    let config = bitternlatch_platform_net::read_config(&args.config)?;
    if args.check {
        println!("{}: good", args.config.display());
        return Ok(());
    }
    bitternlatch_platform_net::serve(&args.config, config)
}

fn run(args: &Args) -> Result<(), String> {
    let shown = args.config.display().to_string();
    let text = std::fs::read_to_string(&args.config).map_err(|e| format!("{shown}: {e}"))?;
    let settings = Settings::parse(&shown, &text).map_err(|e| e.to_string())?;
    let list = beside(&args.config, &settings.inventory.file);
    let mut good = LastValidList::default();
    match good.update(&list.display().to_string(), &watch::read_list(&list)?) {
        UpdateOutcome::Invalid(e) => return Err(e.to_string()),
        UpdateOutcome::Applied(_) | UpdateOutcome::Unchanged => {}
    }
    check_rights(&args.config, &settings)?;
    let secured = Secured::load(&args.config, &settings)?;
    if let Some(cluster) = settings.cluster.as_ref().filter(|c| c.seeds.is_empty()) {
        let base = args.config.parent().unwrap_or(Path::new(""));
        ClusterRuntime::check(cluster, &settings.name, base).map_err(|e| e.with_advice())?;
    }
    if args.check {
        println!(
            "{shown}: good; {} hosts in {}",
            good.servers().len(),
            list.display()
        );
        return Ok(());
    }
    let (settings, text) = with_roster(&args.config, settings, text)?;
    serve(args, settings, text, list, good, secured)
}

/// With the roster in place of the seeds, asked for now: what is recorded has to say whom this dispatcher knew.
fn with_roster(
    config: &Path,
    settings: Settings,
    text: String,
) -> Result<(Settings, String), String> {
    let Some(cluster) = settings.cluster.as_ref().filter(|c| !c.seeds.is_empty()) else {
        return Ok((settings, text));
    };
    let base = config.parent().unwrap_or(Path::new(""));
    let (roster, by) = bitternlatch_cluster_net::fetch_roster(cluster, &settings.name, base)
        .map_err(|e| e.with_advice())?;
    let mut table: toml::Table = toml::from_str(&text).map_err(|e| e.to_string())?;
    let roster_value = toml::Value::try_from(&roster).map_err(|e| e.to_string())?;
    if let Some(cluster) = table.get_mut("cluster").and_then(toml::Value::as_table_mut) {
        cluster.remove("seeds");
        cluster.insert("roster".into(), roster_value);
    }
    let text = table.to_string();
    let shown = format!("{} with the roster of {by}", config.display());
    let settings = Settings::parse(&shown, &text).map_err(|e| e.to_string())?;
    tracing::info!(by, members = roster.len(), "the roster");
    Ok((settings, text))
}

/// Certificates and keys of both sides, where links are secured.
struct Secured {
    server: Option<Arc<tls::Server>>,
    client: Option<Arc<tls::Client>>,
}

impl Secured {
    fn load(config: &Path, settings: &Settings) -> Result<Secured, String> {
        let base = config.parent().unwrap_or(Path::new(""));
        let server = settings
            .listen
            .tls
            .as_ref()
            .map(|s| tls::Server::load(s, base))
            .transpose()?;
        let client = settings
            .engines
            .tls
            .as_ref()
            .map(|s| tls::Client::load(s, base))
            .transpose()?;
        Ok(Secured {
            server: server.map(Arc::new),
            client: client.map(Arc::new),
        })
    }
}

/// Rights must speak of classes and tenants that there are.
fn check_rights(config: &Path, settings: &Settings) -> Result<(), String> {
    let Some(identity) = &settings.identity else {
        return Ok(());
    };
    let path = beside(config, &identity.rights);
    let shown = path.display();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{shown}: {e}"))?;
    let rights = AccessRights::parse(&text).map_err(|e| format!("{shown}: {e}"))?;
    if let Some(class) = rights
        .classes()
        .find(|c| settings.classes.iter().all(|known| known.name != **c))
    {
        return Err(format!("{shown}: class '{class}' is not in the settings"));
    }
    let unknown = |t: &&str| settings.tenants.iter().all(|known| known.name != **t);
    let stray = rights
        .tenants()
        .find(unknown)
        .filter(|_| !settings.tenants.is_empty());
    stray.map_or(Ok(()), |tenant| {
        Err(format!("{shown}: tenant '{tenant}' is not in the settings"))
    })
}

fn serve(
    args: &Args,
    settings: Settings,
    text: String,
    list: PathBuf,
    good: LastValidList,
    secured: Secured,
) -> Result<(), String> {
    // Ids must not be guessed: the seed is the system's, and no log holds it.
    let seed = match args.seed {
        Some(seed) => seed,
        None => getrandom::u64().map_err(|e| format!("no randomness: {e}"))?,
    };
    let ready = Arc::new(AtomicBool::new(false));
    let (to, from) = events();
    let address = settings.listen.address.clone();
    let listener =
        TcpListener::bind(&address).map_err(|e| format!("cannot listen on {address}: {e}"))?;
    let base = args.config.parent().unwrap_or(Path::new(""));
    let guard = match &settings.identity {
        Some(identity) => {
            let wall = Arc::new(guard::unix);
            Some(guard::start(
                identity,
                base,
                secured.server.clone(),
                wall,
                to.clone(),
            )?)
        }
        None => None,
    };
    let front = Arc::new(Front {
        events: to.clone(),
        ready: Arc::clone(&ready),
        guard,
    });
    let hosts = good.servers().values().cloned().collect();
    to.send(Event::Input(Input::ServerList(hosts)))
        .map_err(|e| e.to_string())?;
    let every = Duration::from_secs_f64(settings.inventory.poll_interval_s);
    watch::watch(list, every, good, to.clone())
        .map_err(|e| format!("no thread for the list: {e}"))?;
    tls::watch(secured.server.clone(), secured.client.clone(), to.clone())
        .map_err(|e| format!("no thread for TLS files: {e}"))?;
    let door = door(&settings, secured.server);
    let acceptor =
        Acceptor::start(listener, door, front).map_err(|e| format!("cannot accept: {e}"))?;
    let within = Duration::from_secs_f64(settings.stop.timeout_s);
    let record = settings
        .record
        .as_ref()
        .map(|r| beside(&args.config, &r.file));
    tracing::info!(name = settings.name, address = %acceptor.address(), "listening");
    on_signal(to.clone(), acceptor)?;
    let journal = match &settings.charges {
        Some(kept) => {
            let opened = Journal::open(&beside(&args.config, &kept.file));
            Some(Arc::new(opened.map_err(|e| e.to_string())?))
        }
        None => None,
    };
    let charges = journal
        .clone()
        .map(|j| Charges::begin(j, to.clone()))
        .transpose()?;
    let ledger = settings
        .quota_server
        .as_ref()
        .map(|l| LedgerLink::start(l.address.clone(), journal, to.clone()));
    let ledger = ledger
        .transpose()
        .map_err(|e| format!("no thread for the ledger: {e}"))?;
    let fenced = Arc::new(AtomicBool::new(false));
    let mut plane = join(&settings, base, &to, &fenced)?;
    let beside = match &mut plane {
        Some(plane) => beside::start(&settings, base, plane, &to)?,
        None => Beside::default(),
    };
    let mut driver = Driver::new(settings, seed, (to, from), ready);
    if let Some(plane) = &plane {
        driver.tell_peers(Box::new(plane.observation_sink()));
    }
    driver.tell_beside(beside);
    if let Some(ledger) = ledger {
        driver.borrow(ledger);
    }
    if let Some(charges) = charges {
        driver.charge(charges);
    }
    if let Some(client) = secured.client {
        driver.secure(client);
    }
    if let Some(path) = record {
        let recorder = Recorder::begin(&path, text, seed);
        driver.record(recorder.map_err(|e| format!("cannot record to {}: {e}", path.display()))?);
    }
    driver.run(within);
    plane.into_iter().for_each(ClusterRuntime::leave);
    tracing::info!("stopped");
    match fenced.load(Ordering::SeqCst) {
        true => {
            Err("another process under this name started later; this one has stopped".to_string())
        }
        false => Ok(()),
    }
}

/// Joins the other dispatchers, where there are to be any. One that finds a later start under its own name takes
/// nothing new and ends.
fn join(
    settings: &Settings,
    base: &Path,
    to: &Sender<Event>,
    fenced: &Arc<AtomicBool>,
) -> Result<Option<ClusterRuntime>, String> {
    let Some(cluster) = &settings.cluster else {
        return Ok(None);
    };
    let (to, fenced) = (to.clone(), Arc::clone(fenced));
    // Without a loop the process is ending.
    let told = move |event: ClusterEvent| match event {
        ClusterEvent::Input(input) => {
            // A loop that is behind gets the next one; what it has is no longer believed then.
            let _ = to.try_send(Event::Input(input));
        }
        ClusterEvent::Fenced => {
            fenced.store(true, Ordering::SeqCst);
            let _ = to.send(Event::Input(Input::Stop));
        }
    };
    ClusterRuntime::join(cluster, &settings.name, base, told)
        .map(Some)
        .map_err(|e| e.with_advice())
}

fn door(settings: &Settings, tls: Option<Arc<tls::Server>>) -> Door {
    let listen = &settings.listen;
    Door {
        // The core closes what is past the sessions' bound with a reason; a few more may be told so.
        connections: listen.max_sessions + 64,
        handshake: Duration::from_secs_f64(listen.handshake_timeout_s),
        handshakes: listen.max_handshakes,
        tls,
        socket: Limits {
            message_bytes: listen.max_message_bytes,
            queue: listen.max_queued_messages,
            ping: Duration::from_secs_f64(listen.ping_interval_s),
            idle: Some(Duration::from_secs_f64(listen.idle_timeout_s)),
        },
    }
}

/// The first signal stops in order; a second one ends the process at once.
fn on_signal(to: Sender<Event>, acceptor: Acceptor) -> Result<(), String> {
    let again = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register_conditional_shutdown(signal, 1, Arc::clone(&again))
            .map_err(|e| format!("cannot wait for signals: {e}"))?;
    }
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])
        .map_err(|e| format!("cannot wait for signals: {e}"))?;
    let wait = move || {
        if signals.forever().next().is_some() {
            again.store(true, Ordering::SeqCst);
            acceptor.stop();
            let _ = to.send(Event::Input(Input::Stop));
        }
    };
    let thread = std::thread::Builder::new()
        .name("signals".into())
        .spawn(wait);
    thread
        .map(|_| ())
        .map_err(|e| format!("no thread for signals: {e}"))
}
