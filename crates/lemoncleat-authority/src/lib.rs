//! An ACME authority (RFC 8555) for tests and rehearsals; not for production use.
//!
//! [`Authority`] has no I/O and no clock; [`Host`] serves one on loopback sockets. [`Authority::handle`]
//! answers a request at a given time, and [`Authority::to_validate`] returns the validations to perform. It
//! is strict: every signature, nonce and URL is checked, and protocol violations by clients are recorded in
//! [`Authority::complaints`]. [`Faults`] script its failures.

mod authority;
mod faults;
mod host;
mod issuer;
mod jws;

pub use authority::{Authority, AuthoritySettings, Issued, ToValidate};
pub use faults::{Faults, Stage, Wrong};
pub use host::{Found, Host};

/// Returns the validity period of a certificate (DER), in seconds since 1970.
pub fn validity_of(certificate: &[u8]) -> Option<(i64, i64)> {
    use x509_parser::prelude::{FromDer, X509Certificate};
    let (_, certificate) = X509Certificate::from_der(certificate).ok()?;
    Some((certificate.validity().not_before.timestamp(), certificate.validity().not_after.timestamp()))
}
