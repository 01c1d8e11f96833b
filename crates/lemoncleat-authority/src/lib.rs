//! A stand-in ACME authority (RFC 8555): for tests and rehearsals, never for use.
//!
//! [`Authority`] has no I/O and no clock; [`Host`] puts one on loopback sockets. [`Authority::handle`] answers a request at a moment, and what it wants to be looked at
//! for validation is handed out by [`Authority::to_validate`]. It is strict: every signature, nonce and URL is
//! checked, and what a client does wrong is kept in [`Authority::complaints`]. [`Faults`] say how it fails.

mod authority;
mod faults;
mod host;
mod issuer;
mod jws;

pub use authority::{Authority, AuthoritySettings, Issued, ToValidate};
pub use faults::{Faults, Stage, Wrong};
pub use host::{Found, Host};

/// From when to when a certificate (DER) is valid, in seconds since 1970.
pub fn validity_of(certificate: &[u8]) -> Option<(i64, i64)> {
    use x509_parser::prelude::{FromDer, X509Certificate};
    let (_, certificate) = X509Certificate::from_der(certificate).ok()?;
    Some((certificate.validity().not_before.timestamp(), certificate.validity().not_after.timestamp()))
}
