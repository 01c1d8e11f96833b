//! Certificate issuance for the test authority: two roots and one intermediate that is signed by both.

use rcgen::{
    BasicConstraints, CertificateParams, CertificateSigningRequestParams, DistinguishedName, DnType, IsCa,
    Issuer, KeyPair, KeyUsagePurpose, SerialNumber,
};
use time::OffsetDateTime;

use crate::faults::Wrong;

/// Validity of the authority's own certificates before and after its start: ten years each.
const CA_VALIDITY_S: i64 = 10 * 365 * 86_400;

pub(crate) struct IssuerKeys {
    pub roots: [String; 2],
    intermediate: Issuer<'static, KeyPair>,
    /// The intermediate's certificates, one signed by each root.
    chains: [String; 2],
}

fn timestamp(at: i64) -> OffsetDateTime {
    OffsetDateTime::from_unix_timestamp(at).unwrap_or(OffsetDateTime::UNIX_EPOCH)
}

fn ca(name: &str, now: i64) -> CertificateParams {
    let mut params = CertificateParams::default();
    let mut dn = DistinguishedName::new();
    dn.push(DnType::CommonName, name);
    params.distinguished_name = dn;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    (params.not_before, params.not_after) = (timestamp(now - CA_VALIDITY_S), timestamp(now + CA_VALIDITY_S));
    params
}

impl IssuerKeys {
    pub fn new(now: i64) -> Result<IssuerKeys, rcgen::Error> {
        let mut roots = Vec::new();
        let key = KeyPair::generate()?;
        let params = ca("Stand-in intermediate", now);
        let mut chains = Vec::new();
        for name in ["Stand-in root", "Stand-in other root"] {
            let root_key = KeyPair::generate()?;
            let root_params = ca(name, now);
            roots.push(root_params.self_signed(&root_key)?.pem());
            let root = Issuer::new(root_params, root_key);
            let mut params = params.clone();
            params.use_authority_key_identifier_extension = true;
            chains.push(params.signed_by(&key, &root)?.pem());
        }
        let pair = |mut all: Vec<String>| {
            let second = all.pop().unwrap_or_default();
            [all.pop().unwrap_or_default(), second]
        };
        Ok(IssuerKeys { roots: pair(roots), chains: pair(chains), intermediate: Issuer::new(params, key) })
    }

    /// Issues a certificate for a CSR and returns its chains to the first and to the other root.
    pub fn issue(
        &self,
        mut csr: CertificateSigningRequestParams,
        serial: u64,
        validity: (i64, i64),
        wrong: Option<Wrong>,
    ) -> Result<[String; 2], rcgen::Error> {
        let (mut from, mut until) = validity;
        let life = until - from;
        match wrong {
            Some(Wrong::Expired) => (from, until) = (from - 2 * life, from - life),
            Some(Wrong::NotYet) => (from, until) = (from + 3_600, until + 3_600),
            Some(Wrong::Names) => drop(csr.params.subject_alt_names.pop()),
            _ => {}
        }
        csr.params.serial_number = Some(SerialNumber::from_slice(&serial.to_be_bytes()));
        (csr.params.not_before, csr.params.not_after) = (timestamp(from), timestamp(until));
        csr.params.use_authority_key_identifier_extension = true;
        let leaf = match wrong {
            Some(Wrong::Key) => csr.params.signed_by(&KeyPair::generate()?, &self.intermediate)?,
            _ => csr.signed_by(&self.intermediate)?,
        };
        let chain = |which: usize| match wrong {
            Some(Wrong::Chain) => format!("{}{}", leaf.pem(), self.roots[1 - which]),
            _ => format!("{}{}", leaf.pem(), self.chains[which]),
        };
        Ok([chain(0), chain(1)])
    }
}
