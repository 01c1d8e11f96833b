//! ACME client (RFC 8555) without I/O: signs and builds requests, and plans certificate renewals.
//!
//! - [`AccountKey`] signs requests (JWS, RFC 7515; ES256 and EdDSA).
//! - [`Order`] takes an order from the directory to the certificate: it returns the next request and
//!   processes each response; its state can be stored after any step and resumed. An [`Errand`] is an
//!   operation of one or two requests: revocation, account key roll-over, renewal information.
//! - [`planner`] decides when to renew, how long to back off after failures, and which certificate is
//!   presented.
//! - [`Renewer`] combines these to keep a node's certificate valid: its inputs are the time and the results
//!   of its requests; its outputs say what to send, store and present.

mod certificate;
mod errand;
mod jose;
mod order;
pub mod planner;
mod renewer;
mod session;
mod wire;

pub use certificate::{choose, Chain};
pub use errand::{Errand, ErrandKind, ErrandResult, ErrandStep};
pub use jose::{base64url, AccountKey, KeyKind, Signer};
pub use order::{ChallengeKind, Order, Progress, Proof, Stored};
pub use renewer::{
    Held, Prepared, Renewer, RenewerInput, RenewerNotice, RenewerOutput, RenewerSettings, Snapshot, Tried,
};
pub use session::{Account, AcmeError, External, HttpRequest, HttpResponse, Step};
pub use wire::Place;
