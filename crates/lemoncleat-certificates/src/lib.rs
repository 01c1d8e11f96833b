//! What keeps a node in certificates, around the core of `lemoncleat-acme`: [`Storage`] on disk, [`Fetcher`] for HTTP
//! to the authority, a responder and a handshake's certificate for proofs, and the [`Keeper`] whose thread runs the
//! core. Nothing is decided here.

mod fetch;
mod keeper;
mod proof;
mod storage;
mod tool;

pub use fetch::Fetcher;
pub use keeper::{External, Keeper, KeeperEvent, KeeperSettings};
pub use proof::{tls_alpn_pem, Responder};
pub use storage::{Lock, Stocked, Storage, StorageError};
pub use tool::{revoke, roll_key, status, Status};

pub use lemoncleat_acme::planner::Policy;
pub use lemoncleat_acme::{ChallengeKind, KeyKind, RenewerNotice};
