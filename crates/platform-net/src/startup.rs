//! Startup of the event loop: opens the sockets, installs the signal handlers and creates the node.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;

use bitternlatch_core::Micros;
use bitternlatch_net::clock::Clock;
use bitternlatch_platform::access_log::AccessLog;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::node::Node;
use bitternlatch_platform::types::Command;
use mio::net::{TcpListener, UdpSocket};
use mio::{Interest, Poll, Registry};

use crate::accept::Acceptor;
use crate::dial::ConnectRetries;
use crate::reload::ConfigReloads;
use crate::signals::Signals;
use crate::transient_errors::retry_transient;
use crate::{descriptors, listen, Driver};
use crate::{ACCESS_LOG_TARGET, LISTENER, PEERS, READ_BUFFER_BYTES, SIGNALS};

/// Returns a function that prefixes an I/O error with the operation that failed.
fn with_context(operation: &str) -> impl Fn(io::Error) -> String {
    let operation = operation.to_string();
    move |e| format!("{operation}: {e}")
}

fn open_listener(registry: &Registry, config: &Config) -> Result<TcpListener, String> {
    let address = config.listen;
    let cannot_listen = format!("field 'listen': cannot listen on {address}");
    let mut listener = listen::retry_address_in_use(address, listen::listener)
        .map_err(with_context(&cannot_listen))?;
    registry
        .register(&mut listener, LISTENER, Interest::READABLE)
        .map_err(with_context("cannot poll the listener"))?;
    Ok(listener)
}

fn open_peers(registry: &Registry, config: &Config) -> Result<Option<UdpSocket>, String> {
    let Some(address) = config
        .peer_listen
        .filter(|_| config.bounds.allows_peer_messages)
    else {
        return Ok(None);
    };
    let mut socket = listen::retry_address_in_use(address, UdpSocket::bind)
        .map_err(with_context(&format!("field 'peer_listen': {address}")))?;
    registry
        .register(&mut socket, PEERS, Interest::READABLE)
        .map_err(with_context("cannot poll the peer socket"))?;
    Ok(Some(socket))
}

fn start_node(now: Micros, config: Config, commands: &mut Vec<Command>) -> Node {
    let create = if tracing::enabled!(tracing::Level::DEBUG) {
        Node::traced
    } else {
        Node::new
    };
    let has_access_log = tracing::enabled!(target: ACCESS_LOG_TARGET, tracing::Level::DEBUG);
    let access_log = has_access_log.then(|| AccessLog::new(&config.settings));
    let mut node = create(now, config, commands);
    if let Some(access_log) = access_log {
        node.enable_access_log(access_log);
    }
    node
}

impl Driver {
    /// Opens the sockets and signal handlers that the event loop polls, and creates the node.
    ///
    /// # Errors
    /// A single line that states what could not be opened, and why.
    pub(crate) fn start(path: &Path, mut config: Config) -> Result<Driver, String> {
        let poll =
            retry_transient(Poll::new).map_err(with_context("cannot create a poll instance"))?;
        let registry = poll.registry();
        let listener = open_listener(registry, &config)?;
        let peers = open_peers(registry, &config)?;
        let signals = retry_transient(|| Signals::start(registry, SIGNALS))
            .map_err(with_context("cannot install signal handlers"))?;
        config.limits = descriptors::effective_limits(config.limits);
        let clock = Clock::start();
        let (address, discovery) = (config.listen, config.discovery);
        tracing::info!(name = config.name, %address, %discovery, "listening");
        if let Some(cause) = &config.cached_list_error {
            tracing::warn!(
                "field 'known' is ignored, and the endpoint list comes from discovery alone: {cause}"
            );
        }
        let mut commands = Vec::new();
        let node = start_node(clock.now(), config, &mut commands);
        Ok(Driver {
            poll,
            observed_at: clock.now(),
            clock,
            node,
            commands,
            socket_events: VecDeque::new(),
            acceptor: Acceptor::new(listener),
            connect_retries: ConnectRetries::default(),
            peers,
            signals,
            reloads: ConfigReloads::new(path),
            sockets: BTreeMap::new(),
            ready_again: BTreeSet::new(),
            lingering: VecDeque::new(),
            buffer: vec![0; READ_BUFFER_BYTES],
            stopped: false,
        })
    }
}
