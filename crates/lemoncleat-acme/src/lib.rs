//! Certificates by ACME (RFC 8555), without I/O: what is signed and sent, and when certificates are renewed.
//!
//! - [`AccountKey`] signs requests (JWS, RFC 7515; ES256 and EdDSA).
//! - [`Order`] takes an order from the directory to the certificate: it says which request comes next and is told
//!   each answer; its state can be stored after any step and taken up again. [`Errand`]s are what takes a request
//!   or two: revocation, a new account key, renewal information.
//! - [`planner`] decides when to renew, how failures are waited out, and which certificate is presented.
//! - [`Renewer`] keeps a node in certificates with all of these: it is told the time and what came of its requests,
//!   and says what to send, store and present.

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
