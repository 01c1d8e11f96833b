//! Parsing of messages whose bytes arrive split at any point, and rejection of invalid ones.

use lemoncleat_http::{HttpError, Limits, Message, Reader, Side, Start};
use proptest::prelude::*;

const CLIENT: Side = Side::Client { head: false };

fn read_all(side: Side, pieces: &[&[u8]]) -> Result<Vec<Message>, HttpError> {
    let mut reader = Reader::new(side, Limits::default());
    let mut all = Vec::new();
    for piece in pieces {
        reader.push(piece);
        while let Some(message) = reader.next_message()? {
            all.push(message);
        }
    }
    all.extend(reader.end()?);
    Ok(all)
}

#[test]
fn bodies_are_read_by_length_by_chunks_and_until_close() {
    let cases: [(&[u8], &[u8]); 6] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", b"abc"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n\r\nabc", b"abc"),
        (b"HTTP/1.1 200\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n1\r\nc\r\n0\r\n\r\n", b"abc"),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n", b"abc"),
        (b"HTTP/1.0 200 OK\r\n\r\nabc", b"abc"),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 Gone\r\n\r\n", b""),
    ];
    for (bytes, body) in cases {
        let whole = read_all(CLIENT, &[bytes]).expect("a message");
        assert_eq!(whole.len(), 1, "{}", String::from_utf8_lossy(bytes));
        assert_eq!(whole[0].body, body);
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        assert_eq!(read_all(CLIENT, &single).expect("the same"), whole, "byte by byte");
    }
}

#[test]
fn pipelined_requests_are_read_in_order() {
    let bytes =
        b"\r\nPOST /a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhiGET /c HTTP/1.1\r\nHost: x\r\n\r\n";
    let all = read_all(Side::Server, &[bytes]).expect("two requests");
    assert_eq!(
        all.iter().map(Message::path).collect::<Vec<_>>(),
        [Some(("POST", "/a")), Some(("GET", "/c"))]
    );
    assert_eq!((all[0].body.as_slice(), all[0].headers.get("HOST")), (b"hi".as_slice(), Some("x")));
    assert_eq!(all[0].start, Start::Request("POST".into(), "/a?b".into()));
}

#[test]
fn response_to_head_has_no_body_despite_content_length() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\nReplay-Nonce: n\r\n\r\n";
    let all = read_all(Side::Client { head: true }, &[bytes]).expect("a response");
    assert_eq!((all.len(), all[0].headers.get("replay-nonce")), (1, Some("n")));
}

#[test]
fn ambiguous_messages_are_rejected() {
    let response = |head: &str| format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n").into_bytes();
    let cases: Vec<(Side, Vec<u8>, HttpError)> = vec![
        (CLIENT, response("Content-Length: 3\r\nContent-Length: 4"), HttpError::Length),
        (CLIENT, response("Content-Length: +3"), HttpError::Length),
        (CLIENT, response("Content-Length: 99999999999999999999999"), HttpError::Length),
        (CLIENT, response("Content-Length: 3\r\nTransfer-Encoding: chunked"), HttpError::Length),
        (CLIENT, response("Transfer-Encoding: gzip, chunked"), HttpError::Length),
        (CLIENT, response("A : b"), HttpError::Field),
        (CLIENT, response("A: b\r\n folded"), HttpError::Field),
        (CLIENT, response("A: b\nB: c"), HttpError::Field),
        (CLIENT, response("A: b\rB: c"), HttpError::Field),
        (CLIENT, response("no colon"), HttpError::Field),
        (CLIENT, b"HTTP/2 200 OK\r\n\r\n".to_vec(), HttpError::StartLine),
        (CLIENT, b"HTTP/1.1 20x OK\r\n\r\n".to_vec(), HttpError::StartLine),
        (CLIENT, b"HTTP/1.1 2000 OK\r\n\r\n".to_vec(), HttpError::StartLine),
        (CLIENT, b"GET / HTTP/1.1\r\n\r\n".to_vec(), HttpError::StartLine),
        (Side::Server, b"GET  / HTTP/1.1\r\n\r\n".to_vec(), HttpError::StartLine),
        (Side::Server, b"GET /\x7f HTTP/1.1\r\n\r\n".to_vec(), HttpError::StartLine),
        (Side::Server, b"GET / HTTP/1.1 \r\n\r\n".to_vec(), HttpError::StartLine),
        (CLIENT, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n".to_vec(), HttpError::Chunk),
        (CLIENT, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc".to_vec(), HttpError::Chunk),
        (CLIENT, b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab".to_vec(), HttpError::Truncated),
        (CLIENT, b"HTTP/1.1 200 OK\r\n".to_vec(), HttpError::Truncated),
    ];
    for (side, bytes, error) in cases {
        let result = read_all(side, &[&bytes]);
        assert_eq!(result, Err(error), "{}", String::from_utf8_lossy(&bytes));
    }
}

#[test]
fn limits_apply_before_data_is_buffered() {
    let limits = Limits { head: 100, fields: 3, body: 10 };
    let read = |bytes: &[u8]| {
        let mut reader = Reader::new(CLIENT, limits);
        reader.push(bytes);
        reader.next_message()
    };
    assert_eq!(read(&[b'a'; 101]), Err(HttpError::HeadTooLong));
    assert_eq!(
        read(b"HTTP/1.1 200 OK\r\nA: 1\r\nB: 2\r\nC: 3\r\nD: 4\r\n\r\n"),
        Err(HttpError::TooManyFields)
    );
    assert_eq!(read(b"HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n"), Err(HttpError::BodyTooLong));
    assert_eq!(read(b"HTTP/1.1 200 OK\r\n\r\nmore than ten"), Err(HttpError::BodyTooLong));
    let chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n";
    assert_eq!(read(chunks), Err(HttpError::BodyTooLong));
}

#[test]
fn header_value_cannot_inject_a_field() {
    let bytes = Message::response(200).with("A", "b\r\nSet-Cookie: c").to_bytes();
    let all = read_all(CLIENT, &[&bytes]).expect("a response");
    assert_eq!((all[0].headers.get("Set-Cookie"), all[0].headers.get("A")), (None, Some("bSet-Cookie: c")));
}

proptest! {
    #[test]
    fn serialized_message_is_read_back_from_any_split(
        name in "[A-Za-z][A-Za-z0-9-]{0,20}",
        value in "[ -~]{0,40}",
        body in prop::collection::vec(any::<u8>(), 0..300),
        cuts in prop::collection::vec(0..600_usize, 0..6),
    ) {
        prop_assume!(!name.eq_ignore_ascii_case("content-length") && !name.eq_ignore_ascii_case("transfer-encoding"));
        let message = Message::request("POST", "host", "/p").with(&name, value.trim()).with_body("x/y", body);
        let bytes = message.to_bytes();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut.min(bytes.len())).collect();
        cuts.sort_unstable();
        let mut pieces = Vec::new();
        let mut from = 0;
        for cut in cuts.into_iter().chain([bytes.len()]) {
            pieces.push(&bytes[from..cut]);
            from = cut;
        }
        let all = read_all(Side::Server, &pieces).expect("a request");
        prop_assert_eq!(all.len(), 1);
        prop_assert_eq!(&all[0].body, &message.body);
        prop_assert_eq!(all[0].headers.get(&name), message.headers.get(&name));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400), server in any::<bool>()) {
        let _ = read_all(if server { Side::Server } else { CLIENT }, &[&bytes]);
    }

    #[test]
    fn malformed_messages_do_not_panic(text in "(HTTP/1.1 200 |GET / HTTP/1.1)?(\r\n|[ -~]|Transfer-Encoding: chunked\r\n|[0-9a-f]{1,8}\r\n){0,40}") {
        let _ = read_all(CLIENT, &[text.as_bytes()]);
    }
}
