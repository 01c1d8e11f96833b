//! Parsed messages.

/// Memory that an allocation takes beyond its size.
const ALLOCATION_OVERHEAD_BYTES: usize = 16;

/// A request method. The methods that this project uses have variants of their own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Method {
    /// Sets up a call.
    Invite,
    /// Confirms the final response to an INVITE.
    Ack,
    /// Cancels a set-up in progress.
    Cancel,
    /// Releases a call.
    Bye,
    /// Checks that the peer responds.
    Options,
    /// Notifies the peer of an event; this project does not require a response.
    Notify,
    /// Any other method.
    Other(String),
}

impl Method {
    /// Returns the method named by a token; method names are case-sensitive (7.1).
    pub fn new(token: &str) -> Self {
        match token {
            "INVITE" => Method::Invite,
            "ACK" => Method::Ack,
            "CANCEL" => Method::Cancel,
            "BYE" => Method::Bye,
            "OPTIONS" => Method::Options,
            "NOTIFY" => Method::Notify,
            other => Method::Other(other.to_owned()),
        }
    }

    /// Returns the name of the method as sent on the wire.
    pub fn as_str(&self) -> &str {
        match self {
            Method::Invite => "INVITE",
            Method::Ack => "ACK",
            Method::Cancel => "CANCEL",
            Method::Bye => "BYE",
            Method::Options => "OPTIONS",
            Method::Notify => "NOTIFY",
            Method::Other(token) => token,
        }
    }
}

/// The start line of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// A request.
    Request {
        /// The request method.
        method: Method,
        /// The Request-URI.
        uri: String,
    },
    /// A response.
    Response {
        /// The status code, 100 to 699.
        code: u16,
    },
}

/// The value of a `CSeq` header (20.16).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CSeq {
    /// The sequence number within the call.
    pub number: u32,
    /// The method of the request.
    pub method: Method,
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub(crate) start: Start,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    /// Returns the start line.
    pub fn start(&self) -> &Start {
        &self.start
    }

    /// Returns the method if the message is a request.
    pub fn method(&self) -> Option<&Method> {
        match &self.start {
            Start::Request { method, .. } => Some(method),
            Start::Response { .. } => None,
        }
    }

    /// Returns the status code if the message is a response.
    pub fn code(&self) -> Option<u16> {
        match self.start {
            Start::Response { code } => Some(code),
            Start::Request { .. } => None,
        }
    }

    /// Returns the user part of the Request-URI if the message is a request to a `sip:` URI.
    pub fn user(&self) -> Option<&str> {
        let Start::Request { uri, .. } = &self.start else { return None };
        let (user, host) = uri.strip_prefix("sip:")?.split_once('@')?;
        (!user.is_empty() && !host.is_empty()).then_some(user)
    }

    /// Returns all headers in order; compact names are replaced by their long forms.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.headers.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Returns the value of the first header with this name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers().find(|(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Returns the value of a header that may occur only once; `None` if it is missing or occurs more than
    /// once.
    pub fn only(&self, name: &str) -> Option<&str> {
        let mut values = self.headers().filter(|(other, _)| other.eq_ignore_ascii_case(name));
        let (_, value) = values.next()?;
        values.next().is_none().then_some(value)
    }

    /// Returns the `Call-ID`; `None` if it is empty, missing or repeated.
    pub fn call_id(&self) -> Option<&str> {
        self.only("Call-ID").filter(|id| !id.is_empty())
    }

    /// Returns the `CSeq`; `None` if it is malformed, missing or repeated.
    pub fn cseq(&self) -> Option<CSeq> {
        let (number, method) = self.only("CSeq")?.split_once([' ', '\t'])?;
        // The number must be below 2^31 (8.1.1.5). `parse` alone would accept a sign.
        let only_digits = number.bytes().all(|byte| byte.is_ascii_digit());
        let number: u32 = number.parse().ok().filter(|number| only_digits && *number < 1 << 31)?;
        let method = method.trim();
        (!method.is_empty()).then(|| CSeq { number, method: Method::new(method) })
    }

    /// Returns the memory that the message holds.
    pub fn held_bytes(&self) -> usize {
        let headers = self.headers.iter().map(|(name, value)| {
            name.capacity() + value.capacity() + 2 * (size_of::<String>() + ALLOCATION_OVERHEAD_BYTES)
        });
        headers.sum::<usize>() + self.body.capacity()
    }

    /// Returns the body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// Consumes the message and returns its body.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }
}
