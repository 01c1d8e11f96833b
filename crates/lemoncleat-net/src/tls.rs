//! TLS for connections with rustls; both ends present a certificate (RFC 6733 section 13.1).

use std::fmt;
use std::io::{Read, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use rustls::client::ResolvesClientCert;
use rustls::crypto::ring;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::{Acceptor, ClientHello, ResolvesServerCert, WebPkiClientVerifier};
use rustls::sign::{CertifiedKey, SingleCertAndKey};
use rustls::{ClientConfig, ClientConnection, Connection, HandshakeKind, RootCertStore, ServerConfig};
use x509_parser::prelude::{FromDer, X509Certificate};

/// The certificate and key files of one end, in PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificate with its chain up to an authority.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
}

/// The oldest TLS version that is accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MinVersion {
    /// TLS 1.2 and 1.3.
    Tls12,
    /// TLS 1.3 only.
    #[default]
    Tls13,
}

/// The error of loading certificates or keys; names the file and the cause.
#[derive(Debug)]
pub struct TlsError(String);

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TlsError {}

fn file_error(file: &Path, cause: impl fmt::Display) -> TlsError {
    TlsError(format!("{}: {cause}", file.display()))
}

static TLS12_AND_LATER: [&rustls::SupportedProtocolVersion; 2] =
    [&rustls::version::TLS13, &rustls::version::TLS12];
static TLS13_ONLY: [&rustls::SupportedProtocolVersion; 1] = [&rustls::version::TLS13];

fn versions(min: MinVersion) -> &'static [&'static rustls::SupportedProtocolVersion] {
    match min {
        MinVersion::Tls12 => &TLS12_AND_LATER,
        MinVersion::Tls13 => &TLS13_ONLY,
    }
}

fn certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let all = CertificateDer::pem_file_iter(file).map_err(|error| file_error(file, error))?;
    let all: Result<Vec<_>, _> = all.collect();
    let all = all.map_err(|error| file_error(file, error))?;
    if all.is_empty() {
        return Err(file_error(file, "no certificate, expected at least one in PEM"));
    }
    Ok(all)
}

/// Certificate authorities that are trusted to sign the peer's certificate.
#[derive(Clone, Debug)]
pub struct Authorities(Arc<RootCertStore>);

impl Authorities {
    /// Reads a PEM file of authority certificates.
    ///
    /// # Errors
    ///
    /// When the file can't be read or holds no certificate.
    pub fn read(file: &Path) -> Result<Authorities, TlsError> {
        let mut roots = RootCertStore::empty();
        for authority in certificates(file)? {
            roots.add(authority).map_err(|error| file_error(file, error))?;
        }
        Ok(Authorities(Arc::new(roots)))
    }

    /// Returns the authorities as a rustls root store.
    pub fn store(&self) -> Arc<RootCertStore> {
        self.0.clone()
    }
}

/// Parses a certificate chain and a key from one PEM text.
fn pem_parts(text: &str) -> Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>), TlsError> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text.as_bytes()).collect();
    let chain = chain.map_err(|error| TlsError(error.to_string()))?;
    let key = PrivateKeyDer::from_pem_slice(text.as_bytes());
    Ok((chain, key.map_err(|error| TlsError(format!("invalid or missing private key: {error}")))?))
}

/// A certificate with its key, presented in handshakes while the certificate is valid.
#[derive(Clone, Debug)]
pub struct Identity {
    key: Arc<CertifiedKey>,
    /// Validity period, in seconds since 1970.
    not_before: i64,
    not_after: i64,
}

impl Identity {
    /// Reads certificate and key from files.
    ///
    /// # Errors
    ///
    /// When a file can't be read, or key and certificate do not match.
    pub fn read(files: &TlsFiles) -> Result<Identity, TlsError> {
        let chain = certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key).map_err(|error| file_error(&files.key, error))?;
        Identity::new(chain, key).map_err(|cause| file_error(&files.certificate, cause))
    }

    /// Parses key and certificate chain from one PEM text.
    ///
    /// # Errors
    ///
    /// When a part is missing, or key and certificate do not match.
    pub fn from_pem(text: &str) -> Result<Identity, TlsError> {
        let (chain, key) = pem_parts(text)?;
        Identity::new(chain, key).map_err(TlsError)
    }

    fn new(chain: Vec<CertificateDer<'static>>, key: PrivateKeyDer<'static>) -> Result<Identity, String> {
        let leaf = chain.first().ok_or("no certificate, expected at least one in PEM")?;
        let (_, read) =
            X509Certificate::from_der(leaf).map_err(|error| format!("no certificate: {error}"))?;
        let (not_before, not_after) =
            (read.validity().not_before.timestamp(), read.validity().not_after.timestamp());
        let provider = ring::default_provider();
        let key = CertifiedKey::from_der(chain, key, &provider).map_err(|error| error.to_string())?;
        Ok(Identity { key: Arc::new(key), not_before, not_after })
    }

    /// Returns the start and the end of the validity period, in seconds since 1970.
    pub fn validity(&self) -> (i64, i64) {
        (self.not_before, self.not_after)
    }

    /// Returns the key pair to present now. Checks the validity period at each handshake, since the
    /// certificate may have expired after it was configured.
    fn valid_key(&self) -> Option<Arc<CertifiedKey>> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as i64);
        (self.not_before <= now && now < self.not_after).then(|| self.key.clone())
    }
}

/// Resolves the certificate to present: the identity's while it is valid, otherwise none.
#[derive(Debug)]
struct PresentedIdentity(Option<Identity>);

impl ResolvesServerCert for PresentedIdentity {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        self.0.as_ref()?.valid_key()
    }
}

impl ResolvesClientCert for PresentedIdentity {
    fn resolve(&self, _: &[&[u8]], _: &[rustls::SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        self.0.as_ref()?.valid_key()
    }

    fn has_certs(&self) -> bool {
        self.0.is_some()
    }
}

/// Returns the configuration for listeners: clients must present a certificate signed by one of the
/// authorities. Handshakes are refused without an identity and once it has expired.
///
/// # Errors
///
/// When no client verifier can be built from the authorities.
pub fn server_config(
    identity: Option<Identity>,
    authorities: &Authorities,
    min: MinVersion,
) -> Result<Arc<ServerConfig>, TlsError> {
    let provider = Arc::new(ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(authorities.store(), provider.clone())
        .build()
        .map_err(|error| TlsError(error.to_string()))?;
    let config = ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(versions(min))
        .map_err(|error| TlsError(error.to_string()))?
        .with_client_cert_verifier(verifier)
        .with_cert_resolver(Arc::new(PresentedIdentity(identity)));
    Ok(Arc::new(config))
}

/// Returns the configuration for dials: the peer must present a certificate for its name, signed by one of
/// the authorities.
///
/// # Errors
///
/// When the TLS versions are not supported.
pub fn client_config(
    identity: Option<Identity>,
    authorities: &Authorities,
    min: MinVersion,
) -> Result<Arc<ClientConfig>, TlsError> {
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(versions(min))
        .map_err(|error| TlsError(error.to_string()))?
        .with_root_certificates(authorities.store())
        .with_client_cert_resolver(Arc::new(PresentedIdentity(identity)));
    Ok(Arc::new(config))
}

/// The ALPN protocol name of TLS-ALPN challenges (RFC 8737 section 4).
const ACME_TLS_ALPN: &[u8] = b"acme-tls/1";

/// Returns the configuration for TLS-ALPN challenge handshakes: it accepts that protocol only and requests no
/// client certificate.
///
/// # Errors
///
/// When the text holds no key or certificate.
pub fn proof_config(pem: &str) -> Result<Arc<ServerConfig>, TlsError> {
    let (chain, key) = pem_parts(pem)?;
    let provider = ring::default_provider();
    let key = provider.key_provider.load_private_key(key).map_err(|error| TlsError(error.to_string()))?;
    // The challenge certificate has a critical extension that the usual key check does not know and would
    // reject.
    let key = CertifiedKey::new(chain, key);
    let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(versions(MinVersion::Tls12))
        .map_err(|error| TlsError(error.to_string()))?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(SingleCertAndKey::from(key)));
    config.alpn_protocols = vec![ACME_TLS_ALPN.to_vec()];
    Ok(Arc::new(config))
}

/// The TLS state of one connection, without I/O.
pub(crate) struct Session {
    state: State,
    /// The alert for a client whose hello was rejected.
    alert: Vec<u8>,
}

enum State {
    /// Waits for the client hello, whose ALPN protocols select the configuration.
    Hello(Box<Acceptor>, Arc<ServerConfig>, Option<Arc<ServerConfig>>),
    Connection(Box<Connection>),
}

impl Session {
    /// Creates the accepting end, with a configuration for TLS-ALPN challenges if there is one.
    pub fn server(config: Arc<ServerConfig>, challenge: Option<Arc<ServerConfig>>) -> Session {
        Session { state: State::Hello(Box::default(), config, challenge), alert: Vec::new() }
    }

    pub fn client(config: Arc<ClientConfig>, name: ServerName<'static>) -> Result<Session, rustls::Error> {
        let connection = Connection::Client(ClientConnection::new(config, name)?);
        Ok(Session { state: State::Connection(Box::new(connection)), alert: Vec::new() })
    }

    pub fn is_handshaking(&self) -> bool {
        match &self.state {
            State::Hello(..) => true,
            State::Connection(connection) => connection.is_handshaking(),
        }
    }

    /// Reports whether this is the accepting end of a TLS-ALPN challenge. The dialling end of a challenge
    /// gets the usual events for its connection.
    pub fn is_proof(&self) -> bool {
        match &self.state {
            State::Hello(..) => false,
            State::Connection(connection) => {
                matches!(**connection, Connection::Server(_))
                    && connection.alpn_protocol() == Some(ACME_TLS_ALPN)
            }
        }
    }

    /// Reports whether the handshake resumed an earlier session, so that no certificate was sent.
    pub fn is_resumed(&self) -> bool {
        match &self.state {
            State::Hello(..) => false,
            State::Connection(connection) => connection.handshake_kind() == Some(HandshakeKind::Resumed),
        }
    }

    /// Reads the client hello and, once it is complete, selects the configuration.
    fn hello(&mut self, bytes: &mut &[u8]) -> Result<(), rustls::Error> {
        let State::Hello(acceptor, config, challenge) = &mut self.state else { return Ok(()) };
        if acceptor.read_tls(bytes).is_err() {
            return Err(rustls::Error::General("TLS receive buffer is full".to_owned()));
        }
        let accepted = match acceptor.accept() {
            Ok(Some(accepted)) => accepted,
            Ok(None) => return Ok(()),
            Err((error, mut alert)) => {
                let _ = alert.write_all(&mut self.alert);
                return Err(error);
            }
        };
        let is_challenge =
            accepted.client_hello().alpn().is_some_and(|mut names| names.any(|n| n == ACME_TLS_ALPN));
        let config = match (challenge, is_challenge) {
            (Some(challenge), true) => challenge.clone(),
            _ => config.clone(),
        };
        match accepted.into_connection(config) {
            Ok(connection) => {
                self.state = State::Connection(Box::new(Connection::Server(connection)));
                Ok(())
            }
            Err((error, mut alert)) => {
                let _ = alert.write_all(&mut self.alert);
                Err(error)
            }
        }
    }

    /// Decrypts received bytes and returns the plaintext. On an error the alert that tells the cause to the
    /// peer is in the output.
    pub fn decrypt(&mut self, mut bytes: &[u8]) -> Result<Vec<u8>, rustls::Error> {
        let mut plaintext = Vec::new();
        while !bytes.is_empty() {
            self.hello(&mut bytes)?;
            let State::Connection(connection) = &mut self.state else { continue };
            if !bytes.is_empty() && connection.read_tls(&mut bytes).is_err() {
                return Err(rustls::Error::General("TLS receive buffer is full".to_owned()));
            }
            let state = connection.process_new_packets()?;
            let start = plaintext.len();
            plaintext.resize(start + state.plaintext_bytes_to_read(), 0);
            if connection.reader().read_exact(&mut plaintext[start..]).is_err() {
                plaintext.truncate(start);
            }
            if state.peer_has_closed() {
                break;
            }
        }
        Ok(plaintext)
    }

    /// Encrypts bytes and appends the records to the output.
    pub fn encrypt(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let State::Connection(connection) = &mut self.state else { return };
            // The session's buffer is limited, so that its records are moved out after each write.
            match connection.writer().write(rest) {
                Ok(count) if count > 0 => rest = &rest[count..],
                _ => break,
            }
            self.take_output(out);
        }
    }

    /// Appends the session's pending records to the output.
    pub fn take_output(&mut self, out: &mut Vec<u8>) {
        out.append(&mut self.alert);
        let State::Connection(connection) = &mut self.state else { return };
        while connection.wants_write() {
            if connection.write_tls(out).is_err() {
                return;
            }
        }
    }

    /// Appends a close notification to the output.
    pub fn close(&mut self, out: &mut Vec<u8>) {
        if let State::Connection(connection) = &mut self.state {
            connection.send_close_notify();
        }
        self.take_output(out);
    }

    /// Returns the peer's certificate (DER), if it presented one.
    pub fn peer_certificate(&self) -> Option<Vec<u8>> {
        let State::Connection(connection) = &self.state else { return None };
        Some(connection.peer_certificates()?.first()?.to_vec())
    }

    /// Returns the DNS names in the peer's certificate.
    pub fn peer_names(&self) -> Vec<String> {
        let Some(certificate) = self.peer_certificate() else { return Vec::new() };
        match webpki::EndEntityCert::try_from(&CertificateDer::from(certificate)) {
            Ok(certificate) => certificate.valid_dns_names().map(str::to_ascii_lowercase).collect(),
            Err(_) => Vec::new(),
        }
    }
}
