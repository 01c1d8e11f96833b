//! Parses certificate chains and checks that a chain matches the order.

use x509_parser::extensions::{GeneralName, ParsedExtension};
use x509_parser::pem::Pem;
use x509_parser::prelude::{FromDer, X509Certificate};

use crate::jose::encode;
use crate::planner::{Seconds, Validity};

/// A parsed chain: the fields of its leaf certificate and the issuer of its last certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    /// Validity period of the leaf.
    pub validity: Validity,
    /// DNS names (subjectAltName), in lower case.
    pub names: Vec<String>,
    /// The public key (SubjectPublicKeyInfo, DER).
    pub public_key: Vec<u8>,
    /// Certificate identifier for renewal information (RFC 9773 section 4.1): the authority's key identifier
    /// and the serial number.
    pub id: Option<String>,
    /// Issuer of the last certificate.
    pub top: String,
    /// The leaf certificate, DER.
    pub leaf: Vec<u8>,
}

impl Chain {
    /// Parses a PEM chain; blocks other than certificates are skipped.
    ///
    /// # Errors
    ///
    /// Describes why the chain is invalid.
    pub fn read(pem: &str) -> Result<Chain, String> {
        let mut blocks = Vec::new();
        for block in Pem::iter_from_buffer(pem.as_bytes()) {
            let block = block.map_err(|error| format!("invalid PEM: {error}"))?;
            if block.label == "CERTIFICATE" {
                blocks.push(block.contents);
            }
        }
        let mut all = Vec::new();
        for der in &blocks {
            let (_, certificate) =
                X509Certificate::from_der(der).map_err(|error| format!("no certificate: {error}"))?;
            all.push(certificate);
        }
        let (Some(leaf), Some(last)) = (all.first(), all.last()) else {
            return Err("no certificate, expected at least one in PEM".to_owned());
        };
        for pair in all.windows(2) {
            if pair[0].issuer() != pair[1].subject() {
                let (one, other) = (pair[0].issuer(), pair[1].subject());
                return Err(format!("the chain is broken: issued by {one:?}, followed by {other:?}"));
            }
        }
        let mut names = Vec::new();
        let mut authority = None;
        for extension in leaf.extensions() {
            match extension.parsed_extension() {
                ParsedExtension::SubjectAlternativeName(san) => {
                    names.extend(san.general_names.iter().filter_map(|name| match name {
                        GeneralName::DNSName(name) => Some(name.to_ascii_lowercase()),
                        _ => None,
                    }));
                }
                ParsedExtension::AuthorityKeyIdentifier(identifier) => {
                    authority = identifier.key_identifier.as_ref().map(|id| id.0.to_vec());
                }
                _ => {}
            }
        }
        let validity = Validity {
            from: leaf.validity().not_before.timestamp(),
            // notAfter includes its last second (RFC 5280); the certificate is presented for one second less.
            until: leaf.validity().not_after.timestamp(),
        };
        let id = authority.map(|id| format!("{}.{}", encode(&id), encode(leaf.raw_serial())));
        Ok(Chain {
            validity,
            names,
            public_key: leaf.public_key().raw.to_vec(),
            id,
            top: last.issuer().to_string(),
            leaf: blocks[0].clone(),
        })
    }

    /// Checks that the chain is what was ordered: it covers these names, has this key and has not expired.
    ///
    /// # Errors
    ///
    /// Describes what differs.
    pub fn matches_order(&self, names: &[String], public_key: &[u8], now: Seconds) -> Result<(), String> {
        if self.public_key != public_key {
            return Err("the certificate is for another key than the one ordered with".to_owned());
        }
        let missing: Vec<&str> = names
            .iter()
            .filter(|name| !self.names.contains(&name.to_ascii_lowercase()))
            .map(String::as_str)
            .collect();
        if !missing.is_empty() {
            return Err(format!("the certificate lacks the names {}", missing.join(", ")));
        }
        if self.validity.from >= self.validity.until {
            return Err("the certificate's validity ends before it begins".to_owned());
        }
        if self.validity.until <= now {
            return Err(format!("the certificate expired {} s ago", now - self.validity.until));
        }
        Ok(())
    }
}

/// Returns the index of the first chain whose last issuer's name contains `preferred`, or 0: the authority's
/// default chain comes first.
pub fn choose(chains: &[(String, Chain)], preferred: Option<&str>) -> usize {
    let fits = |(_, chain): &(String, Chain)| preferred.is_some_and(|name| chain.top.contains(name));
    chains.iter().position(fits).unwrap_or(0)
}
