//! The subset of HTTP/1.1 that the platform uses: heads parsed with `httparse`, bodies with a length or chunks. No I/O.
//!
//! Ambiguous messages are rejected to prevent request smuggling, where two parties disagree on where a body ends and a
//! second request starts.

mod body;
mod write;

pub use body::Body;
pub use write::{chunk, event_stream_head, plain_response, LAST_CHUNK};

use thiserror::Error;

/// Largest message head, bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most header fields in a head.
pub const MAX_HEADER_FIELDS: usize = 64;
/// Largest body of a request or a response that is not a stream, bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;
/// Largest chunk, bytes. An event is at most as long as a body.
pub const MAX_CHUNK_BYTES: u64 = MAX_BODY_BYTES as u64;
/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The head cannot be parsed.
    #[error("the head cannot be read")]
    MalformedHead,
    /// The head is larger than [`MAX_HEAD_BYTES`] or has more than [`MAX_HEADER_FIELDS`] fields.
    #[error("the head is too long")]
    HeadTooLong,
    /// `Content-Length` is not a single whole number.
    #[error("the length is not a single whole number")]
    InvalidLength,
    /// The head has both `Content-Length` and `Transfer-Encoding`.
    #[error("a length and a transfer coding together")]
    LengthWithTransferCoding,
    /// `Transfer-Encoding` is not `chunked`.
    #[error("the transfer coding is not known")]
    UnsupportedTransferCoding,
    /// The body is larger than [`MAX_BODY_BYTES`].
    #[error("the body is longer than 256 KiB")]
    BodyTooLong,
    /// A chunk is malformed or too large.
    #[error("a chunk cannot be read")]
    InvalidChunk,
}

impl HttpError {
    /// HTTP status of the response to a client that sent the message.
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

/// Header fields in order of appearance, with names in lower case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderFields(Vec<(String, String)>);

impl HeaderFields {
    /// Copies parsed fields. Invalid UTF-8 in a value is replaced rather than rejected, so that a corrupt field that
    /// nobody reads, such as a load report, does not make a response fail.
    fn read(raw: &[httparse::Header]) -> HeaderFields {
        let field = |h: &httparse::Header| {
            (
                h.name.to_ascii_lowercase(),
                String::from_utf8_lossy(h.value).trim().to_string(),
            )
        };
        HeaderFields(raw.iter().map(field).collect())
    }

    /// Returns the first field with this name, given in lower case.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.all(name).next()
    }

    /// Iterates over all fields with this name, given in lower case.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.0
            .iter()
            .filter(move |f| f.0 == name)
            .map(|f| f.1.as_str())
    }

    /// Iterates over names and values in order of appearance.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Whether a `Connection` header lists this option.
    fn has_connection_option(&self, word: &str) -> bool {
        self.all("connection")
            .flat_map(|v| v.split(','))
            .any(|w| w.trim().eq_ignore_ascii_case(word))
    }
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By the length of the body, bytes.
    Length(u64),
    /// By the last chunk of a chunked body.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// Parsed head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method, such as `POST`.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Header fields of the request.
    pub fields: HeaderFields,
    /// How the end of the request body is determined.
    pub framing: Framing,
    /// Whether the connection may serve another request after this one.
    pub keep_alive: bool,
}

/// Parsed head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code of the response.
    pub status: u16,
    /// Header fields of the response.
    pub fields: HeaderFields,
    /// How the end of the response body is determined.
    pub framing: Framing,
    /// Whether the connection may serve another request after this response.
    pub keep_alive: bool,
}

fn parse_framing(fields: &HeaderFields) -> Result<Option<Framing>, HttpError> {
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
            // A length too large for `u64` counts as a body that is too long, not as a malformed length.
            let length = digits
                .then(|| one.parse().unwrap_or(u64::MAX))
                .ok_or(HttpError::InvalidLength)?;
            Ok(Some(Framing::Length(length)))
        }
        _ => Err(HttpError::InvalidLength),
    }
}

/// Number of bytes in the empty lines before a request line. RFC 9112 advises servers to ignore them.
fn leading_newlines(bytes: &[u8]) -> usize {
    bytes
        .iter()
        .take_while(|b| matches!(b, b'\r' | b'\n'))
        .count()
}

/// Returns the length of a head from the parser's result, including `skipped` bytes before it, or `None` if it is
/// incomplete. `received` is the number of bytes available.
fn head_length(
    parsed: httparse::Result<usize>,
    skipped: usize,
    received: usize,
) -> Result<Option<usize>, HttpError> {
    match parsed {
        Ok(httparse::Status::Complete(n)) if n + skipped <= MAX_HEAD_BYTES => Ok(Some(n + skipped)),
        Ok(httparse::Status::Partial) if received <= MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(HttpError::HeadTooLong),
        Err(_) => Err(HttpError::MalformedHead),
    }
}

/// Parses the head of a request and returns it with its length in bytes, or `None` if it is incomplete.
///
/// # Errors
/// A head that is malformed or too long, or that states the length of its body ambiguously.
pub fn request_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let skipped = leading_newlines(bytes);
    let mut raw = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Request::new(&mut raw);
    let parsed = head.parse(&bytes[skipped..]);
    let Some(consumed) = head_length(parsed, skipped, bytes.len())? else {
        return Ok(None);
    };
    let fields = HeaderFields::read(head.headers);
    let framing = parse_framing(&fields)?.unwrap_or(Framing::Length(0));
    if matches!(framing, Framing::Length(n) if n > MAX_BODY_BYTES as u64) {
        return Err(HttpError::BodyTooLong);
    }
    let is_http_1_1 = head.version == Some(1);
    let keep_alive = if is_http_1_1 {
        !fields.has_connection_option("close")
    } else {
        fields.has_connection_option("keep-alive")
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
    Ok(Some((head, consumed)))
}

/// Parses the head of a response and returns it with its length in bytes, or `None` if it is incomplete.
///
/// # Errors
/// As [`request_head`].
pub fn response_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut raw = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut head = httparse::Response::new(&mut raw);
    let Some(consumed) = head_length(head.parse(bytes), 0, bytes.len())? else {
        return Ok(None);
    };
    let status = head.code.unwrap_or_default();
    let fields = HeaderFields::read(head.headers);
    let empty = (100..200).contains(&status) || status == 204 || status == 304;
    let framing = match parse_framing(&fields)? {
        _ if empty => Framing::Length(0),
        found => found.unwrap_or(Framing::Close),
    };
    let is_http_1_1 = head.version == Some(1);
    let keep_alive =
        is_http_1_1 && !fields.has_connection_option("close") && framing != Framing::Close;
    Ok(Some((
        ResponseHead {
            status,
            fields,
            framing,
            keep_alive,
        },
        consumed,
    )))
}
