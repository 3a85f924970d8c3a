//! What goes into and comes out of the node.

use std::net::SocketAddr;

/// One connection, of a client, to a model host or to discovery; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// What the node is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Input<'a> {
    /// A client has connected, under an id from [`crate::node::Node::next_conn`].
    Accepted {
        conn: ConnId,
    },
    /// A connection that was asked for is up.
    Connected {
        conn: ConnId,
    },
    Received {
        conn: ConnId,
        bytes: &'a [u8],
    },
    /// So many bytes of what was to be written have gone to the system.
    Wrote {
        conn: ConnId,
        count: usize,
    },
    /// A connection never came up, was closed by the other side, or broke.
    Ended {
        conn: ConnId,
    },
    /// Something had come on a connection that was to be used again, or it had ended: nothing was written to it, and it
    /// is closed.
    Stale {
        conn: ConnId,
    },
    /// From another dispatcher.
    Datagram {
        from: SocketAddr,
        data: &'a [u8],
    },
    /// The time alone.
    Tick,
    /// Take nothing new before long, answer what is in hand, then say [`Command::Stopped`].
    Stop,
    /// The answer to [`Command::StopListening`]: whoever had connected by then has been told of, and nobody else will be.
    NotListening,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    Info,
    Warn,
}

/// What the node wants done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    Connect {
        conn: ConnId,
        to: SocketAddr,
    },
    Write {
        conn: ConnId,
        bytes: Vec<u8>,
    },
    /// The same on a connection that stood idle, unless anything has come on it since, its end included: then it is
    /// closed with nothing written, and [`Input::Stale`] told.
    Reuse {
        conn: ConnId,
        bytes: Vec<u8>,
    },
    /// End it now; what is not written is dropped. Nothing more is told of it.
    Close {
        conn: ConnId,
    },
    /// Write what is left, then end it, so that the other side sees all of it. Nothing more is told of it.
    Finish {
        conn: ConnId,
    },
    /// Read nothing from it for now, or go on.
    Pause {
        conn: ConnId,
        paused: bool,
    },
    Datagram {
        to: SocketAddr,
        data: Vec<u8>,
    },
    /// New connections are taken no more. Those that wait to be taken are taken first: what a client has written to
    /// them counts as read. Then [`Input::NotListening`] is told.
    StopListening,
    /// Everything in hand is answered after [`Input::Stop`].
    Stopped,
    /// Why a request fared as it did, where that was asked for.
    AccessLog {
        text: String,
    },
    Log {
        level: Level,
        text: String,
    },
}
