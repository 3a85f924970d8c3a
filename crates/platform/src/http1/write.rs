//! Formats HTTP messages to clients.

/// Reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
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

/// Formats a complete response with a short text body. `extra_headers` holds additional header lines, each with its
/// CRLF.
pub fn plain_response(status: u16, extra_headers: &str, keep_alive: bool, text: &str) -> Vec<u8> {
    let close = if keep_alive {
        ""
    } else {
        "Connection: close\r\n"
    };
    let phrase = reason_phrase(status);
    let length = text.len();
    format!(
        "HTTP/1.1 {status} {phrase}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n{extra_headers}{close}\r\n{text}"
    )
    .into_bytes()
}

/// Formats the head of an event-stream response.
pub fn event_stream_head(keep_alive: bool) -> Vec<u8> {
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

/// Appends one chunk to `out`. Appends nothing if `content` is empty, as an empty chunk would end the stream.
pub fn chunk(content: &[u8], out: &mut Vec<u8>) {
    if content.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", content.len()).as_bytes());
    out.extend_from_slice(content);
    out.extend_from_slice(b"\r\n");
}

/// The chunk that ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
