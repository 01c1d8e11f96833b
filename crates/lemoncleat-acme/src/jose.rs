//! Signing: JWK, thumbprint and flattened JWS (RFC 7515, 7517, 7638, 8037), as RFC 8555 section 6.2 requires.

use std::fmt;

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ring::rand::SystemRandom;
use ring::signature::{EcdsaKeyPair, Ed25519KeyPair, KeyPair, ECDSA_P256_SHA256_FIXED_SIGNING};
use ring::{digest, hmac};
use serde_json::{json, Value};
use zeroize::Zeroizing;

pub(crate) fn encode(bytes: &[u8]) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes base64url text, with or without padding; returns `None` if it is invalid.
pub fn base64url(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text.trim_end_matches('=')).ok()
}

/// The kind of an account's key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyKind {
    /// ECDSA on P-256 with SHA-256.
    #[default]
    Es256,
    /// Ed25519.
    EdDsa,
}

enum AlgorithmKeyPair {
    Es256(EcdsaKeyPair),
    EdDsa(Ed25519KeyPair),
}

/// An account's key pair. Its encoding is PKCS #8; storing it is up to the caller.
pub struct AccountKey {
    pair: AlgorithmKeyPair,
    random: SystemRandom,
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AccountKey({})", self.thumbprint())
    }
}

/// Formats the error for a key that can't be used.
fn key_error(error: impl fmt::Display) -> String {
    format!("the account's key can't be used: {error}")
}

impl AccountKey {
    /// Generates a key and returns its PKCS #8 encoding, which must be kept secret.
    ///
    /// # Errors
    ///
    /// When the system's random number generator fails.
    pub fn generate(kind: KeyKind) -> Result<Zeroizing<Vec<u8>>, String> {
        let random = SystemRandom::new();
        let bytes = match kind {
            KeyKind::Es256 => EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, &random),
            KeyKind::EdDsa => Ed25519KeyPair::generate_pkcs8(&random),
        };
        bytes.map(|document| Zeroizing::new(document.as_ref().to_vec())).map_err(key_error)
    }

    /// Parses a PKCS #8 key of the given kind.
    ///
    /// # Errors
    ///
    /// When the bytes are not such a key, for example because the file is truncated.
    pub fn from_pkcs8(kind: KeyKind, bytes: &[u8]) -> Result<AccountKey, String> {
        let random = SystemRandom::new();
        let pair = match kind {
            KeyKind::Es256 => AlgorithmKeyPair::Es256(
                EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, bytes, &random)
                    .map_err(key_error)?,
            ),
            KeyKind::EdDsa => AlgorithmKeyPair::EdDsa(Ed25519KeyPair::from_pkcs8(bytes).map_err(key_error)?),
        };
        Ok(AccountKey { pair, random })
    }

    /// Parses a PKCS #8 key of any supported kind.
    ///
    /// # Errors
    ///
    /// When the bytes are not a key of a supported kind.
    pub fn read(bytes: &[u8]) -> Result<AccountKey, String> {
        AccountKey::from_pkcs8(KeyKind::Es256, bytes)
            .or_else(|_| AccountKey::from_pkcs8(KeyKind::EdDsa, bytes))
    }

    /// Returns the public key as a JWK.
    pub fn jwk(&self) -> Value {
        match &self.pair {
            AlgorithmKeyPair::Es256(pair) => {
                // 0x04, then both coordinates.
                let point = pair.public_key().as_ref();
                let (x, y) =
                    point.get(1..).unwrap_or_default().split_at(32.min(point.len().saturating_sub(1)));
                json!({"crv": "P-256", "kty": "EC", "x": encode(x), "y": encode(y)})
            }
            AlgorithmKeyPair::EdDsa(pair) => {
                json!({"crv": "Ed25519", "kty": "OKP", "x": encode(pair.public_key().as_ref())})
            }
        }
    }

    /// Returns the key's thumbprint (RFC 7638). It needs members in lexicographic order without white space,
    /// which is how serde_json writes them.
    pub fn thumbprint(&self) -> String {
        encode(digest::digest(&digest::SHA256, self.jwk().to_string().as_bytes()).as_ref())
    }

    /// Returns the key authorization for a challenge's token (RFC 8555 section 8.1).
    pub fn key_authorization(&self, token: &str) -> String {
        format!("{token}.{}", self.thumbprint())
    }

    fn algorithm(&self) -> &'static str {
        match self.pair {
            AlgorithmKeyPair::Es256(_) => "ES256",
            AlgorithmKeyPair::EdDsa(_) => "EdDSA",
        }
    }

    fn signature(&self, bytes: &[u8]) -> Result<Vec<u8>, String> {
        match &self.pair {
            AlgorithmKeyPair::Es256(pair) => {
                pair.sign(&self.random, bytes).map(|s| s.as_ref().to_vec()).map_err(key_error)
            }
            AlgorithmKeyPair::EdDsa(pair) => Ok(pair.sign(bytes).as_ref().to_vec()),
        }
    }

    /// Returns a request's signed body. An empty payload (`None`) is POST-as-GET.
    ///
    /// # Errors
    ///
    /// When signing fails.
    pub fn sign(
        &self,
        signer: &Signer<'_>,
        nonce: &str,
        url: &str,
        payload: Option<&Value>,
    ) -> Result<String, String> {
        let mut protected = json!({"alg": self.algorithm(), "nonce": nonce, "url": url});
        match signer {
            Signer::Key => protected["jwk"] = self.jwk(),
            Signer::Account(account) => protected["kid"] = json!(account),
        }
        self.flattened(&protected, payload)
    }

    fn flattened(&self, protected: &Value, payload: Option<&Value>) -> Result<String, String> {
        let protected = encode(protected.to_string().as_bytes());
        let payload = payload.map_or(String::new(), |payload| encode(payload.to_string().as_bytes()));
        let signature = self.signature(format!("{protected}.{payload}").as_bytes())?;
        Ok(json!({"protected": protected, "payload": payload, "signature": encode(&signature)}).to_string())
    }

    /// Returns the external account binding for a new account (section 7.3.4).
    pub fn external_binding(&self, key_id: &str, secret: &[u8], url: &str) -> Value {
        let protected = encode(json!({"alg": "HS256", "kid": key_id, "url": url}).to_string().as_bytes());
        let payload = encode(self.jwk().to_string().as_bytes());
        let key = hmac::Key::new(hmac::HMAC_SHA256, secret);
        let tag = hmac::sign(&key, format!("{protected}.{payload}").as_bytes());
        json!({"protected": protected, "payload": payload, "signature": encode(tag.as_ref())})
    }

    /// Returns the inner JWS of a key roll-over, signed by the new key (section 7.3.5).
    ///
    /// # Errors
    ///
    /// When signing fails.
    pub fn roll_over(&self, old: &AccountKey, account: &str, url: &str) -> Result<Value, String> {
        let protected = json!({"alg": self.algorithm(), "jwk": self.jwk(), "url": url});
        let text = self.flattened(&protected, Some(&json!({"account": account, "oldKey": old.jwk()})))?;
        serde_json::from_str(&text).map_err(key_error)
    }
}

/// The signer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signer<'a> {
    /// The key itself (`jwk`), before the account exists.
    Key,
    /// The account with this URL (`kid`).
    Account(&'a str),
}

#[cfg(test)]
mod tests {
    use super::*;
    use ring::signature::{UnparsedPublicKey, ECDSA_P256_SHA256_FIXED, ED25519};

    fn decode(text: &Value) -> Vec<u8> {
        URL_SAFE_NO_PAD.decode(text.as_str().expect("text")).expect("base64url")
    }

    #[test]
    fn signed_request_verifies_with_public_key_and_has_required_header_fields() {
        for kind in [KeyKind::Es256, KeyKind::EdDsa] {
            let bytes = AccountKey::generate(kind).expect("a key");
            let key = AccountKey::from_pkcs8(kind, &bytes).expect("the same key");
            let body = key.sign(&Signer::Key, "n1", "https://a/new", Some(&json!({"a": 1}))).expect("signed");
            let jws: Value = serde_json::from_str(&body).expect("JSON");
            let protected: Value = serde_json::from_slice(&decode(&jws["protected"])).expect("JSON");
            assert_eq!(
                (protected["nonce"].as_str(), protected["url"].as_str()),
                (Some("n1"), Some("https://a/new"))
            );
            assert_eq!(decode(&jws["payload"]), br#"{"a":1}"#);
            let signed =
                format!("{}.{}", jws["protected"].as_str().expect("t"), jws["payload"].as_str().expect("t"));
            let jwk = &protected["jwk"];
            let (algorithm, public): (&'static dyn ring::signature::VerificationAlgorithm, Vec<u8>) =
                match kind {
                    KeyKind::Es256 => {
                        (&ECDSA_P256_SHA256_FIXED, [vec![4], decode(&jwk["x"]), decode(&jwk["y"])].concat())
                    }
                    KeyKind::EdDsa => (&ED25519, decode(&jwk["x"])),
                };
            let public = UnparsedPublicKey::new(algorithm, public);
            assert!(public.verify(signed.as_bytes(), &decode(&jws["signature"])).is_ok());
            assert!(public.verify(b"something else", &decode(&jws["signature"])).is_err());
            assert!(
                AccountKey::from_pkcs8(kind, &bytes[..bytes.len() - 1]).is_err(),
                "a truncated key is refused"
            );
        }
    }

    #[test]
    fn thumbprint_matches_rfc_8037_example() {
        // RFC 8037 appendix A.3 for the key of A.1.
        let jwk = json!({"crv": "Ed25519", "kty": "OKP", "x": "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"});
        let print = encode(digest::digest(&digest::SHA256, jwk.to_string().as_bytes()).as_ref());
        assert_eq!(print, "kPrK_qmxVWaYVA9wwBF6Iuo3vVzz7TxHCTwXBygrS4k");
    }
}
