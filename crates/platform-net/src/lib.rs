//! Network I/O of the platform: one event loop over non-blocking sockets that drives the I/O-free node of
//! `bitternlatch-platform`. All decisions about requests are made by that node.

mod accept;
mod commands;
mod connections;
mod descriptors;
mod dial;
mod event_loop;
mod lingering;
mod listen;
mod reload;
mod signals;
mod socket;
mod startup;
mod transient_errors;
mod write_queue;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;

use bitternlatch_core::Micros;
use bitternlatch_net::clock::Clock;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::node::Node;
use bitternlatch_platform::types::{Command, ConnId};
use mio::net::UdpSocket;
use mio::{Poll, Token};

use accept::Acceptor;
use dial::ConnectRetries;
use reload::ConfigReloads;
use signals::Signals;
use socket::Socket;
use transient_errors::retry_transient;

/// Poll token of the listener. Connection tokens are connection ids, which count up from 1, so the fixed tokens are at
/// the top of the range.
const LISTENER: Token = Token(usize::MAX);
/// Poll token of the UDP socket for messages between dispatchers.
const PEERS: Token = Token(usize::MAX - 1);
/// Poll token of the socket pair that reports signals.
const SIGNALS: Token = Token(usize::MAX - 2);
/// Size of the read buffer, which is the most that a single read of a connection takes.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Log target of the access log. `BITTERNLATCH_LOG=info,explain=debug` enables it; its lines state why requests were
/// rejected, failed, retried or late.
const ACCESS_LOG_TARGET: &str = "explain";

/// Reads the configuration file at startup, retrying for a few seconds if it fails with a transient error.
///
/// # Errors
/// A single line that names the file, the field and the cause.
pub fn read_config(path: &Path) -> Result<Config, String> {
    parse_config(path, retry_transient(|| std::fs::read_to_string(path)))
}

fn parse_config(path: &Path, text: io::Result<String>) -> Result<Config, String> {
    let shown = path.display();
    let text = text.map_err(|e| format!("{shown}: {e}"))?;
    Config::parse(&text).map_err(|e| format!("{shown}: {e}"))
}

/// Serves requests until a signal requests a stop and the requests in flight are answered.
///
/// # Errors
/// A single line with the reason why the dispatcher could not start or why polling the sockets failed.
pub fn serve(path: &Path, config: Config) -> Result<(), String> {
    let mut driver = Driver::start(path, config)?;
    driver
        .run()
        .map_err(|e| format!("cannot poll the sockets: {e}"))
}

/// The event loop and the state it owns: sockets, listener, signals and the node. Each module of this crate implements
/// one part of it.
struct Driver {
    poll: Poll,
    clock: Clock,
    /// Time of the last poll of the operating system, given to the node as the current time. With a later time, timers
    /// would fire before the node is notified of clients that disconnected while this process was delayed.
    observed_at: Micros,
    node: Node,
    /// Commands of the node that have not been executed yet.
    commands: Vec<Command>,
    /// Socket events that have not been passed to the node yet.
    socket_events: VecDeque<SocketEvent>,
    acceptor: Acceptor,
    connect_retries: ConnectRetries,
    peers: Option<UdpSocket>,
    signals: Signals,
    reloads: ConfigReloads,
    sockets: BTreeMap<ConnId, Socket>,
    /// Connections to read again in the next iteration without waiting for a new readiness event.
    ready_again: BTreeSet<ConnId>,
    /// Connections that are being closed gracefully, oldest first.
    lingering: VecDeque<ConnId>,
    buffer: Vec<u8>,
    stopped: bool,
}

/// A change of a connection that happened while commands were executed.
#[derive(Clone, Copy, Debug)]
enum SocketEvent {
    /// `count` bytes were written to the socket.
    Wrote { conn: ConnId, count: usize },
    /// The connection could not be established, or it failed.
    Ended { conn: ConnId },
    /// The connection was aborted before all written bytes had been delivered.
    Undelivered { conn: ConnId },
    /// An idle connection was to be reused, but the other side had closed it or had sent unexpected bytes.
    Stale { conn: ConnId },
}
