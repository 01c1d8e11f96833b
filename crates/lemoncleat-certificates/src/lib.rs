//! I/O drivers for the ACME core in `lemoncleat-acme`: [`Storage`] on disk, [`Fetcher`] for HTTP to the
//! authority, challenge responses for http-01 ([`Responder`]) and tls-alpn-01 ([`tls_alpn_pem`]), and the
//! [`Keeper`], whose thread runs the core. All decisions are made in the core.

mod fetch;
mod keeper;
mod proof;
mod storage;
mod tool;

pub use fetch::Fetcher;
pub use keeper::{External, Keeper, KeeperEvent, KeeperSettings};
pub use proof::{tls_alpn_pem, Responder};
pub use storage::{Lock, Storage, StorageError, StorageState};
pub use tool::{revoke, roll_key, status, Status};

pub use lemoncleat_acme::planner::Policy;
pub use lemoncleat_acme::{ChallengeKind, KeyKind, RenewerNotice};
