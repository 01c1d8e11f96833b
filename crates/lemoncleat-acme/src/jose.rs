//! Signing: JWK, thumbprint and flattened JWS (RFC 7515, 7517, 7638, 8037), as RFC 8555 section 6.2 wants them.

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

/// The bytes of a text in base64url, with or without padding; `None` if it is none.
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

enum Pair {
    Es256(EcdsaKeyPair),
    EdDsa(Ed25519KeyPair),
}

/// An account's key. Its bytes are PKCS #8; how they are kept is the holder's matter.
pub struct AccountKey {
    pair: Pair,
    random: SystemRandom,
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AccountKey({})", self.thumbprint())
    }
}

/// A key that can't be used.
fn refused(error: impl fmt::Display) -> String {
    format!("the account's key can't be used: {error}")
}

impl AccountKey {
    /// Makes a key; its PKCS #8 bytes are to be kept secret.
    ///
    /// # Errors
    ///
    /// When the system has no randomness.
    pub fn generate(kind: KeyKind) -> Result<Zeroizing<Vec<u8>>, String> {
        let random = SystemRandom::new();
        let bytes = match kind {
            KeyKind::Es256 => EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, &random),
            KeyKind::EdDsa => Ed25519KeyPair::generate_pkcs8(&random),
        };
        bytes.map(|document| Zeroizing::new(document.as_ref().to_vec())).map_err(refused)
    }

    /// Takes a key's PKCS #8 bytes.
    ///
    /// # Errors
    ///
    /// When they are no such key, as when their file is cut off.
    pub fn from_pkcs8(kind: KeyKind, bytes: &[u8]) -> Result<AccountKey, String> {
        let random = SystemRandom::new();
        let pair = match kind {
            KeyKind::Es256 => Pair::Es256(
                EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, bytes, &random)
                    .map_err(refused)?,
            ),
            KeyKind::EdDsa => Pair::EdDsa(Ed25519KeyPair::from_pkcs8(bytes).map_err(refused)?),
        };
        Ok(AccountKey { pair, random })
    }

    /// Takes a key's PKCS #8 bytes of whichever kind they are.
    ///
    /// # Errors
    ///
    /// When they are a key of no kind.
    pub fn read(bytes: &[u8]) -> Result<AccountKey, String> {
        AccountKey::from_pkcs8(KeyKind::Es256, bytes)
            .or_else(|_| AccountKey::from_pkcs8(KeyKind::EdDsa, bytes))
    }

    /// Its public half.
    pub fn jwk(&self) -> Value {
        match &self.pair {
            Pair::Es256(pair) => {
                // 0x04, then both coordinates.
                let point = pair.public_key().as_ref();
                let (x, y) =
                    point.get(1..).unwrap_or_default().split_at(32.min(point.len().saturating_sub(1)));
                json!({"crv": "P-256", "kty": "EC", "x": encode(x), "y": encode(y)})
            }
            Pair::EdDsa(pair) => {
                json!({"crv": "Ed25519", "kty": "OKP", "x": encode(pair.public_key().as_ref())})
            }
        }
    }

    /// The key's thumbprint (RFC 7638): members in order, without space, which is how serde_json writes them.
    pub fn thumbprint(&self) -> String {
        encode(digest::digest(&digest::SHA256, self.jwk().to_string().as_bytes()).as_ref())
    }

    /// What answers a challenge's token (RFC 8555 section 8.1).
    pub fn key_authorization(&self, token: &str) -> String {
        format!("{token}.{}", self.thumbprint())
    }

    fn algorithm(&self) -> &'static str {
        match self.pair {
            Pair::Es256(_) => "ES256",
            Pair::EdDsa(_) => "EdDSA",
        }
    }

    fn signature(&self, bytes: &[u8]) -> Result<Vec<u8>, String> {
        match &self.pair {
            Pair::Es256(pair) => pair.sign(&self.random, bytes).map(|s| s.as_ref().to_vec()).map_err(refused),
            Pair::EdDsa(pair) => Ok(pair.sign(bytes).as_ref().to_vec()),
        }
    }

    /// A request's body. An empty payload (`None`) is POST-as-GET.
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

    /// Binds a new account to one that the authority knows otherwise (section 7.3.4).
    pub fn external_binding(&self, key_id: &str, secret: &[u8], url: &str) -> Value {
        let protected = encode(json!({"alg": "HS256", "kid": key_id, "url": url}).to_string().as_bytes());
        let payload = encode(self.jwk().to_string().as_bytes());
        let key = hmac::Key::new(hmac::HMAC_SHA256, secret);
        let tag = hmac::sign(&key, format!("{protected}.{payload}").as_bytes());
        json!({"protected": protected, "payload": payload, "signature": encode(tag.as_ref())})
    }

    /// The inner request of a key's roll-over, signed by the new key (section 7.3.5).
    ///
    /// # Errors
    ///
    /// When signing fails.
    pub fn roll_over(&self, old: &AccountKey, account: &str, url: &str) -> Result<Value, String> {
        let protected = json!({"alg": self.algorithm(), "jwk": self.jwk(), "url": url});
        let text = self.flattened(&protected, Some(&json!({"account": account, "oldKey": old.jwk()})))?;
        serde_json::from_str(&text).map_err(refused)
    }
}

/// Who signs a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signer<'a> {
    /// The key itself, before there is an account.
    Key,
    /// The account of that URL.
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
    fn what_is_signed_verifies_with_the_public_half_and_says_what_it_must() {
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
    fn the_thumbprint_is_that_of_rfc_8037() {
        // RFC 8037 appendix A.3 for the key of A.1.
        let jwk = json!({"crv": "Ed25519", "kty": "OKP", "x": "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"});
        let print = encode(digest::digest(&digest::SHA256, jwk.to_string().as_bytes()).as_ref());
        assert_eq!(print, "kPrK_qmxVWaYVA9wwBF6Iuo3vVzz7TxHCTwXBygrS4k");
    }
}
