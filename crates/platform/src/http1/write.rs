//! Messages to clients.

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

/// A complete response with a short text; `more` holds further header lines, each with its end.
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
