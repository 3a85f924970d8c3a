//! A minimal HTTP/1.1: request and response heads, read within limits of size and time, and short responses.

use std::io;
use std::time::{Duration, Instant};

use tungstenite::handshake::derive_accept_key;

use crate::wire::Transport;

/// Largest accepted head, bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields in a head.
const MAX_HEADERS: usize = 64;

/// The parts of a request's head that are used.
pub(crate) struct RequestHead {
    pub method: String,
    pub path: String,
    /// Minor version of HTTP/1.
    version: u8,
    headers: Vec<(String, String)>,
    /// Bytes read beyond the head.
    pub left: Vec<u8>,
}

impl RequestHead {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    /// Whether the comma-separated values of a header contain `word`, ignoring case.
    fn header_contains(&self, name: &str, word: &str) -> bool {
        self.header(name)
            .is_some_and(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(word)))
    }

    /// Why two HTTP implementations could interpret this upgrade request differently, which would allow request smuggling
    /// (RFC 9112, sections 3.2 and 6.3; RFC 6455, section 4.1). `None` if the request is unambiguous.
    fn ambiguity(&self) -> Option<&'static str> {
        let count = |name: &str| {
            self.headers
                .iter()
                .filter(|(n, _)| n.eq_ignore_ascii_case(name))
                .count()
        };
        let once = |name: &str| count(name) == 1;
        if self.version != 1 {
            Some("an upgrade is asked for over HTTP/1.1")
        } else if !once("host") {
            Some("one header Host is expected")
        } else if count("sec-websocket-key") > 1 || count("sec-websocket-version") > 1 {
            Some("a header Sec-WebSocket-Key or -Version stands twice")
        } else if count("authorization") > 1 {
            Some("the header Authorization stands twice")
        } else if count("transfer-encoding") > 0
            || self.header("content-length").is_some_and(|n| n != "0")
        {
            Some("an upgrade has no body")
        } else {
            None
        }
    }

    /// Returns the response to a WebSocket upgrade request (RFC 6455, section 4.2), or the status and text of an error
    /// response; `None` if the request is not a WebSocket upgrade.
    pub(crate) fn upgrade(&self) -> Option<Result<String, (u16, &'static str)>> {
        if !self.header_contains("upgrade", "websocket") {
            return None;
        }
        if let Some(reason) = self.ambiguity() {
            return Some(Err((400, reason)));
        }
        if self.method != "GET" {
            return Some(Err((405, "an upgrade is asked for with GET")));
        }
        if !self.header_contains("connection", "upgrade") {
            return Some(Err((400, "the header Connection: Upgrade is missing")));
        }
        if self.header("sec-websocket-version") != Some("13") {
            return Some(Err((426, "only WebSocket version 13 is spoken here")));
        }
        let key = self.header("sec-websocket-key").filter(|k| k.len() == 24);
        let Some(key) = key else {
            return Some(Err((
                400,
                "the header Sec-WebSocket-Key is missing or not 16 bytes in base64",
            )));
        };
        let accept = derive_accept_key(key.as_bytes());
        Some(Ok(format!(
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
             Sec-WebSocket-Accept: {accept}\r\n\r\n"
        )))
    }
}

fn invalid_data(text: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.into())
}

/// Reads until `parse` finds the end of the head, within the size limit and the deadline. Returns the parsed head and the
/// bytes read beyond it.
fn read_head<T>(
    stream: &Transport,
    deadline: Instant,
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, httparse::Error>,
) -> io::Result<(T, Vec<u8>)> {
    let mut data = Vec::new();
    loop {
        if let Some((head, used)) =
            parse(&data).map_err(|e| invalid_data(format!("broken HTTP head: {e}")))?
        {
            return Ok((head, data.split_off(used)));
        }
        if data.len() >= MAX_HEAD_BYTES {
            return Err(invalid_data(format!(
                "HTTP head longer than {MAX_HEAD_BYTES} bytes"
            )));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "timed out waiting for the HTTP head",
            ));
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut chunk = [0; 1024];
        match stream.receive(&mut chunk)? {
            0 => {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "connection closed before the end of the HTTP head",
                ))
            }
            n => data.extend_from_slice(&chunk[..n]),
        }
    }
}

fn headers(list: &[httparse::Header<'_>]) -> Vec<(String, String)> {
    list.iter()
        .map(|h| {
            (
                h.name.to_string(),
                String::from_utf8_lossy(h.value).trim().to_string(),
            )
        })
        .collect()
}

/// Reads the head of a request.
///
/// # Errors
/// If the head is malformed, too long or not complete by the deadline, or the stream ends.
pub(crate) fn read_request(stream: &Transport, deadline: Instant) -> io::Result<RequestHead> {
    let (mut head, left) = read_head(stream, deadline, |data| {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut slots);
        Ok(match request.parse(data)? {
            httparse::Status::Partial => None,
            httparse::Status::Complete(used) => {
                let to_owned = |text: Option<&str>| text.unwrap_or_default().to_string();
                let (method, path) = (to_owned(request.method), to_owned(request.path));
                Some((
                    RequestHead {
                        method,
                        path,
                        version: request.version.unwrap_or(0),
                        headers: headers(request.headers),
                        left: Vec::new(),
                    },
                    used,
                ))
            }
        })
    })?;
    head.left = left;
    Ok(head)
}

/// Sends a WebSocket upgrade request and reads the response. Returns the bytes read beyond the response.
///
/// # Errors
/// If the response is not a valid 101, the token is not printable ASCII, or for the reasons of [`read_request`].
pub(crate) fn request_upgrade(
    stream: &Transport,
    host: &str,
    path: &str,
    token: Option<&str>,
    deadline: Instant,
) -> io::Result<Vec<u8>> {
    if token.is_some_and(|t| !t.bytes().all(|b| b.is_ascii_graphic())) {
        return Err(invalid_data(
            "the token contains characters that are not printable ASCII",
        ));
    }
    let authorization = token
        .map(|t| format!("Authorization: Bearer {t}\r\n"))
        .unwrap_or_default();
    let key = tungstenite::handshake::client::generate_key();
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_write_timeout(Some(left))?;
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: {key}\r\n{authorization}\r\n"
    );
    stream.send(request.as_bytes())?;
    let ((code, accept), left) = read_head(stream, deadline, |data| {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut slots);
        Ok(match response.parse(data)? {
            httparse::Status::Partial => None,
            httparse::Status::Complete(used) => {
                let accept = headers(response.headers);
                let accept = accept
                    .into_iter()
                    .find(|(n, _)| n.eq_ignore_ascii_case("sec-websocket-accept"));
                Some(((response.code.unwrap_or(0), accept.map(|a| a.1)), used))
            }
        })
    })?;
    if code != 101 || accept.as_deref() != Some(derive_accept_key(key.as_bytes()).as_str()) {
        return Err(invalid_data(format!(
            "the upgrade was answered with status {code}"
        )));
    }
    Ok(left)
}

/// Writes a short response, with a write timeout of 1 s.
pub(crate) fn respond(stream: &Transport, status: u16, body: &str) {
    let reason = match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        426 => "Upgrade Required",
        503 => "Service Unavailable",
        _ => "Error",
    };
    let extra = match status {
        503 => "Retry-After: 1\r\n",
        401 => "WWW-Authenticate: Bearer\r\n",
        426 => "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n",
        _ => "",
    };
    let _ = stream.set_write_timeout(Some(Duration::from_secs(1)));
    let text = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n{extra}Connection: close\r\n\r\n{body}",
        body.len()
    );
    // A write error is ignored: the peer may be gone.
    let _ = stream.send(text.as_bytes());
}

/// Sends a GET request over an open connection and returns the body of the response.
///
/// # Errors
/// On a socket error, a status other than 200, or a body that is too long or incomplete.
pub(crate) fn get(
    stream: &Transport,
    host: &str,
    path: &str,
    deadline: Instant,
    max_bytes: usize,
) -> io::Result<Vec<u8>> {
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_write_timeout(Some(left))?;
    // Sends the request in one write: a server that responds and closes early would make a second write fail.
    stream.send(
        format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    let ((code, length), mut body) = read_head(stream, deadline, |data| {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut slots);
        Ok(match response.parse(data)? {
            httparse::Status::Partial => None,
            httparse::Status::Complete(used) => {
                let all = headers(response.headers);
                let length = all
                    .iter()
                    .find(|(n, _)| n.eq_ignore_ascii_case("content-length"));
                let length = length.and_then(|(_, v)| v.parse::<usize>().ok());
                Some(((response.code.unwrap_or(0), length), used))
            }
        })
    })?;
    if code != 200 {
        return Err(invalid_data(format!("answered with status {code}")));
    }
    let mut chunk = [0; 4096];
    while length.is_none_or(|n| body.len() < n) {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "timed out waiting for the HTTP body",
            ));
        }
        stream.set_read_timeout(Some(left))?;
        match stream.receive(&mut chunk)? {
            0 if length.is_some() => {
                return Err(invalid_data(
                    "connection closed before the end of the HTTP body",
                ))
            }
            0 => break,
            n => body.extend_from_slice(&chunk[..n]),
        }
        if body.len() > max_bytes {
            return Err(invalid_data(format!(
                "HTTP body longer than {max_bytes} bytes"
            )));
        }
    }
    Ok(body)
}
