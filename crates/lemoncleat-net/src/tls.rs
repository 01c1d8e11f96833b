//! TLS for connections (RFC 6733 section 13.1: both ends show a certificate), with rustls.

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

/// The files of an end, all PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Its certificate, with the chain up to an authority.
    pub certificate: PathBuf,
    /// The key of that.
    pub key: PathBuf,
}

/// The oldest TLS that is spoken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MinVersion {
    /// TLS 1.2 and 1.3.
    Tls12,
    /// TLS 1.3 alone.
    #[default]
    Tls13,
}

/// Files that make no configuration: which, and why.
#[derive(Debug)]
pub struct TlsError(String);

impl fmt::Display for TlsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TlsError {}

fn at(file: &Path, why: impl fmt::Display) -> TlsError {
    TlsError(format!("{}: {why}", file.display()))
}

static FROM_12: [&rustls::SupportedProtocolVersion; 2] = [&rustls::version::TLS13, &rustls::version::TLS12];
static FROM_13: [&rustls::SupportedProtocolVersion; 1] = [&rustls::version::TLS13];

fn versions(min: MinVersion) -> &'static [&'static rustls::SupportedProtocolVersion] {
    match min {
        MinVersion::Tls12 => &FROM_12,
        MinVersion::Tls13 => &FROM_13,
    }
}

fn certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let all = CertificateDer::pem_file_iter(file).map_err(|error| at(file, error))?;
    let all: Result<Vec<_>, _> = all.collect();
    let all = all.map_err(|error| at(file, error))?;
    if all.is_empty() {
        return Err(at(file, "no certificate, expected at least one in PEM"));
    }
    Ok(all)
}

/// Authorities whose certificates are trusted at the other end.
#[derive(Clone, Debug)]
pub struct Authorities(Arc<RootCertStore>);

impl Authorities {
    /// Reads a file of certificates in PEM.
    ///
    /// # Errors
    ///
    /// When it can't be read or holds none.
    pub fn read(file: &Path) -> Result<Authorities, TlsError> {
        let mut roots = RootCertStore::empty();
        for authority in certificates(file)? {
            roots.add(authority).map_err(|error| at(file, error))?;
        }
        Ok(Authorities(Arc::new(roots)))
    }

    /// The same, for a library that wants them so.
    pub fn store(&self) -> Arc<RootCertStore> {
        self.0.clone()
    }
}

/// Chain and key out of one text in PEM.
fn pem_parts(text: &str) -> Result<(Vec<CertificateDer<'static>>, PrivateKeyDer<'static>), TlsError> {
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text.as_bytes()).collect();
    let chain = chain.map_err(|error| TlsError(error.to_string()))?;
    let key = PrivateKeyDer::from_pem_slice(text.as_bytes());
    Ok((chain, key.map_err(|error| TlsError(format!("no key: {error}")))?))
}

/// A certificate with its key, as it is shown in handshakes while it is valid.
#[derive(Clone, Debug)]
pub struct Identity {
    key: Arc<CertifiedKey>,
    /// Seconds since 1970.
    from: i64,
    until: i64,
}

impl Identity {
    /// Reads the files of an end.
    ///
    /// # Errors
    ///
    /// When a file can't be read, or key and certificate do not belong together.
    pub fn read(files: &TlsFiles) -> Result<Identity, TlsError> {
        let chain = certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key).map_err(|error| at(&files.key, error))?;
        Identity::new(chain, key).map_err(|why| at(&files.certificate, why))
    }

    /// Takes key and chain out of one text in PEM.
    ///
    /// # Errors
    ///
    /// What is missing or does not belong together.
    pub fn from_pem(text: &str) -> Result<Identity, TlsError> {
        let (chain, key) = pem_parts(text)?;
        Identity::new(chain, key).map_err(TlsError)
    }

    fn new(chain: Vec<CertificateDer<'static>>, key: PrivateKeyDer<'static>) -> Result<Identity, String> {
        let leaf = chain.first().ok_or("no certificate, expected at least one in PEM")?;
        let (_, read) =
            X509Certificate::from_der(leaf).map_err(|error| format!("no certificate: {error}"))?;
        let (from, until) = (read.validity().not_before.timestamp(), read.validity().not_after.timestamp());
        let provider = ring::default_provider();
        let key = CertifiedKey::from_der(chain, key, &provider).map_err(|error| error.to_string())?;
        Ok(Identity { key: Arc::new(key), from, until })
    }

    /// From when to when it is valid, in seconds since 1970.
    pub fn validity(&self) -> (i64, i64) {
        (self.from, self.until)
    }

    /// What may be shown now: nothing before or after its time, whatever the one who set it last knew.
    fn shown(&self) -> Option<Arc<CertifiedKey>> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as i64);
        (self.from <= now && now < self.until).then(|| self.key.clone())
    }
}

/// What an end shows: its identity while that is valid, or nothing.
#[derive(Debug)]
struct Shown(Option<Identity>);

impl ResolvesServerCert for Shown {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        self.0.as_ref()?.shown()
    }
}

impl ResolvesClientCert for Shown {
    fn resolve(&self, _: &[&[u8]], _: &[rustls::SignatureScheme]) -> Option<Arc<CertifiedKey>> {
        self.0.as_ref()?.shown()
    }

    fn has_certs(&self) -> bool {
        self.0.is_some()
    }
}

/// The configuration of listeners: clients must show a certificate of one of the authorities. Without an identity,
/// or once it is over, handshakes are refused.
///
/// # Errors
///
/// When the authorities are of no use.
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
        .with_cert_resolver(Arc::new(Shown(identity)));
    Ok(Arc::new(config))
}

/// The configuration of dials: the other end must show a certificate for its name of one of the authorities.
///
/// # Errors
///
/// When the versions are of no use.
pub fn client_config(
    identity: Option<Identity>,
    authorities: &Authorities,
    min: MinVersion,
) -> Result<Arc<ClientConfig>, TlsError> {
    let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(versions(min))
        .map_err(|error| TlsError(error.to_string()))?
        .with_root_certificates(authorities.store())
        .with_client_cert_resolver(Arc::new(Shown(identity)));
    Ok(Arc::new(config))
}

/// The protocol in whose handshakes names are proven to a certificate authority (RFC 8737 section 4).
const ACME_TLS: &[u8] = b"acme-tls/1";

/// The configuration for handshakes in which a name is proven: for that protocol alone, without a client's
/// certificate.
///
/// # Errors
///
/// When the text holds no key or certificate.
pub fn proof_config(pem: &str) -> Result<Arc<ServerConfig>, TlsError> {
    let (chain, key) = pem_parts(pem)?;
    let provider = ring::default_provider();
    let key = provider.key_provider.load_private_key(key).map_err(|error| TlsError(error.to_string()))?;
    // Its one extension is critical and known to nobody else, so that it can't be checked as others are.
    let key = CertifiedKey::new(chain, key);
    let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(versions(MinVersion::Tls12))
        .map_err(|error| TlsError(error.to_string()))?
        .with_no_client_auth()
        .with_cert_resolver(Arc::new(SingleCertAndKey::from(key)));
    config.alpn_protocols = vec![ACME_TLS.to_vec()];
    Ok(Arc::new(config))
}

/// The TLS of one connection, without I/O.
pub(crate) struct Session {
    state: State,
    /// An alert to a client whose hello was of no use.
    alert: Vec<u8>,
}

enum State {
    /// The client's hello is awaited: it tells which configuration is used.
    Hello(Box<Acceptor>, Arc<ServerConfig>, Option<Arc<ServerConfig>>),
    Connection(Box<Connection>),
}

impl Session {
    /// The accepting end, with the configuration for handshakes that prove a name, if there is one.
    pub fn server(config: Arc<ServerConfig>, proof: Option<Arc<ServerConfig>>) -> Session {
        Session { state: State::Hello(Box::default(), config, proof), alert: Vec::new() }
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

    /// Whether it is there to prove a name and for nothing else. The accepting end alone proves; who asks is
    /// told of the connection and of its end as of any other.
    pub fn is_proof(&self) -> bool {
        match &self.state {
            State::Hello(..) => false,
            State::Connection(connection) => {
                matches!(**connection, Connection::Server(_)) && connection.alpn_protocol() == Some(ACME_TLS)
            }
        }
    }

    /// Whether the handshake took up an earlier one's secrets, and no certificate was shown.
    pub fn is_resumed(&self) -> bool {
        match &self.state {
            State::Hello(..) => false,
            State::Connection(connection) => connection.handshake_kind() == Some(HandshakeKind::Resumed),
        }
    }

    /// Takes the client's hello in, once it is whole.
    fn hello(&mut self, bytes: &mut &[u8]) -> Result<(), rustls::Error> {
        let State::Hello(acceptor, config, proof) = &mut self.state else { return Ok(()) };
        if acceptor.read_tls(bytes).is_err() {
            return Err(rustls::Error::General("more than is taken at once".to_owned()));
        }
        let accepted = match acceptor.accept() {
            Ok(Some(accepted)) => accepted,
            Ok(None) => return Ok(()),
            Err((error, mut alert)) => {
                let _ = alert.write_all(&mut self.alert);
                return Err(error);
            }
        };
        let proves = accepted.client_hello().alpn().is_some_and(|mut names| names.any(|n| n == ACME_TLS));
        let config = match (proof, proves) {
            (Some(proof), true) => proof.clone(),
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

    /// Takes bytes off the wire in; the plain bytes that they hold. An alert that says why something is refused
    /// is then in the output.
    pub fn decrypt(&mut self, mut bytes: &[u8]) -> Result<Vec<u8>, rustls::Error> {
        let mut plain = Vec::new();
        while !bytes.is_empty() {
            self.hello(&mut bytes)?;
            let State::Connection(connection) = &mut self.state else { continue };
            if !bytes.is_empty() && connection.read_tls(&mut bytes).is_err() {
                return Err(rustls::Error::General("more than is taken at once".to_owned()));
            }
            let state = connection.process_new_packets()?;
            let from = plain.len();
            plain.resize(from + state.plaintext_bytes_to_read(), 0);
            if connection.reader().read_exact(&mut plain[from..]).is_err() {
                plain.truncate(from);
            }
            if state.peer_has_closed() {
                break;
            }
        }
        Ok(plain)
    }

    /// Encrypts bytes into the output.
    pub fn encrypt(&mut self, bytes: &[u8], out: &mut Vec<u8>) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let State::Connection(connection) = &mut self.state else { return };
            // The session buffers no more than its limit: what it took is taken out at once.
            match connection.writer().write(rest) {
                Ok(count) if count > 0 => rest = &rest[count..],
                _ => break,
            }
            self.take_output(out);
        }
    }

    /// Moves what the session has to say to the output.
    pub fn take_output(&mut self, out: &mut Vec<u8>) {
        out.append(&mut self.alert);
        let State::Connection(connection) = &mut self.state else { return };
        while connection.wants_write() {
            if connection.write_tls(out).is_err() {
                return;
            }
        }
    }

    /// Says that nothing more comes.
    pub fn close(&mut self, out: &mut Vec<u8>) {
        if let State::Connection(connection) = &mut self.state {
            connection.send_close_notify();
        }
        self.take_output(out);
    }

    /// The other end's certificate (DER), where it showed one.
    pub fn peer_certificate(&self) -> Option<Vec<u8>> {
        let State::Connection(connection) = &self.state else { return None };
        Some(connection.peer_certificates()?.first()?.to_vec())
    }

    /// The DNS names in the other end's certificate.
    pub fn peer_names(&self) -> Vec<String> {
        let Some(certificate) = self.peer_certificate() else { return Vec::new() };
        match webpki::EndEntityCert::try_from(&CertificateDer::from(certificate)) {
            Ok(certificate) => certificate.valid_dns_names().map(str::to_ascii_lowercase).collect(),
            Err(_) => Vec::new(),
        }
    }
}
