//! Converts requests and responses to and from HTTP messages.

use std::time::UNIX_EPOCH;

use lemoncleat_http::Message;

use crate::planner::Seconds;
use crate::session::{HttpRequest, HttpResponse};

/// A parsed `http` or `https` URL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Whether the scheme is `https`.
    pub secure: bool,
    /// The host as written in the URL.
    pub host: String,
    /// The port.
    pub port: u16,
    /// Path and query.
    pub target: String,
}

impl Place {
    /// Parses an `http` or `https` URL without user or fragment.
    ///
    /// # Errors
    ///
    /// Describes why the URL is invalid.
    pub fn read(url: &str) -> Result<Place, String> {
        let wrong = |why: &str| format!("{url:?}: {why}");
        let (secure, rest) = match (url.strip_prefix("https://"), url.strip_prefix("http://")) {
            (Some(rest), _) => (true, rest),
            (_, Some(rest)) => (false, rest),
            _ => return Err(wrong("expected a URL of https")),
        };
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (authority, target) = rest.split_at(end);
        let colon = authority.rfind(':').filter(|at| !authority[*at..].contains(']'));
        let (host, port) = match colon {
            Some(at) => (&authority[..at], Some(&authority[at + 1..])),
            None => (authority, None),
        };
        let port = match port {
            Some(port) => port.parse().map_err(|_| wrong("the port is not a number up to 65535"))?,
            None if secure => 443,
            None => 80,
        };
        let plain = |c: char| c.is_ascii_alphanumeric() || ".-_[]:".contains(c);
        if host.is_empty() || !host.chars().all(plain) {
            return Err(wrong("expected a host after the scheme"));
        }
        if target.chars().any(|c| !c.is_ascii_graphic() || c == '#') {
            return Err(wrong("a character that is not allowed in a path"));
        }
        let target = match target.starts_with('/') {
            true => target.to_owned(),
            false => format!("/{target}"),
        };
        Ok(Place { secure, host: host.to_owned(), port, target })
    }

    /// Returns host and port as in a Host field.
    pub fn authority(&self) -> String {
        match (self.secure, self.port) {
            (true, 443) | (false, 80) => self.host.clone(),
            _ => format!("{}:{}", self.host, self.port),
        }
    }
}

impl HttpRequest {
    /// Builds the HTTP message for the parsed URL.
    pub fn message(&self, place: &Place) -> Message {
        let message = Message::request(self.method, &place.authority(), &place.target)
            .with("User-Agent", concat!("lemoncleat/", env!("CARGO_PKG_VERSION")))
            .with("Accept-Language", "en");
        match self.method {
            "POST" => message.with_body("application/jose+json", self.body.clone()),
            _ => message,
        }
    }
}

impl HttpResponse {
    /// Reads the fields used from a message. Retry-After may be a number of seconds or a date (RFC 9110
    /// section 10.2.3).
    pub fn read(message: &Message, now: Seconds) -> HttpResponse {
        let owned = |name: &str| message.headers.get(name).map(str::to_owned);
        let retry_after = message.headers.get("Retry-After").and_then(|text| {
            let date = || {
                let at = httpdate::parse_http_date(text).ok()?.duration_since(UNIX_EPOCH).ok()?;
                Some((i64::try_from(at.as_secs()).ok()? - now).max(0))
            };
            text.trim().parse::<u32>().ok().map(i64::from).or_else(date)
        });
        let alternate = |link: &str| {
            let (url, parameters) = link.trim().strip_prefix('<')?.split_once('>')?;
            let is = |parameter: &str| {
                let parameter = parameter.trim();
                parameter == "rel=\"alternate\"" || parameter == "rel=alternate"
            };
            parameters.split(';').any(is).then(|| url.to_owned())
        };
        HttpResponse {
            status: message.status(),
            location: owned("Location"),
            nonce: owned("Replay-Nonce"),
            retry_after,
            alternates: message
                .headers
                .all("Link")
                .flat_map(|v| v.split(','))
                .filter_map(alternate)
                .collect(),
            body: message.body.clone(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn url_is_parsed_or_rejected() {
        let place = Place::read("https://ca.example/dir?x=1").expect("a URL");
        assert_eq!((place.secure, place.port, &*place.target), (true, 443, "/dir?x=1"));
        let place = Place::read("http://127.0.0.1:4000").expect("a URL");
        assert_eq!((place.secure, place.port, &*place.target), (false, 4000, "/"));
        assert_eq!(place.authority(), "127.0.0.1:4000");
        let place = Place::read("https://[::1]:8/x").expect("a URL");
        assert_eq!((&*place.host, place.port), ("[::1]", 8));
        for wrong in
            ["ftp://x/", "https://", "https://a b/", "https://a:99999/", "https://u@a/", "https://a/ b"]
        {
            assert!(Place::read(wrong).is_err(), "{wrong}");
        }
    }

    #[test]
    fn retry_after_accepts_seconds_or_date_and_alternates_come_from_link_fields() {
        let read = |text: &str| {
            let message = Message::response(429).with("Retry-After", text);
            HttpResponse::read(&message, 784_111_777 - 30).retry_after
        };
        assert_eq!(read("17"), Some(17));
        assert_eq!(read("Sun, 06 Nov 1994 08:49:37 GMT"), Some(30));
        assert_eq!(read("soon"), None);
        let message = Message::response(200)
            .with("Link", "<https://a/d>;rel=\"index\", <https://a/1>;rel=\"alternate\"")
            .with("Link", "<https://a/2>; rel=alternate");
        assert_eq!(HttpResponse::read(&message, 0).alternates, ["https://a/1", "https://a/2"]);
    }
}
