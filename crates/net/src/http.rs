//! The little HTTP that stands beside the sessions: heads read within a bound of bytes and time, and short answers.

use std::io;
use std::time::{Duration, Instant};

use tungstenite::handshake::derive_accept_key;

use crate::wire::Wire;

/// Longest head, bytes.
const HEAD_BYTES: usize = 16 * 1024;
const HEADERS: usize = 64;

/// A request's head, as far as it is used.
pub(crate) struct Head {
    pub method: String,
    pub path: String,
    /// Minor version of HTTP/1.
    version: u8,
    headers: Vec<(String, String)>,
    /// Bytes read beyond it.
    pub left: Vec<u8>,
}

impl Head {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    fn lists(&self, name: &str, word: &str) -> bool {
        self.header(name)
            .is_some_and(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case(word)))
    }

    /// What makes an upgrade one that two readers could understand in two ways (RFC 9112, 3.2 and 6.3; RFC 6455, 4.1).
    fn unclear(&self) -> Option<&'static str> {
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

    /// The answer to a WebSocket upgrade (RFC 6455, 4.2), or what is wrong with it as status and text; `None` where
    /// the request is no upgrade at all.
    pub(crate) fn upgrade(&self) -> Option<Result<String, (u16, &'static str)>> {
        if !self.lists("upgrade", "websocket") {
            return None;
        }
        if let Some(why) = self.unclear() {
            return Some(Err((400, why)));
        }
        if self.method != "GET" {
            return Some(Err((405, "an upgrade is asked for with GET")));
        }
        if !self.lists("connection", "upgrade") {
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

fn fault(text: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.into())
}

/// Reads until `parse` has found the head's end, within the bounds.
fn read_head<T>(
    stream: &Wire,
    deadline: Instant,
    parse: impl Fn(&[u8]) -> Result<Option<(T, usize)>, httparse::Error>,
) -> io::Result<(T, Vec<u8>)> {
    let mut data = Vec::new();
    loop {
        if let Some((head, used)) =
            parse(&data).map_err(|e| fault(format!("broken HTTP head: {e}")))?
        {
            return Ok((head, data.split_off(used)));
        }
        if data.len() >= HEAD_BYTES {
            return Err(fault(format!("HTTP head longer than {HEAD_BYTES} bytes")));
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "no whole HTTP head in time",
            ));
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut chunk = [0; 1024];
        match stream.receive(&mut chunk)? {
            0 => {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "closed before a whole HTTP head",
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

/// Reads a request's head.
///
/// # Errors
/// Broken, too long or too late heads, and streams that end.
pub(crate) fn read_request(stream: &Wire, deadline: Instant) -> io::Result<Head> {
    let (mut head, left) = read_head(stream, deadline, |data| {
        let mut slots = [httparse::EMPTY_HEADER; HEADERS];
        let mut request = httparse::Request::new(&mut slots);
        Ok(match request.parse(data)? {
            httparse::Status::Partial => None,
            httparse::Status::Complete(used) => {
                let word = |w: Option<&str>| w.unwrap_or_default().to_string();
                let (method, path) = (word(request.method), word(request.path));
                Some((
                    Head {
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

/// Asks for an upgrade as a client and reads the answer; gives the bytes read beyond it.
///
/// # Errors
/// An answer other than a right 101, and all that [`read_request`] may meet.
pub(crate) fn ask_upgrade(
    stream: &Wire,
    host: &str,
    path: &str,
    token: Option<&str>,
    deadline: Instant,
) -> io::Result<Vec<u8>> {
    if token.is_some_and(|t| !t.bytes().all(|b| b.is_ascii_graphic())) {
        return Err(fault("a token of printable ASCII is expected"));
    }
    let proof = token
        .map(|t| format!("Authorization: Bearer {t}\r\n"))
        .unwrap_or_default();
    let key = tungstenite::handshake::client::generate_key();
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_write_timeout(Some(left))?;
    let ask = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: {key}\r\n{proof}\r\n"
    );
    stream.send(ask.as_bytes())?;
    let ((code, accept), left) = read_head(stream, deadline, |data| {
        let mut slots = [httparse::EMPTY_HEADER; HEADERS];
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
        return Err(fault(format!(
            "the upgrade was answered with status {code}"
        )));
    }
    Ok(left)
}

/// Writes a short answer and gives the peer a moment to read it.
pub(crate) fn answer(stream: &Wire, status: u16, body: &str) {
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
    // A peer that has gone needs no answer.
    let _ = stream.send(text.as_bytes());
}

/// A plain GET over an open connection; gives the body.
///
/// # Errors
/// As the socket's; an answer other than 200; a body that is too long or ends early.
pub(crate) fn get(
    stream: &Wire,
    host: &str,
    path: &str,
    deadline: Instant,
    most: usize,
) -> io::Result<Vec<u8>> {
    let left = deadline
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_write_timeout(Some(left))?;
    // In one write: a server that answers what it has read so far and hangs up would break a second one.
    stream.send(
        format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n").as_bytes(),
    )?;
    let ((code, length), mut body) = read_head(stream, deadline, |data| {
        let mut slots = [httparse::EMPTY_HEADER; HEADERS];
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
        return Err(fault(format!("answered with status {code}")));
    }
    let mut chunk = [0; 4096];
    while length.is_none_or(|n| body.len() < n) {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(
                io::ErrorKind::TimedOut,
                "no whole body in time",
            ));
        }
        stream.set_read_timeout(Some(left))?;
        match stream.receive(&mut chunk)? {
            0 if length.is_some() => return Err(fault("the body ends early")),
            0 => break,
            n => body.extend_from_slice(&chunk[..n]),
        }
        if body.len() > most {
            return Err(fault(format!("a body of more than {most} bytes")));
        }
    }
    Ok(body)
}
