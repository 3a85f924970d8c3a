//! The bytes under a WebSocket: a TCP stream as it is, or TLS 1.3 over it.
//!
//! Full duplex with a session that has one state: the lock on it is held while bytes are turned into records or back,
//! never while a socket blocks. One thread alone writes to the socket, so that records leave in the order in which they were made;
//! what the reading side has to say (answers to key updates, alerts) waits in the session until that thread comes by.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection, Connection, ServerConfig, ServerConnection};

/// Bytes that are read from the socket at once under TLS.
const CHUNK: usize = 4096;

/// One connection.
pub struct Wire {
    stream: TcpStream,
    session: Option<Mutex<Session>>,
}

struct Session {
    tls: Connection,
    /// Bytes from the socket that the session could not take yet: it holds a bounded amount of what was said.
    unread: Vec<u8>,
}

impl From<TcpStream> for Wire {
    fn from(stream: TcpStream) -> Wire {
        Wire {
            stream,
            session: None,
        }
    }
}

fn broken(e: rustls::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("TLS: {e}"))
}

fn late() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "no whole TLS handshake in time")
}

impl Wire {
    /// The server's side of a handshake, within a time.
    ///
    /// # Errors
    /// A handshake that is broken, refused or late; the peer is told by an alert where there is one.
    pub fn accept(
        stream: TcpStream,
        config: Arc<ServerConfig>,
        deadline: Instant,
    ) -> io::Result<Wire> {
        let session = ServerConnection::new(config).map_err(broken)?;
        Wire::shake(stream, Connection::Server(session), deadline)
    }

    /// The client's side; the server has to prove the name.
    ///
    /// # Errors
    /// As [`Wire::accept`]; a name that no certificate can hold.
    pub fn connect(
        stream: TcpStream,
        config: Arc<ClientConfig>,
        name: &str,
        deadline: Instant,
    ) -> io::Result<Wire> {
        let name = ServerName::try_from(name.to_string()).map_err(|_| {
            io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("'{name}' is no host name"),
            )
        })?;
        let session = ClientConnection::new(config, name).map_err(broken)?;
        Wire::shake(stream, Connection::Client(session), deadline)
    }

    fn shake(
        mut stream: TcpStream,
        mut session: Connection,
        deadline: Instant,
    ) -> io::Result<Wire> {
        session.set_buffer_limit(None);
        while session.is_handshaking() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(late());
            }
            stream.set_read_timeout(Some(left))?;
            stream.set_write_timeout(Some(left))?;
            while session.wants_write() {
                session.write_tls(&mut stream)?;
            }
            if !session.is_handshaking() {
                break;
            }
            match session.read_tls(&mut stream) {
                Ok(0) => {
                    let why = "closed within the TLS handshake";
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, why));
                }
                Ok(_) => {}
                Err(e) if is_wait(&e) => return Err(late()),
                Err(e) => return Err(e),
            }
            if let Err(e) = session.process_new_packets() {
                // The alert that says why; a peer that has gone needs none.
                let _ = session.write_tls(&mut stream);
                return Err(broken(e));
            }
        }
        while session.wants_write() {
            session.write_tls(&mut stream)?;
        }
        Ok(Wire {
            stream,
            session: Some(Mutex::new(Session {
                tls: session,
                unread: Vec::new(),
            })),
        })
    }

    fn lock(session: &Mutex<Session>) -> MutexGuard<'_, Session> {
        session.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The certificate that the peer has proven (DER).
    pub fn peer_certificate(&self) -> Option<Vec<u8>> {
        let session = Wire::lock(self.session.as_ref()?);
        session
            .tls
            .peer_certificates()
            .and_then(|c| c.first())
            .map(|c| c.as_ref().to_vec())
    }

    /// Reads what the peer said. For the one thread that reads; it never writes to the socket.
    ///
    /// # Errors
    /// As the socket's; a stream that breaks the protocol.
    pub fn receive(&self, buf: &mut [u8]) -> io::Result<usize> {
        let Some(session) = &self.session else {
            return read_on(&self.stream, buf);
        };
        let mut raw = [0; CHUNK];
        loop {
            {
                let mut session = Wire::lock(session);
                match session.tls.reader().read(buf) {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    done => return done,
                }
                if !session.unread.is_empty() {
                    session.feed()?;
                    continue;
                }
            }
            let came = read_on(&self.stream, &mut raw)?;
            let mut session = Wire::lock(session);
            session.unread.extend_from_slice(&raw[..came]);
            // Also at the end of the stream, which the session has to see.
            session.feed()?;
        }
    }

    /// Whether the session has something of its own to say.
    pub fn wants_write(&self) -> bool {
        self.session
            .as_ref()
            .is_some_and(|s| Wire::lock(s).tls.wants_write())
    }

    /// Writes all, and whatever the session has to say. For the one thread that writes.
    ///
    /// # Errors
    /// As the socket's.
    pub fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let Some(session) = &self.session else {
            return (&self.stream).write_all(bytes);
        };
        let records = {
            let mut session = Wire::lock(session);
            session.tls.writer().write_all(bytes)?;
            drain(&mut session.tls)?
        };
        (&self.stream).write_all(&records)
    }

    /// Says the end and closes both ways. For the one thread that writes.
    pub fn finish(&self) {
        if let Some(session) = &self.session {
            let farewell = {
                let mut session = Wire::lock(session);
                session.tls.send_close_notify();
                drain(&mut session.tls)
            };
            // A peer that has gone needs no farewell.
            let _ = farewell.and_then(|f| (&self.stream).write_all(&f));
        }
        self.cut();
    }

    /// Ends the connection at once, from any thread.
    pub fn cut(&self) {
        // An error means that it has ended already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Sets how long reads wait.
    ///
    /// # Errors
    /// Where the system refuses it.
    pub fn set_read_timeout(&self, within: Option<Duration>) -> io::Result<()> {
        self.stream.set_read_timeout(within)
    }

    /// Sets how long writes wait.
    ///
    /// # Errors
    /// Where the system refuses it.
    pub fn set_write_timeout(&self, within: Option<Duration>) -> io::Result<()> {
        self.stream.set_write_timeout(within)
    }

    /// Sends small writes at once.
    ///
    /// # Errors
    /// Where the system refuses it.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay(true)
    }
}

impl Session {
    /// Takes as much of what came as fits; what is said in it has to be read before more can be taken.
    fn feed(&mut self) -> io::Result<()> {
        let taken = self.tls.read_tls(&mut self.unread.as_slice())?;
        self.unread.drain(..taken);
        self.tls.process_new_packets().map_err(broken)?;
        Ok(())
    }
}

/// Reads on after an interruption: a process that was stopped and goes on has all its waiting reads interrupted where they
/// have a time limit, and would lose every session and link.
fn read_on(mut stream: &TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buf) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

/// All records that wait to leave.
fn drain(session: &mut Connection) -> io::Result<Vec<u8>> {
    let mut records = Vec::new();
    while session.wants_write() {
        session.write_tls(&mut records)?;
    }
    Ok(records)
}

pub(crate) fn is_wait(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
