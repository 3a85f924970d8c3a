//! The dispatcher: reads its settings, listens, and runs its event loop until a signal stops it.
//!
//! It is a library so that other programs can run a dispatcher from their own executable.

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
use bitternlatch_net::accept::{Acceptor, ListenerOptions};
use bitternlatch_net::charges::ChargeQueue;
use bitternlatch_net::driver::{
    event_queue, Driver, Event, Recorder, ServiceSinks, SessionEndpoint,
};
use bitternlatch_net::ledger::QuotaServerLink;
use bitternlatch_net::socket::Limits;
use bitternlatch_net::{guard, logs, tls, watch};
use clap::Parser;
use crossbeam_channel::Sender;
use signal_hook::consts::{SIGINT, SIGTERM};

/// Routes the requests of WebSocket sessions to model servers.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-dispatch --config deploy/dispatch.toml --check\n  \
    bitternlatch-dispatch --config deploy/dispatch.toml\n\nExit codes: 0 stopped by a signal, 2 could not run.\n\
    On SIGTERM it accepts no new requests, completes those in flight, then exits."
)]
struct Args {
    /// Settings file (TOML), or with `--platform` the platform's configuration (JSON).
    #[arg(long, env = "EDGE_CONFIG")]
    config: PathBuf,
    /// Run on the platform: serve only its protocol, to clients and model servers.
    #[arg(long)]
    platform: bool,
    /// Check the settings and the server list, print a summary, and exit.
    #[arg(long)]
    check: bool,
    /// Seed of all random choices and of the secret that request ids are made with; by default taken from the system.
    #[arg(long)]
    seed: Option<u64>,
}

/// Runs a dispatcher with command-line arguments, the first of which is the program's name. Invalid arguments end the
/// process.
pub fn main_from(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let args = Args::parse_from(arguments);
    logs::init();
    let result = if args.platform {
        run_on_platform(&args)
    } else {
        run(&args)
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bitternlatch-dispatch: {error}");
            ExitCode::from(2)
        }
    }
}

/// Resolves a path in the settings, which is relative to the settings file.
fn resolve_path(config: &Path, file: &str) -> PathBuf {
    config.parent().unwrap_or(Path::new("")).join(file)
}

/// Serves the platform's protocol. The WebSocket listener, the stores and their threads are not started.
fn run_on_platform(args: &Args) -> Result<(), String> {
    let config = bitternlatch_platform_net::read_config(&args.config)?;
    if args.check {
        println!("{}: good", args.config.display());
        return Ok(());
    }
    bitternlatch_platform_net::serve(&args.config, config)
}

fn run(args: &Args) -> Result<(), String> {
    let config_name = args.config.display().to_string();
    let text = std::fs::read_to_string(&args.config).map_err(|e| format!("{config_name}: {e}"))?;
    let settings = Settings::parse(&config_name, &text).map_err(|e| e.to_string())?;
    let list = resolve_path(&args.config, &settings.inventory.file);
    let mut last_good = LastValidList::default();
    match last_good.update(&list.display().to_string(), &watch::read_list(&list)?) {
        UpdateOutcome::Invalid(e) => return Err(e.to_string()),
        UpdateOutcome::Applied(_) | UpdateOutcome::Unchanged => {}
    }
    check_access_rights(&args.config, &settings)?;
    let tls_files = TlsFiles::load(&args.config, &settings)?;
    if let Some(cluster) = settings.cluster.as_ref().filter(|c| c.seeds.is_empty()) {
        let base = args.config.parent().unwrap_or(Path::new(""));
        ClusterRuntime::check(cluster, &settings.name, base).map_err(|e| e.with_advice())?;
    }
    if args.check {
        println!(
            "{config_name}: good; {} servers in {}",
            last_good.servers().len(),
            list.display()
        );
        return Ok(());
    }
    let (settings, text) = with_fetched_roster(&args.config, settings, text)?;
    serve(args, settings, text, list, last_good, tls_files)
}

/// Fetches the roster from the cluster's seeds and puts it into the settings in place of the seeds, so that a recording of
/// this dispatcher contains the members that it knew at its start.
fn with_fetched_roster(
    config: &Path,
    settings: Settings,
    text: String,
) -> Result<(Settings, String), String> {
    let Some(cluster) = settings.cluster.as_ref().filter(|c| !c.seeds.is_empty()) else {
        return Ok((settings, text));
    };
    let base = config.parent().unwrap_or(Path::new(""));
    let (roster, from) = bitternlatch_cluster_net::fetch_roster(cluster, &settings.name, base)
        .map_err(|e| e.with_advice())?;
    let mut table: toml::Table = toml::from_str(&text).map_err(|e| e.to_string())?;
    let roster_value = toml::Value::try_from(&roster).map_err(|e| e.to_string())?;
    if let Some(cluster) = table.get_mut("cluster").and_then(toml::Value::as_table_mut) {
        cluster.remove("seeds");
        cluster.insert("roster".into(), roster_value);
    }
    let text = table.to_string();
    let name = format!("{} with the roster of {from}", config.display());
    let settings = Settings::parse(&name, &text).map_err(|e| e.to_string())?;
    tracing::info!(by = from, members = roster.len(), "the roster");
    Ok((settings, text))
}

/// Certificates and keys for TLS with clients (`server`) and with model servers (`client`), where the settings enable it.
struct TlsFiles {
    server: Option<Arc<tls::ServerTls>>,
    client: Option<Arc<tls::ClientTls>>,
}

impl TlsFiles {
    fn load(config: &Path, settings: &Settings) -> Result<TlsFiles, String> {
        let base = config.parent().unwrap_or(Path::new(""));
        let server = settings
            .listen
            .tls
            .as_ref()
            .map(|s| tls::ServerTls::load(s, base))
            .transpose()?;
        let client = settings
            .engines
            .tls
            .as_ref()
            .map(|s| tls::ClientTls::load(s, base))
            .transpose()?;
        Ok(TlsFiles {
            server: server.map(Arc::new),
            client: client.map(Arc::new),
        })
    }
}

/// Checks that the access rights name only classes and tenants that the settings define.
fn check_access_rights(config: &Path, settings: &Settings) -> Result<(), String> {
    let Some(identity) = &settings.identity else {
        return Ok(());
    };
    let path = resolve_path(config, &identity.rights);
    let rights_name = path.display();
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{rights_name}: {e}"))?;
    let rights = AccessRights::parse(&text).map_err(|e| format!("{rights_name}: {e}"))?;
    if let Some(class) = rights
        .classes()
        .find(|c| settings.classes.iter().all(|known| known.name != **c))
    {
        return Err(format!(
            "{rights_name}: class '{class}' is not in the settings"
        ));
    }
    let unknown = |t: &&str| settings.tenants.iter().all(|known| known.name != **t);
    let unknown_tenant = rights
        .tenants()
        .find(unknown)
        .filter(|_| !settings.tenants.is_empty());
    unknown_tenant.map_or(Ok(()), |tenant| {
        Err(format!(
            "{rights_name}: tenant '{tenant}' is not in the settings"
        ))
    })
}

fn serve(
    args: &Args,
    settings: Settings,
    text: String,
    list: PathBuf,
    last_good: LastValidList,
    tls_files: TlsFiles,
) -> Result<(), String> {
    // Request ids must not be guessable: the seed comes from the system's random source and is never logged.
    let seed = match args.seed {
        Some(seed) => seed,
        None => getrandom::u64().map_err(|e| format!("no random numbers from the system: {e}"))?,
    };
    let ready = Arc::new(AtomicBool::new(false));
    let (events_in, events_out) = event_queue();
    let address = settings.listen.address.clone();
    let listener =
        TcpListener::bind(&address).map_err(|e| format!("cannot listen on {address}: {e}"))?;
    let base = args.config.parent().unwrap_or(Path::new(""));
    let guard = match &settings.identity {
        Some(identity) => {
            let unix_clock = Arc::new(guard::unix_seconds);
            Some(guard::start(
                identity,
                base,
                tls_files.server.clone(),
                unix_clock,
                events_in.clone(),
            )?)
        }
        None => None,
    };
    let front = Arc::new(SessionEndpoint {
        events: events_in.clone(),
        ready: Arc::clone(&ready),
        authenticator: guard,
    });
    let servers = last_good.servers().values().cloned().collect();
    events_in
        .send(Event::Input(Input::ServerList(servers)))
        .map_err(|e| e.to_string())?;
    let poll_interval = Duration::from_secs_f64(settings.inventory.poll_interval_s);
    watch::watch(list, poll_interval, last_good, events_in.clone())
        .map_err(|e| format!("cannot start the thread that watches the server list: {e}"))?;
    tls::watch(
        tls_files.server.clone(),
        tls_files.client.clone(),
        events_in.clone(),
    )
    .map_err(|e| format!("cannot start the thread that watches the TLS files: {e}"))?;
    let door = listener_limits(&settings, tls_files.server);
    let acceptor = Acceptor::start(listener, door, front)
        .map_err(|e| format!("cannot start accepting connections: {e}"))?;
    let stop_timeout = Duration::from_secs_f64(settings.stop.timeout_s);
    let record_file = settings
        .record
        .as_ref()
        .map(|r| resolve_path(&args.config, &r.file));
    tracing::info!(name = settings.name, address = %acceptor.address(), "listening");
    stop_on_signal(events_in.clone(), acceptor)?;
    let journal = match &settings.charges {
        Some(charges) => {
            let opened = Journal::open(&resolve_path(&args.config, &charges.file));
            Some(Arc::new(opened.map_err(|e| e.to_string())?))
        }
        None => None,
    };
    let charges = journal
        .clone()
        .map(|j| ChargeQueue::start(j, events_in.clone()))
        .transpose()?;
    let quota_server = settings
        .quota_server
        .as_ref()
        .map(|q| QuotaServerLink::start(q.address.clone(), journal, events_in.clone()));
    let quota_server = quota_server
        .transpose()
        .map_err(|e| format!("cannot start the thread for the quota server: {e}"))?;
    let fenced = Arc::new(AtomicBool::new(false));
    let mut cluster = join_cluster(&settings, base, &events_in, &fenced)?;
    let services = match &mut cluster {
        Some(runtime) => beside::start(&settings, base, runtime, &events_in)?,
        None => ServiceSinks::default(),
    };
    let mut driver = Driver::new(settings, seed, (events_in, events_out), ready);
    if let Some(runtime) = &cluster {
        driver.set_observation_sink(Box::new(runtime.observation_sink()));
    }
    driver.set_service_sinks(services);
    if let Some(quota_server) = quota_server {
        driver.set_quota_server(quota_server);
    }
    if let Some(charges) = charges {
        driver.set_charge_queue(charges);
    }
    if let Some(client) = tls_files.client {
        driver.set_server_tls(client);
    }
    if let Some(path) = record_file {
        let recorder = Recorder::start(&path, text, seed);
        driver.set_recorder(
            recorder.map_err(|e| format!("cannot record to {}: {e}", path.display()))?,
        );
    }
    driver.run(stop_timeout);
    cluster.into_iter().for_each(ClusterRuntime::leave);
    tracing::info!("stopped");
    match fenced.load(Ordering::SeqCst) {
        true => {
            Err("another process under this name started later; this one has stopped".to_string())
        }
        false => Ok(()),
    }
}

/// Joins the cluster of dispatchers, if the settings define one. A dispatcher that is fenced, because another process with
/// its name started later, accepts no new requests and stops.
fn join_cluster(
    settings: &Settings,
    base: &Path,
    events: &Sender<Event>,
    fenced: &Arc<AtomicBool>,
) -> Result<Option<ClusterRuntime>, String> {
    let Some(cluster) = &settings.cluster else {
        return Ok(None);
    };
    let (events, fenced) = (events.clone(), Arc::clone(fenced));
    // Sending fails only if the event loop has ended, and then the process is exiting.
    let on_event = move |event: ClusterEvent| match event {
        ClusterEvent::Input(input) => {
            // If the event loop's queue is full, it gets the next input instead; by then the previous one has expired.
            let _ = events.try_send(Event::Input(input));
        }
        ClusterEvent::Fenced => {
            fenced.store(true, Ordering::SeqCst);
            let _ = events.send(Event::Input(Input::Stop));
        }
    };
    ClusterRuntime::join(cluster, &settings.name, base, on_event)
        .map(Some)
        .map_err(|e| e.with_advice())
}

/// Limits of the WebSocket listener and of its connections.
fn listener_limits(settings: &Settings, tls: Option<Arc<tls::ServerTls>>) -> ListenerOptions {
    let listen = &settings.listen;
    ListenerOptions {
        // The core closes sessions above `max_sessions` with a reason; 64 connections more are accepted so that it can.
        max_connections: listen.max_sessions + 64,
        handshake_timeout: Duration::from_secs_f64(listen.handshake_timeout_s),
        max_handshakes: listen.max_handshakes,
        tls,
        socket: Limits {
            max_message_bytes: listen.max_message_bytes,
            max_queued_messages: listen.max_queued_messages,
            ping_interval: Duration::from_secs_f64(listen.ping_interval_s),
            idle_timeout: Some(Duration::from_secs_f64(listen.idle_timeout_s)),
        },
    }
}

/// Stops the dispatcher gracefully on the first SIGTERM or SIGINT; a second one ends the process at once.
fn stop_on_signal(events: Sender<Event>, acceptor: Acceptor) -> Result<(), String> {
    let second_signal_exits = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register_conditional_shutdown(
            signal,
            1,
            Arc::clone(&second_signal_exits),
        )
        .map_err(|e| format!("cannot wait for signals: {e}"))?;
    }
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT])
        .map_err(|e| format!("cannot wait for signals: {e}"))?;
    let wait = move || {
        if signals.forever().next().is_some() {
            second_signal_exits.store(true, Ordering::SeqCst);
            acceptor.stop();
            let _ = events.send(Event::Input(Input::Stop));
        }
    };
    let thread = std::thread::Builder::new()
        .name("signals".into())
        .spawn(wait);
    thread
        .map(|_| ())
        .map_err(|e| format!("cannot start the thread that waits for signals: {e}"))
}
