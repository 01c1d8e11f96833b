//! Scripted failures of the test authority.

/// The kind of request that is refused.
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
    /// Fetching an order's status.
    Order,
    /// The certificate.
    Download,
}

impl Stage {
    /// All stages, in the order in which a certificate order passes through them.
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

/// A defect of an issued certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// It is for another key.
    Key,
    /// A name is missing.
    Names,
    /// It has already expired.
    Expired,
    /// Its validity begins an hour later.
    NotYet,
    /// Its chain continues with a certificate that did not issue it.
    Chain,
}

/// Scripted failures, in addition to the refusal of invalid requests.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Fraction of signed requests whose valid nonce is refused.
    pub bad_nonces: f64,
    /// Pending refusals: stage, status, problem type and remaining count.
    pub refuse: Vec<(Stage, u16, &'static str, u32)>,
    /// Number of upcoming validations that fail.
    pub failing_validations: u32,
    /// Defects of the next certificates to be issued.
    pub wrong: Vec<Wrong>,
    /// Maximum number of orders within a period in seconds; further orders get `rateLimited` with
    /// Retry-After.
    pub orders_within: Option<(usize, i64)>,
    /// Number of times an order is reported as processing before it becomes valid.
    pub processing: u32,
    /// Retry-After sent with such responses.
    pub retry_after: Option<i64>,
    /// Seconds by which the authority's clock is ahead; negative if it is behind.
    pub ahead: i64,
}
