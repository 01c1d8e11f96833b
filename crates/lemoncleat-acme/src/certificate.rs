//! What a certificate says, and whether it is the one that was ordered.

use x509_parser::extensions::{GeneralName, ParsedExtension};
use x509_parser::pem::Pem;
use x509_parser::prelude::{FromDer, X509Certificate};

use crate::jose::encode;
use crate::planner::{Seconds, Validity};

/// A chain as it was read: the facts of its first certificate, and who vouches for its last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chain {
    /// From when to when.
    pub validity: Validity,
    /// DNS names, in lower case.
    pub names: Vec<String>,
    /// The public key (SubjectPublicKeyInfo, DER).
    pub public_key: Vec<u8>,
    /// What renewal information goes by (RFC 9773 section 4.1): key identifier of the authority and serial number.
    pub id: Option<String>,
    /// The issuer of its last certificate.
    pub top: String,
    /// The first certificate, DER.
    pub leaf: Vec<u8>,
}

impl Chain {
    /// Reads a chain in PEM; other blocks than certificates are passed over.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn read(pem: &str) -> Result<Chain, String> {
        let mut blocks = Vec::new();
        for block in Pem::iter_from_buffer(pem.as_bytes()) {
            let block = block.map_err(|error| format!("no PEM: {error}"))?;
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
            // The certificate holds until the end of that second; it is shown a second less.
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

    /// Whether it is what was ordered: for these names, with this key, not over.
    ///
    /// # Errors
    ///
    /// What differs.
    pub fn fits(&self, names: &[String], public_key: &[u8], now: Seconds) -> Result<(), String> {
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
            return Err("the certificate ends before it begins".to_owned());
        }
        if self.validity.until <= now {
            return Err(format!("the certificate is over since {} s", now - self.validity.until));
        }
        Ok(())
    }
}

/// Of several chains of one certificate, the first that ends at an issuer whose name holds `preferred`; otherwise
/// the authority's own, which comes first.
pub fn choose(chains: &[(String, Chain)], preferred: Option<&str>) -> usize {
    let fits = |(_, chain): &(String, Chain)| preferred.is_some_and(|name| chain.top.contains(name));
    chains.iter().position(fits).unwrap_or(0)
}
