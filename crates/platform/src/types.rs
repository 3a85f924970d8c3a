//! Inputs and commands of the node.

use std::net::SocketAddr;

/// One connection: of a client, to a model server or to discovery. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What has happened outside the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Input<'a> {
    /// A client has connected.
    Accepted {
        /// Id from [`crate::node::Node::next_conn`].
        conn: ConnId,
    },
    /// A connection of [`Command::Connect`] is up.
    Connected {
        /// The connection.
        conn: ConnId,
    },
    /// Bytes have come.
    Received {
        /// The connection.
        conn: ConnId,
        /// What has come since the last such input.
        bytes: &'a [u8],
    },
    /// Bytes of what was to be written have gone to the system.
    Wrote {
        /// The connection.
        conn: ConnId,
        /// Number of bytes since the last such input.
        count: usize,
    },
    /// A connection never came up, was closed by the other side, or broke.
    Ended {
        /// The connection.
        conn: ConnId,
    },
    /// The answer to [`Command::Reuse`] where bytes or the end had come on the connection: nothing was written to it,
    /// and it is closed.
    Stale {
        /// The connection.
        conn: ConnId,
    },
    /// A datagram has come from another dispatcher.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Content.
        data: &'a [u8],
    },
    /// Time has passed; timers that are due act on this input alone.
    Tick,
    /// Shutdown is requested: take nothing new before long, answer what is in hand, then give [`Command::Stopped`].
    Stop,
    /// The answer to [`Command::StopListening`]: every client that had connected by then has been accepted, and no other
    /// will be.
    NotListening,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// An ordinary event.
    Info,
    /// A fault, or something that an operator should look at.
    Warn,
}

/// What the node wants done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection.
    Connect {
        /// Its id.
        conn: ConnId,
        /// Address to connect to.
        to: SocketAddr,
    },
    /// Write bytes.
    Write {
        /// The connection.
        conn: ConnId,
        /// What to write.
        bytes: Vec<u8>,
    },
    /// Write bytes on a connection that was idle, unless anything has come on it since, its end included: then close it
    /// with nothing written, and give [`Input::Stale`].
    Reuse {
        /// The connection.
        conn: ConnId,
        /// What to write.
        bytes: Vec<u8>,
    },
    /// Close a connection now and drop what is not written. No input follows for it.
    Close {
        /// The connection.
        conn: ConnId,
    },
    /// Write what is left, then close the connection, so that the other side sees all of it. No input follows for it.
    Finish {
        /// The connection.
        conn: ConnId,
    },
    /// Read nothing from a connection for now, or go on.
    Pause {
        /// The connection.
        conn: ConnId,
        /// Whether it is paused from now on.
        paused: bool,
    },
    /// Send a datagram to another dispatcher.
    Datagram {
        /// Address of the receiver.
        to: SocketAddr,
        /// Content.
        data: Vec<u8>,
    },
    /// Close the listener. Connections that wait in its queue are accepted first: what a client has written to them
    /// counts as read. Then give [`Input::NotListening`].
    StopListening,
    /// Everything in hand is answered after [`Input::Stop`]: the process may end.
    Stopped,
    /// Write a line of the access log.
    AccessLog {
        /// The line.
        text: String,
    },
    /// Write a log line.
    Log {
        /// Its severity.
        level: Level,
        /// The line.
        text: String,
    },
}
