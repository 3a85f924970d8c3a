//! Inputs and commands of the node.

use std::net::SocketAddr;

/// Id of a connection to a client, a model server or discovery. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// An input to the node: something that happened outside of it.
#[derive(Clone, Debug, PartialEq)]
pub enum Input<'a> {
    /// A client has connected.
    Accepted {
        /// Connection id, allocated by [`crate::node::Node::next_conn`].
        conn: ConnId,
    },
    /// A connection opened by [`Command::Connect`] is established.
    Connected {
        /// The connection that is established.
        conn: ConnId,
    },
    /// Bytes have arrived on a connection.
    Received {
        /// The connection on which bytes arrived.
        conn: ConnId,
        /// The bytes that arrived since the last such input.
        bytes: &'a [u8],
    },
    /// The operating system has accepted bytes that were written.
    Wrote {
        /// The connection that was written to.
        conn: ConnId,
        /// Number of bytes accepted since the last such input.
        count: usize,
    },
    /// A connection could not be established, was closed by the other side, or broke.
    Ended {
        /// The connection that ended.
        conn: ConnId,
    },
    /// Response to [`Command::AbortUndelivered`] for a connection whose written bytes had not all been delivered. The
    /// connection is closed, and the rest will not arrive.
    Undelivered {
        /// The connection that was closed.
        conn: ConnId,
    },
    /// Response to [`Command::Reuse`] for a connection on which bytes or its end had arrived. Nothing was written, and
    /// the connection is closed.
    Stale {
        /// The connection that could not be reused.
        conn: ConnId,
    },
    /// A datagram from another dispatcher has arrived.
    Datagram {
        /// Address of the sender.
        from: SocketAddr,
        /// Content of the datagram.
        data: &'a [u8],
    },
    /// Time has passed. Timers fire on this input alone.
    Tick,
    /// Shutdown was requested: soon stop accepting requests, answer the open ones, then issue [`Command::Stopped`].
    Stop,
    /// Response to [`Command::StopListening`]: all clients that had connected before have been reported as accepted,
    /// and no more will follow.
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

/// A command of the node to the I/O layer. Commands are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection.
    Connect {
        /// Id for the new connection.
        conn: ConnId,
        /// Address to connect to.
        to: SocketAddr,
    },
    /// Write bytes to a connection.
    Write {
        /// The connection to write to.
        conn: ConnId,
        /// Bytes to write.
        bytes: Vec<u8>,
    },
    /// Write bytes to an idle connection unless bytes or its end have arrived on it. In that case close it without
    /// writing and report [`Input::Stale`].
    Reuse {
        /// The connection to reuse.
        conn: ConnId,
        /// Bytes to write.
        bytes: Vec<u8>,
    },
    /// Close a connection at once and drop bytes that have not been handed to the operating system. No further input is
    /// reported for it.
    Close {
        /// The connection to close.
        conn: ConnId,
    },
    /// Close a connection at once and also drop the bytes that the operating system has not delivered to the other side,
    /// so that an incomplete request stays incomplete. No further input is reported for it.
    Abort {
        /// The connection to close.
        conn: ConnId,
    },
    /// Abort a connection if bytes written to it have not been delivered to the other side, and report
    /// [`Input::Undelivered`]; otherwise do nothing.
    AbortUndelivered {
        /// The connection to close.
        conn: ConnId,
    },
    /// Send the remaining bytes, then close the connection so that the other side receives all of them. No further
    /// input is reported for it.
    Finish {
        /// The connection to finish.
        conn: ConnId,
    },
    /// Pause or resume reading from a connection.
    Pause {
        /// The connection to pause or resume.
        conn: ConnId,
        /// Whether reading is paused from now on.
        paused: bool,
    },
    /// Send a datagram to another dispatcher.
    Datagram {
        /// Address of the receiver.
        to: SocketAddr,
        /// Content of the datagram.
        data: Vec<u8>,
    },
    /// Close the listener after accepting the connections in its queue, since a client may already have sent a request
    /// on them. Then report [`Input::NotListening`].
    StopListening,
    /// The shutdown is complete and all requests are answered: the process may exit.
    Stopped,
    /// Write a line to the access log.
    AccessLog {
        /// Text of the line.
        text: String,
    },
    /// Write a log line.
    Log {
        /// Severity of the line.
        level: Level,
        /// Text of the line.
        text: String,
    },
}
