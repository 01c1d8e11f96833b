//! Verification of signed requests (RFC 8555 section 6.2). Uses ring only and none of the client's code, so
//! that an error there can't hide itself.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ring::digest;
use ring::signature::{UnparsedPublicKey, VerificationAlgorithm, ECDSA_P256_SHA256_FIXED, ED25519};
use serde_json::Value;

pub(crate) fn decode(text: &Value) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text.as_str()?).ok()
}

pub(crate) fn encode(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

pub(crate) struct Jws {
    pub protected: Value,
    /// `None` for an empty payload.
    pub payload: Option<Value>,
    signed: String,
    signature: Vec<u8>,
}

impl Jws {
    pub fn parse(jws: &Value) -> Option<Jws> {
        let members = jws.as_object()?;
        if members.len() != 3 {
            return None; // An unprotected header is not allowed (section 6.2).
        }
        let payload = decode(&jws["payload"])?;
        Some(Jws {
            protected: serde_json::from_slice(&decode(&jws["protected"])?).ok()?,
            payload: match payload.is_empty() {
                true => None,
                false => Some(serde_json::from_slice(&payload).ok()?),
            },
            signed: format!("{}.{}", jws["protected"].as_str()?, jws["payload"].as_str()?),
            signature: decode(&jws["signature"])?,
        })
    }

    pub fn verify(&self, jwk: &Value) -> bool {
        let key: Option<(&'static dyn VerificationAlgorithm, Vec<u8>)> =
            match (jwk["kty"].as_str(), jwk["crv"].as_str(), self.protected["alg"].as_str()) {
                (Some("EC"), Some("P-256"), Some("ES256")) => decode(&jwk["x"])
                    .zip(decode(&jwk["y"]))
                    .map(|(x, y)| (&ECDSA_P256_SHA256_FIXED as _, [vec![4], x, y].concat())),
                (Some("OKP"), Some("Ed25519"), Some("EdDSA")) => {
                    decode(&jwk["x"]).map(|x| (&ED25519 as _, x))
                }
                _ => None,
            };
        key.is_some_and(|(algorithm, point)| {
            UnparsedPublicKey::new(algorithm, point).verify(self.signed.as_bytes(), &self.signature).is_ok()
        })
    }
}

/// Returns the RFC 7638 thumbprint, with the canonical form written out for the two key types.
pub(crate) fn thumbprint(jwk: &Value) -> String {
    let text = |name: &str| jwk[name].as_str().unwrap_or_default().to_owned();
    let canonical = match jwk["kty"].as_str() {
        Some("EC") => format!(r#"{{"crv":"P-256","kty":"EC","x":"{}","y":"{}"}}"#, text("x"), text("y")),
        _ => format!(r#"{{"crv":"Ed25519","kty":"OKP","x":"{}"}}"#, text("x")),
    };
    encode(digest::digest(&digest::SHA256, canonical.as_bytes()).as_ref())
}
