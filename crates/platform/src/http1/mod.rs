//! HTTP/1.1 as far as the platform speaks it: heads over `httparse`, bodies by length or in chunks. No I/O.
//!
//! A message that could be read in two ways is not read at all: what one side takes for the end of a body another
//! takes for the start of a second request.

mod body;
mod write;

pub use body::Body;
pub use write::{chunk, plain_response, stream_head, LAST_CHUNK};

use thiserror::Error;

/// Largest head of a message, bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most header fields in a head.
pub const MAX_HEADER_FIELDS: usize = 64;
/// Largest body of a request or of a plain answer, bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Largest chunk of a stream, bytes; no event is longer than a body.
pub const MAX_CHUNK_BYTES: u64 = MAX_BODY_BYTES as u64;
/// Why a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// A head that cannot be parsed.
    #[error("the head cannot be read")]
    MalformedHead,
    /// A head larger than [`MAX_HEAD_BYTES`] or with more than [`MAX_HEADER_FIELDS`] fields.
    #[error("the head is too long")]
    HeadTooLong,
    /// A `Content-Length` that is no single whole number.
    #[error("the length is not a single whole number")]
    InvalidLength,
    /// `Content-Length` beside `Transfer-Encoding`.
    #[error("a length and a transfer coding together")]
    LengthWithTransferCoding,
    /// A `Transfer-Encoding` other than `chunked`.
    #[error("the transfer coding is not known")]
    UnsupportedTransferCoding,
    /// A body larger than [`MAX_BODY_BYTES`].
    #[error("the body is longer than 256 KiB")]
    BodyTooLong,
    /// A chunk that cannot be read or is too large.
    #[error("a chunk cannot be read")]
    InvalidChunk,
}

impl HttpError {
    /// The status that a client is told.
    pub fn status(self) -> u16 {
        match self {
            HttpError::HeadTooLong => 431,
            HttpError::BodyTooLong => 413,
            HttpError::UnsupportedTransferCoding => 501,
            HttpError::MalformedHead
            | HttpError::InvalidLength
            | HttpError::LengthWithTransferCoding
            | HttpError::InvalidChunk => 400,
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
    /// By its length, bytes.
    Length(u64),
    /// In chunks.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, such as `POST`.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields.
    pub fields: Fields,
    /// How its body ends.
    pub framing: Framing,
    /// Whether the connection may serve a further request.
    pub keep_alive: bool,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub fields: Fields,
    /// How its body ends.
    pub framing: Framing,
    /// Whether the connection may serve a further request.
    pub keep_alive: bool,
}

fn framing(fields: &Fields) -> Result<Option<Framing>, HttpError> {
    let lengths: Vec<&str> = fields.all("content-length").collect();
    let codings: Vec<&str> = fields.all("transfer-encoding").collect();
    if !lengths.is_empty() && !codings.is_empty() {
        return Err(HttpError::LengthWithTransferCoding);
    }
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(None),
        ([], [one]) if one.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
        ([], _) => Err(HttpError::UnsupportedTransferCoding),
        ([one], _) => {
            let digits = !one.is_empty() && one.bytes().all(|b| b.is_ascii_digit());
            // A length past what a number holds is too long, not unreadable.
            let length = digits
                .then(|| one.parse().unwrap_or(u64::MAX))
                .ok_or(HttpError::InvalidLength)?;
            Ok(Some(Framing::Length(length)))
        }
        _ => Err(HttpError::InvalidLength),
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
        Ok(httparse::Status::Complete(n)) if n + skipped <= MAX_HEAD_BYTES => Ok(Some(n + skipped)),
        Ok(httparse::Status::Partial) if come <= MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HttpError::HeadTooLong),
        Err(_) => Err(HttpError::MalformedHead),
    }
}

/// Reads a request's head; `None` while it is not whole. Also gives the bytes that it took.
///
/// # Errors
/// A head that cannot be read, is too long, or tells its body's length in more than one way.
pub fn request_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let skipped = leading_newlines(bytes);
    let mut raw = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut raw);
    let parsed = head.parse(&bytes[skipped..]);
    let Some(taken) = head_length(parsed, skipped, bytes.len())? else {
        return Ok(None);
    };
    let fields = Fields::read(head.headers);
    let framing = framing(&fields)?.unwrap_or(Framing::Length(0));
    if matches!(framing, Framing::Length(n) if n > MAX_BODY_BYTES as u64) {
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
    let mut raw = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut raw);
    let Some(taken) = head_length(head.parse(bytes), 0, bytes.len())? else {
        return Ok(None);
    };
    let status = head.code.unwrap_or_default();
    let fields = Fields::read(head.headers);
    let empty = (100..200).contains(&status) || status == 204 || status == 304;
    let framing = match framing(&fields)? {
        _ if empty => Framing::Length(0),
        found => found.unwrap_or(Framing::Close),
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
