//! How a stand-in authority fails.

/// Where a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// The directory.
    Directory,
    /// A nonce.
    Nonce,
    /// The account.
    Account,
    /// A new order.
    NewOrder,
    /// An authorization.
    Authorization,
    /// A challenge.
    Challenge,
    /// Finalization.
    Finalize,
    /// How an order stands.
    Order,
    /// The certificate.
    Download,
}

impl Stage {
    /// All of them, in the order in which a try meets them.
    pub const ALL: [Stage; 9] = [
        Stage::Directory,
        Stage::Nonce,
        Stage::Account,
        Stage::NewOrder,
        Stage::Authorization,
        Stage::Challenge,
        Stage::Finalize,
        Stage::Order,
        Stage::Download,
    ];
}

/// What is wrong with a certificate that is issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// It is for another key.
    Key,
    /// A name is missing.
    Names,
    /// It is over already.
    Expired,
    /// It begins an hour later.
    NotYet,
    /// Its chain goes on with a certificate that did not issue it.
    Chain,
}

/// How an authority fails, beside what a client does wrong.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Share of signed requests whose nonce is refused although it is good.
    pub bad_nonces: f64,
    /// Refusals to come: at which stage, with which status and type of problem, and how many times.
    pub refuse: Vec<(Stage, u16, &'static str, u32)>,
    /// Validations to come that fail.
    pub failing_validations: u32,
    /// Certificates to come that are wrong.
    pub wrong: Vec<Wrong>,
    /// Most orders within the span in seconds; beyond that it is `rateLimited` with Retry-After.
    pub orders_within: Option<(usize, i64)>,
    /// How many times an order is told to be processing before it is valid.
    pub processing: u32,
    /// Retry-After with such answers.
    pub retry_after: Option<i64>,
    /// How far its clock is ahead (seconds); behind where it is negative.
    pub ahead: i64,
}
