//! The byte stream under a WebSocket: plain TCP, or TLS 1.3 over TCP.
//!
//! Reading and writing run in two threads that share one TLS session. The lock on the session is held while bytes are
//! encrypted or decrypted, never during a blocking socket call. Only the writer thread writes to the socket, so that
//! records are sent in the order in which they were encrypted. Records that reading produces (answers to key updates,
//! alerts) stay in the session until the writer thread's next write.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustls::pki_types::ServerName;
use rustls::{ClientConfig, ClientConnection, Connection, ServerConfig, ServerConnection};

/// Size of one read from the socket under TLS, bytes.
const READ_CHUNK_BYTES: usize = 4096;

/// One TCP connection, with or without TLS.
pub struct Transport {
    stream: TcpStream,
    /// The TLS session; `None` for plaintext.
    session: Option<Mutex<Session>>,
}

/// A TLS session and its pending input.
struct Session {
    tls: Connection,
    /// Bytes from the socket that the TLS session has not accepted yet, because it buffers a bounded amount of plaintext.
    pending_input: Vec<u8>,
}

impl From<TcpStream> for Transport {
    fn from(stream: TcpStream) -> Transport {
        Transport {
            stream,
            session: None,
        }
    }
}

fn tls_error(e: rustls::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, format!("TLS: {e}"))
}

fn handshake_timeout() -> io::Error {
    io::Error::new(io::ErrorKind::TimedOut, "TLS handshake timed out")
}

impl Transport {
    /// Performs the server's side of a TLS handshake, until `deadline` at the latest.
    ///
    /// # Errors
    /// If the handshake fails or times out. The peer is sent the alert that TLS defines for the failure, if any.
    pub fn accept(
        stream: TcpStream,
        config: Arc<ServerConfig>,
        deadline: Instant,
    ) -> io::Result<Transport> {
        let session = ServerConnection::new(config).map_err(tls_error)?;
        Transport::handshake(stream, Connection::Server(session), deadline)
    }

    /// Performs the client's side of a TLS handshake. The server's certificate must be valid for `name`.
    ///
    /// # Errors
    /// As for [`Transport::accept`]; also if `name` is not a valid server name.
    pub fn connect(
        stream: TcpStream,
        config: Arc<ClientConfig>,
        name: &str,
        deadline: Instant,
    ) -> io::Result<Transport> {
        let name = ServerName::try_from(name.to_string()).map_err(|_| {
            io::Error::new(
                io::ErrorKind::InvalidInput,
                format!("'{name}' is not a valid server name"),
            )
        })?;
        let session = ClientConnection::new(config, name).map_err(tls_error)?;
        Transport::handshake(stream, Connection::Client(session), deadline)
    }

    fn handshake(
        mut stream: TcpStream,
        mut session: Connection,
        deadline: Instant,
    ) -> io::Result<Transport> {
        session.set_buffer_limit(None);
        while session.is_handshaking() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(handshake_timeout());
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
                    let reason = "connection closed during the TLS handshake";
                    return Err(io::Error::new(io::ErrorKind::UnexpectedEof, reason));
                }
                Ok(_) => {}
                Err(e) if is_timeout(&e) => return Err(handshake_timeout()),
                Err(e) => return Err(e),
            }
            if let Err(e) = session.process_new_packets() {
                // Sends the alert with the cause; an error is ignored, as the peer may be gone.
                let _ = session.write_tls(&mut stream);
                return Err(tls_error(e));
            }
        }
        while session.wants_write() {
            session.write_tls(&mut stream)?;
        }
        Ok(Transport {
            stream,
            session: Some(Mutex::new(Session {
                tls: session,
                pending_input: Vec::new(),
            })),
        })
    }

    fn lock(session: &Mutex<Session>) -> MutexGuard<'_, Session> {
        session.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The peer's verified certificate (DER); `None` without TLS or if the peer sent none.
    pub fn peer_certificate(&self) -> Option<Vec<u8>> {
        let session = Transport::lock(self.session.as_ref()?);
        session
            .tls
            .peer_certificates()
            .and_then(|c| c.first())
            .map(|c| c.as_ref().to_vec())
    }

    /// Reads decrypted bytes. Only the reader thread may call it; it never writes to the socket.
    ///
    /// # Errors
    /// On a socket error or a violation of the TLS protocol.
    pub fn receive(&self, buf: &mut [u8]) -> io::Result<usize> {
        let Some(session) = &self.session else {
            return read_uninterrupted(&self.stream, buf);
        };
        let mut raw = [0; READ_CHUNK_BYTES];
        loop {
            {
                let mut session = Transport::lock(session);
                match session.tls.reader().read(buf) {
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    result => return result,
                }
                if !session.pending_input.is_empty() {
                    session.process_input()?;
                    continue;
                }
            }
            let received = read_uninterrupted(&self.stream, &mut raw)?;
            let mut session = Transport::lock(session);
            session.pending_input.extend_from_slice(&raw[..received]);
            // Also called at the end of the stream: the TLS session has to see it to detect a truncated stream.
            session.process_input()?;
        }
    }

    /// Whether the TLS session has pending records to write, such as answers to key updates and alerts.
    pub fn wants_write(&self) -> bool {
        self.session
            .as_ref()
            .is_some_and(|s| Transport::lock(s).tls.wants_write())
    }

    /// Writes all bytes and the pending records of the TLS session. Only the writer thread may call it.
    ///
    /// # Errors
    /// On a socket error.
    pub fn send(&self, bytes: &[u8]) -> io::Result<()> {
        let Some(session) = &self.session else {
            return (&self.stream).write_all(bytes);
        };
        let records = {
            let mut session = Transport::lock(session);
            session.tls.writer().write_all(bytes)?;
            take_records(&mut session.tls)?
        };
        (&self.stream).write_all(&records)
    }

    /// Sends the TLS close alert (`close_notify`) and shuts the connection down. Only the writer thread may call it.
    pub fn finish(&self) {
        if let Some(session) = &self.session {
            let close_alert = {
                let mut session = Transport::lock(session);
                session.tls.send_close_notify();
                take_records(&mut session.tls)
            };
            // An error is ignored: the peer may be gone already.
            let _ = close_alert.and_then(|records| (&self.stream).write_all(&records));
        }
        self.abort();
    }

    /// Shuts the connection down at once. Any thread may call it.
    pub fn abort(&self) {
        // An error means that the connection has ended already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Sets the read timeout; `None` blocks without limit.
    ///
    /// # Errors
    /// If the system rejects the option.
    pub fn set_read_timeout(&self, within: Option<Duration>) -> io::Result<()> {
        self.stream.set_read_timeout(within)
    }

    /// Sets the write timeout; `None` blocks without limit.
    ///
    /// # Errors
    /// If the system rejects the option.
    pub fn set_write_timeout(&self, within: Option<Duration>) -> io::Result<()> {
        self.stream.set_write_timeout(within)
    }

    /// Sends small writes immediately (`TCP_NODELAY`).
    ///
    /// # Errors
    /// If the system rejects the option.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay(true)
    }
}

impl Session {
    /// Passes as much pending input to the TLS session as it accepts. It accepts more once its plaintext has been read.
    fn process_input(&mut self) -> io::Result<()> {
        let taken = self.tls.read_tls(&mut self.pending_input.as_slice())?;
        self.pending_input.drain(..taken);
        self.tls.process_new_packets().map_err(tls_error)?;
        Ok(())
    }
}

/// Reads, and retries an interrupted read. When a process is stopped and continued by signals, all its blocked reads with a
/// timeout fail with `EINTR`; without the retry it would lose every session and link.
fn read_uninterrupted(mut stream: &TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        match stream.read(buf) {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Takes all pending records from the TLS session.
fn take_records(session: &mut Connection) -> io::Result<Vec<u8>> {
    let mut records = Vec::new();
    while session.wants_write() {
        session.write_tls(&mut records)?;
    }
    Ok(records)
}

/// Whether a read or write failed because its timeout expired.
pub(crate) fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
