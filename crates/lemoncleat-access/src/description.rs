//! The description that a set-up and its answer carry.

/// Whether these bytes can be a whole description: lines that end in CRLF, first a name of hex digits, then lines
/// as SDP has them (RFC 8866 section 5): a letter, an equals sign and some text. A description that was cut short
/// or ran into what follows it is none.
pub fn is_whole(body: &[u8]) -> bool {
    let Some(text) = std::str::from_utf8(body).ok().and_then(|text| text.strip_suffix("\r\n")) else {
        return false;
    };
    text.split("\r\n").enumerate().all(|(at, line)| {
        let clean = !line.is_empty() && line.bytes().all(|byte| matches!(byte, b' '..=b'~'));
        let name = at == 0 && line.bytes().all(|byte| byte.is_ascii_hexdigit());
        clean && (name || is_sdp_line(line))
    })
}

fn is_sdp_line(line: &str) -> bool {
    let mut bytes = line.bytes();
    bytes.next().is_some_and(|letter| letter.is_ascii_lowercase())
        && bytes.next() == Some(b'=')
        && bytes.len() > 0
}
