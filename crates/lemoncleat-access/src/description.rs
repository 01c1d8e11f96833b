//! The session description (SDP) in the body of a set-up and of its answer.

/// Returns whether these bytes can be a complete session description: lines that end in CRLF, first a name of
/// hex digits, then lines in the form of SDP (RFC 8866 section 5): a letter, an equals sign and some text.
/// Rejects a description that was truncated or that runs into the data behind it.
pub fn is_complete(body: &[u8]) -> bool {
    let Some(text) = std::str::from_utf8(body).ok().and_then(|text| text.strip_suffix("\r\n")) else {
        return false;
    };
    text.split("\r\n").enumerate().all(|(at, line)| {
        let printable = !line.is_empty() && line.bytes().all(|byte| matches!(byte, b' '..=b'~'));
        let name = at == 0 && line.bytes().all(|byte| byte.is_ascii_hexdigit());
        printable && (name || is_sdp_line(line))
    })
}

fn is_sdp_line(line: &str) -> bool {
    let mut bytes = line.bytes();
    bytes.next().is_some_and(|letter| letter.is_ascii_lowercase())
        && bytes.next() == Some(b'=')
        && bytes.len() > 0
}
