//! HTTP/1.1 as far as the platform speaks it: heads over `httparse`, bodies by length or in chunks. No I/O.
//!
//! A message that could be read in two ways is not read at all: what one side takes for the end of a body another
//! takes for the start of a second request.

use thiserror::Error;

/// Largest head of a message, bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Most header fields in a head.
pub const MAX_FIELDS: usize = 64;
/// Largest body of a request or of a plain answer, bytes.
pub const MAX_BODY: usize = 256 * 1024;
/// Largest chunk of a stream, bytes; no event is longer than a body.
pub const MAX_CHUNK: u64 = MAX_BODY as u64;
/// Longest line that names a chunk's size, and all trailers together, bytes.
const MAX_CHUNK_LINE: usize = 256;
const MAX_TRAILERS: usize = 4096;

/// Why a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    #[error("the head cannot be read")]
    Head,
    #[error("the head is too long")]
    HeadTooLong,
    #[error("the length is not a single whole number")]
    Length,
    #[error("a length and a transfer coding together")]
    LengthAndCoding,
    #[error("the transfer coding is not known")]
    Coding,
    #[error("the body is longer than 256 KiB")]
    BodyTooLong,
    #[error("a chunk cannot be read")]
    Chunk,
}

impl HttpError {
    /// The status that a client is told.
    pub fn status(self) -> u16 {
        match self {
            HttpError::HeadTooLong => 431,
            HttpError::BodyTooLong => 413,
            HttpError::Coding => 501,
            HttpError::Head | HttpError::Length | HttpError::LengthAndCoding | HttpError::Chunk => {
                400
            }
        }
    }
}

/// Header fields in their order; names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields(Vec<(String, String)>);

impl Fields {
    /// Values that are no text are kept with marks in their place: one field that nobody reads, such as a spoilt
    /// load report, does not spoil an answer.
    fn read(raw: &[httparse::Header]) -> Fields {
        let field = |h: &httparse::Header| {
            (
                h.name.to_ascii_lowercase(),
                String::from_utf8_lossy(h.value).trim().to_string(),
            )
        };
        Fields(raw.iter().map(field).collect())
    }

    /// The first field of a name given in lower case.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name).next()
    }

    /// All fields of a name given in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |f| f.0 == name)
            .map(|f| f.1.as_str())
    }

    /// Names and values in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Whether `Connection` names a word.
    fn connection(&self, word: &str) -> bool {
        self.all("connection")
            .flat_map(|v| v.split(','))
            .any(|w| w.trim().eq_ignore_ascii_case(word))
    }
}

/// How a body's end is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(u64),
    Chunked,
    /// By the end of the connection.
    Close,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    pub method: String,
    /// Path and query.
    pub target: String,
    pub fields: Fields,
    pub framing: Framing,
    pub keep_alive: bool,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub fields: Fields,
    pub framing: Framing,
    pub keep_alive: bool,
}

fn framing(fields: &Fields) -> Result<Option<Framing>, HttpError> {
    let lengths: Vec<&str> = fields.all("content-length").collect();
    let codings: Vec<&str> = fields.all("transfer-encoding").collect();
    if !lengths.is_empty() && !codings.is_empty() {
        return Err(HttpError::LengthAndCoding);
    }
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(None),
        ([], [one]) if one.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
        ([], _) => Err(HttpError::Coding),
        ([one], _) => {
            let digits = !one.is_empty() && one.bytes().all(|b| b.is_ascii_digit());
            // A length past what a number holds is too long, not unreadable.
            let length = digits
                .then(|| one.parse().unwrap_or(u64::MAX))
                .ok_or(HttpError::Length)?;
            Ok(Some(Framing::Length(length)))
        }
        _ => Err(HttpError::Length),
    }
}

/// Empty lines before a request line are passed over, as servers should.
fn leading_newlines(bytes: &[u8]) -> usize {
    bytes
        .iter()
        .take_while(|b| matches!(b, b'\r' | b'\n'))
        .count()
}

/// The bytes of a head that has been parsed, `skipped` before it, of `come` in all; `None` while it is not whole.
fn head_length(
    parsed: httparse::Result<usize>,
    skipped: usize,
    come: usize,
) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(n)) if n + skipped <= MAX_HEAD => Ok(Some(n + skipped)),
        Ok(httparse::Status::Partial) if come <= MAX_HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HttpError::HeadTooLong),
        Err(_) => Err(HttpError::Head),
    }
}

/// Reads a request's head; `None` while it is not whole. Also gives the bytes that it took.
///
/// # Errors
/// A head that cannot be read, is too long, or tells its body's length in more than one way.
pub fn request_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let skipped = leading_newlines(bytes);
    let mut raw = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(&mut raw);
    let parsed = head.parse(&bytes[skipped..]);
    let Some(taken) = head_length(parsed, skipped, bytes.len())? else {
        return Ok(None);
    };
    let fields = Fields::read(head.headers);
    let framing = framing(&fields)?.unwrap_or(Framing::Length(0));
    if matches!(framing, Framing::Length(n) if n > MAX_BODY as u64) {
        return Err(HttpError::BodyTooLong);
    }
    let modern = head.version == Some(1);
    let keep_alive = if modern {
        !fields.connection("close")
    } else {
        fields.connection("keep-alive")
    };
    let (method, target) = (
        head.method.unwrap_or_default(),
        head.path.unwrap_or_default(),
    );
    let head = RequestHead {
        method: method.to_string(),
        target: target.to_string(),
        fields,
        framing,
        keep_alive,
    };
    Ok(Some((head, taken)))
}

/// Reads an answer's head; `None` while it is not whole. Also gives the bytes that it took.
///
/// # Errors
/// As [`request_head`].
pub fn response_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut raw = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(&mut raw);
    let Some(taken) = head_length(head.parse(bytes), 0, bytes.len())? else {
        return Ok(None);
    };
    let status = head.code.unwrap_or_default();
    let fields = Fields::read(head.headers);
    let empty = (100..200).contains(&status) || status == 204 || status == 304;
    let framing = match framing(&fields)? {
        _ if empty => Framing::Length(0),
        told => told.unwrap_or(Framing::Close),
    };
    let modern = head.version == Some(1);
    let keep_alive = modern && !fields.connection("close") && framing != Framing::Close;
    Ok(Some((
        ResponseHead {
            status,
            fields,
            framing,
            keep_alive,
        },
        taken,
    )))
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Body bytes left of a length.
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailers(usize),
    Close,
    Done,
}

/// Takes a body's bytes as they come and gives what they hold.
#[derive(Clone, Debug)]
pub struct Body {
    step: Step,
    max_chunk: u64,
}

impl Body {
    pub fn new(framing: Framing) -> Body {
        Body::with_chunks_up_to(framing, MAX_CHUNK)
    }

    /// One whose chunks may be larger or have to be smaller, bytes.
    pub fn with_chunks_up_to(framing: Framing, max_chunk: u64) -> Body {
        let step = match framing {
            Framing::Length(0) => Step::Done,
            Framing::Length(n) => Step::Length(n),
            Framing::Chunked => Step::ChunkSize,
            Framing::Close => Step::Close,
        };
        Body { step, max_chunk }
    }

    /// The body's last byte has come.
    pub fn done(&self) -> bool {
        self.step == Step::Done
    }

    /// Takes what it can from the front of `bytes`, appends the content to `out` and gives the number taken.
    /// What is left belongs to a line that is not whole yet or, once [`Body::done`], to the next message.
    ///
    /// # Errors
    /// A chunk that cannot be read, does not fit or is larger than its bound.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        let mut at = 0;
        while at < bytes.len() {
            let taken = self.step(&bytes[at..], out)?;
            if taken == 0 {
                break;
            }
            at += taken;
        }
        Ok(at)
    }

    fn step(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, HttpError> {
        match self.step {
            Step::Done => Ok(0),
            Step::Close => {
                out.extend_from_slice(bytes);
                Ok(bytes.len())
            }
            Step::Length(left) => {
                let n = left.min(bytes.len() as u64);
                out.extend_from_slice(&bytes[..n as usize]);
                self.step = if n == left {
                    Step::Done
                } else {
                    Step::Length(left - n)
                };
                Ok(n as usize)
            }
            Step::ChunkData(left) => {
                let n = left.min(bytes.len() as u64);
                out.extend_from_slice(&bytes[..n as usize]);
                self.step = if n == left {
                    Step::ChunkEnd
                } else {
                    Step::ChunkData(left - n)
                };
                Ok(n as usize)
            }
            Step::ChunkSize => self.chunk_size(bytes),
            Step::ChunkEnd => match bytes {
                [b'\r', b'\n', ..] => {
                    self.step = Step::ChunkSize;
                    Ok(2)
                }
                [b'\r'] => Ok(0),
                _ => Err(HttpError::Chunk),
            },
            Step::Trailers(read) => self.trailer(bytes, read),
        }
    }

    fn chunk_size(&mut self, bytes: &[u8]) -> Result<usize, HttpError> {
        let Some((line, taken)) = line(bytes, MAX_CHUNK_LINE)? else {
            return Ok(0);
        };
        let digits = line
            .split(|b| *b == b';')
            .next()
            .unwrap_or_default()
            .trim_ascii_end();
        let hex =
            !digits.is_empty() && digits.len() <= 16 && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits)
            .ok()
            .filter(|_| hex)
            .ok_or(HttpError::Chunk)?;
        let size = u64::from_str_radix(text, 16).map_err(|_| HttpError::Chunk)?;
        if size > self.max_chunk {
            return Err(HttpError::Chunk);
        }
        self.step = if size == 0 {
            Step::Trailers(0)
        } else {
            Step::ChunkData(size)
        };
        Ok(taken)
    }

    fn trailer(&mut self, bytes: &[u8], read: usize) -> Result<usize, HttpError> {
        let Some((line, taken)) = line(bytes, MAX_TRAILERS)? else {
            return Ok(0);
        };
        if read + taken > MAX_TRAILERS {
            return Err(HttpError::Chunk);
        }
        self.step = if line.is_empty() {
            Step::Done
        } else {
            Step::Trailers(read + taken)
        };
        Ok(taken)
    }
}

/// The first line without its end, and the bytes it takes; a bare line feed ends none.
fn line(bytes: &[u8], limit: usize) -> Result<Option<(&[u8], usize)>, HttpError> {
    match bytes.iter().position(|b| *b == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' && end < limit => {
            Ok(Some((&bytes[..end - 1], end + 1)))
        }
        Some(_) => Err(HttpError::Chunk),
        None if bytes.len() >= limit => Err(HttpError::Chunk),
        None => Ok(None),
    }
}

/// The words for a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

/// A whole answer with a short text; `more` holds further header lines, each with its end.
pub fn plain_response(status: u16, more: &str, keep_alive: bool, text: &str) -> Vec<u8> {
    let close = if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    };
    let words = reason(status);
    let length = text.len();
    format!(
        "HTTP/1.1 {status} {words}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n{more}{close}\r\n{text}"
    )
    .into_bytes()
}

/// The head of a stream of events to a client.
pub fn stream_head(keep_alive: bool) -> Vec<u8> {
    let close = if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    };
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
         Transfer-Encoding: chunked\r\n{close}\r\n"
    )
    .into_bytes()
}

/// Appends one chunk; an empty one would end the stream, so that nothing is appended for it.
pub fn chunk(content: &[u8], out: &mut Vec<u8>) {
    if content.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", content.len()).as_bytes());
    out.extend_from_slice(content);
    out.extend_from_slice(b"\r\n");
}

/// What ends a stream in order.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
