//! HTTP/1 codec tests, with the input split at every byte.
use bitternlatch_platform::event_stream::EventStream;
use bitternlatch_platform::http1::{
    chunk, request_head, response_head, Body, Framing, HttpError, LAST_CHUNK, MAX_HEAD_BYTES,
};
use bitternlatch_platform::responses::{BodyProgress, ResponseReader};

/// Decodes a body that arrives in two pieces, split at `cut`. Bytes that are not consumed are kept, as on a connection.
/// Returns the content, whether the body is complete, and the number of remaining bytes.
fn decode_in_two_pieces(
    framing: Framing,
    bytes: &[u8],
    cut: usize,
) -> Result<(Vec<u8>, bool, usize), HttpError> {
    let (mut body, mut out, mut pending) = (Body::new(framing), Vec::new(), Vec::new());
    for piece in [&bytes[..cut], &bytes[cut..]] {
        pending.extend_from_slice(piece);
        let consumed = body.decode(&pending, &mut out)?;
        pending.drain(..consumed);
    }
    Ok((out, body.is_complete(), pending.len()))
}

#[test]
fn bodies_do_not_depend_on_cuts() {
    let table: [(Framing, &[u8], &[u8], usize); 6] = [
        (Framing::Length(5), b"hello", b"hello", 0),
        (Framing::Length(5), b"helloGET ", b"hello", 4),
        (Framing::Chunked, b"5\r\nhello\r\n0\r\n\r\n", b"hello", 0),
        (
            Framing::Chunked,
            b"2;x=y\r\nhe\r\n0003\r\nllo\r\n0\r\nA: b\r\n\r\nHTTP",
            b"hello",
            4,
        ),
        (
            Framing::Chunked,
            b"A\r\n0123456789\r\n0\r\n\r\n",
            b"0123456789",
            0,
        ),
        (Framing::Length(0), b"next", b"", 4),
    ];
    for (framing, bytes, content, remaining) in table {
        for cut in 0..=bytes.len() {
            let decoded = decode_in_two_pieces(framing, bytes, cut).expect("the body is valid");
            assert_eq!(
                decoded,
                (content.to_vec(), true, remaining),
                "{framing:?} split at {cut}"
            );
        }
    }
}

#[test]
fn invalid_chunks_are_rejected_at_any_cut() {
    let table: [&[u8]; 9] = [
        b"zz\r\nhello\r\n0\r\n\r\n",
        b"-5\r\nhello\r\n",
        b"+5\r\nhello\r\n",
        b"5\nhello\r\n",
        b"5\r\nhelloworld\r\n",
        b"\r\nhello\r\n",
        b"c0000000\r\nhello",
        b"11111111111111111\r\nhello",
        b"5\r\nhello\n0\r\n\r\n",
    ];
    for bytes in table {
        for cut in 0..=bytes.len() {
            let decoded = decode_in_two_pieces(Framing::Chunked, bytes, cut);
            assert_eq!(
                decoded,
                Err(HttpError::InvalidChunk),
                "{:?} split at {cut}",
                String::from_utf8_lossy(bytes)
            );
        }
    }
}

#[test]
fn endless_chunk_size_line_is_rejected() {
    let size_line = vec![b'0'; 5000];
    assert_eq!(
        decode_in_two_pieces(Framing::Chunked, &size_line, 0),
        Err(HttpError::InvalidChunk)
    );
}

#[test]
fn ambiguous_request_heads_are_rejected() {
    let head = |fields: &str| format!("POST /x HTTP/1.1\r\nHost: a\r\n{fields}\r\n");
    let table = [
        (
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            HttpError::LengthWithTransferCoding,
        ),
        (
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
            HttpError::LengthWithTransferCoding,
        ),
        (
            "Content-Length: 5\r\nContent-Length: 5\r\n",
            HttpError::InvalidLength,
        ),
        ("Content-Length: 5, 5\r\n", HttpError::InvalidLength),
        ("Content-Length: -5\r\n", HttpError::InvalidLength),
        ("Content-Length: +5\r\n", HttpError::InvalidLength),
        ("Content-Length: 0x5\r\n", HttpError::InvalidLength),
        ("Content-Length:\r\n", HttpError::InvalidLength),
        (
            "Content-Length: 99999999999999999999999\r\n",
            HttpError::BodyTooLong,
        ),
        ("Content-Length: 262145\r\n", HttpError::BodyTooLong),
        (
            "Transfer-Encoding: gzip, chunked\r\n",
            HttpError::UnsupportedTransferCoding,
        ),
        (
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            HttpError::UnsupportedTransferCoding,
        ),
        ("Content Length: 5\r\n", HttpError::MalformedHead),
    ];
    for (fields, expected) in table {
        assert_eq!(
            request_head(head(fields).as_bytes()),
            Err(expected),
            "{fields:?}"
        );
        assert!((400..600).contains(&expected.status()));
    }
}

#[test]
fn head_ends_at_its_last_byte() {
    let text = "\r\nPOST /v1/x?y=1 HTTP/1.1\r\nReq-Id: 9b\r\nContent-Length: 3\r\n\r\n";
    for cut in 0..text.len() {
        assert_eq!(
            request_head(&text.as_bytes()[..cut]),
            Ok(None),
            "split at {cut}"
        );
    }
    let (head, consumed) = request_head(format!("{text}abcGET").as_bytes())
        .unwrap()
        .expect("the head is complete");
    assert_eq!(
        (consumed, head.target.as_str(), head.framing),
        (text.len(), "/v1/x?y=1", Framing::Length(3))
    );
    assert_eq!(
        (head.fields.get("req-id"), head.keep_alive),
        (Some("9b"), true)
    );
}

#[test]
fn endless_heads_and_noise_are_rejected() {
    let endless = format!("GET / HTTP/1.1\r\nX: {}", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(
        request_head(endless.as_bytes()),
        Err(HttpError::HeadTooLong)
    );
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "A: b\r\n".repeat(100));
    assert_eq!(request_head(many.as_bytes()), Err(HttpError::HeadTooLong));
    assert_eq!(
        request_head(b"\x16\x03\x01\x02\x00\x01"),
        Err(HttpError::MalformedHead)
    );
    assert_eq!(
        response_head(b"\x00\x01noise\r\n\r\n"),
        Err(HttpError::MalformedHead)
    );
    let endless = format!("HTTP/1.1 200 OK\r\nX: {}", "a".repeat(MAX_HEAD_BYTES));
    assert_eq!(
        response_head(endless.as_bytes()),
        Err(HttpError::HeadTooLong)
    );
}

#[test]
fn chunks_written_are_read_back() {
    let mut bytes = Vec::new();
    for piece in ["", "a", "0123456789abcdef!"] {
        chunk(piece.as_bytes(), &mut bytes);
    }
    bytes.extend_from_slice(LAST_CHUNK);
    let decoded =
        decode_in_two_pieces(Framing::Chunked, &bytes, bytes.len() / 2).expect("the body is valid");
    assert_eq!(decoded, (b"a0123456789abcdef!".to_vec(), true, 0));
}

#[test]
fn events_are_forwarded_unchanged_without_comments() {
    let stream =
        "data: {\"a\":1}\n\ndata: {\"usage\":{\"prompt_tokens_details\":{\"cached_tokens\":4096}}}\n\n\
                  data: [DONE]\n\n: Srv-Load: util=0.5,queue=1,x0=0.2\n\n";
    let events = &stream[..stream.find(": Srv").expect("the stream has a comment")];
    for cut in 0..=stream.len() {
        let (mut event_stream, mut out) = (EventStream::default(), Vec::new());
        assert!(event_stream.push(&stream.as_bytes()[..cut], &mut out));
        assert!(
            out.is_empty() || out.ends_with(b"\n\n"),
            "part of an event was forwarded"
        );
        assert!(event_stream.push(&stream.as_bytes()[cut..], &mut out));
        assert_eq!(
            String::from_utf8_lossy(&out).trim_start_matches('\n'),
            events,
            "split at {cut}"
        );
        assert_eq!(event_stream.cached_tokens, Some(4096.0));
        assert_eq!(
            event_stream.load_report.as_deref(),
            Some("util=0.5,queue=1,x0=0.2")
        );
    }
}

#[test]
fn interim_responses_are_skipped() {
    let responses = "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n\
                  HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n0\r\n\r\n";
    let second = "HTTP/1.1 200 OK\r\n\r\n";
    for (extra, reusable) in [("", true), (second, false)] {
        let mut reader = ResponseReader::for_attempt();
        match reader.receive(format!("{responses}{extra}").as_bytes()) {
            Ok(BodyProgress::End { events, complete }) => {
                assert_eq!(
                    (events.as_slice(), complete.status),
                    (&b"data: a\n\n"[..], 200)
                );
                assert_eq!(complete.reusable, reusable);
            }
            other => panic!("{other:?}"),
        }
    }
    let endless = "HTTP/1.1 100 Continue\r\n\r\n".repeat(50);
    assert_eq!(
        ResponseReader::for_attempt().receive(endless.as_bytes()),
        Err(HttpError::MalformedHead)
    );
}
