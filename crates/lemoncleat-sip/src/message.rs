//! A message that was read whole.

/// A method; those that this program speaks have names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Method {
    /// A call is set up.
    Invite,
    /// The final answer to an INVITE was heard.
    Ack,
    /// A set-up is given up.
    Cancel,
    /// A call is released.
    Bye,
    /// Is anybody there?
    Options,
    /// News nobody has to answer.
    Notify,
    /// Any other token.
    Other(String),
}

impl Method {
    /// The method of a token; methods are case-sensitive (7.1).
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

    /// As it stands on the wire.
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

/// The first line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Start {
    /// A request.
    Request {
        /// What is asked.
        method: Method,
        /// Of whom.
        uri: String,
    },
    /// A response.
    Response {
        /// 100 to 699.
        code: u16,
    },
}

/// The value of a `CSeq` header (20.16).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CSeq {
    /// The number within the call.
    pub number: u32,
    /// The method of the request.
    pub method: Method,
}

/// A message that was read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub(crate) start: Start,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl Message {
    /// Its first line.
    pub fn start(&self) -> &Start {
        &self.start
    }

    /// The method, if it is a request.
    pub fn method(&self) -> Option<&Method> {
        match &self.start {
            Start::Request { method, .. } => Some(method),
            Start::Response { .. } => None,
        }
    }

    /// The status code, if it is a response.
    pub fn code(&self) -> Option<u16> {
        match self.start {
            Start::Response { code } => Some(code),
            Start::Request { .. } => None,
        }
    }

    /// The user part of a request's `sip:` address.
    pub fn user(&self) -> Option<&str> {
        let Start::Request { uri, .. } = &self.start else { return None };
        let (user, host) = uri.strip_prefix("sip:")?.split_once('@')?;
        (!user.is_empty() && !host.is_empty()).then_some(user)
    }

    /// All headers, in order, by their long names.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.headers.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// The first header of a name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers().find(|(held, _)| held.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// The header of a name that may stand only once; `None` if it is missing or stands more than once.
    pub fn only(&self, name: &str) -> Option<&str> {
        let mut all = self.headers().filter(|(held, _)| held.eq_ignore_ascii_case(name));
        let (_, value) = all.next()?;
        all.next().is_none().then_some(value)
    }

    /// The `Call-ID`.
    pub fn call_id(&self) -> Option<&str> {
        self.only("Call-ID").filter(|id| !id.is_empty())
    }

    /// The `CSeq`.
    pub fn cseq(&self) -> Option<CSeq> {
        let (number, method) = self.only("CSeq")?.split_once([' ', '\t'])?;
        // Below 2^31 (8.1.1.5); `parse` alone would take a sign.
        let digits = number.bytes().all(|byte| byte.is_ascii_digit());
        let number: u32 = number.parse().ok().filter(|number| digits && *number < 1 << 31)?;
        let method = method.trim();
        (!method.is_empty()).then(|| CSeq { number, method: Method::new(method) })
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.body
    }

    /// The body, taken out.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }
}
