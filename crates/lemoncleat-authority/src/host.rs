//! Serves the test authority on loopback sockets over plain HTTP or HTTPS, and validates challenges over the
//! network.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lemoncleat_http::{Limits, Message, Reader, Side};
use ring::digest;
use ring::signature::{UnparsedPublicKey, ECDSA_P256_SHA256_ASN1};
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::ring as provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::{ClientConfig, ClientConnection, ServerConfig, ServerConnection, SignatureScheme, StreamOwned};
use x509_parser::prelude::{FromDer, X509Certificate};

use crate::authority::{Authority, AuthoritySettings, ToValidate};

/// Read, write and connect time-out of one connection, and the longest wait for a name's address.
const IO_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses at which a name's challenge responses are found.
#[derive(Clone, Copy, Debug, Default)]
pub struct Found {
    /// Address for http-01.
    pub http: Option<SocketAddr>,
    /// Address for tls-alpn-01.
    pub tls: Option<SocketAddr>,
}

struct Shared {
    authority: Mutex<Authority>,
    addresses: Mutex<HashMap<String, Found>>,
    address_added: Condvar,
    unreachable: AtomicBool,
    stop: AtomicBool,
    tls: Option<Arc<ServerConfig>>,
}

/// A running test authority; dropping it stops the listener.
pub struct Host {
    address: SocketAddr,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

fn now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as i64)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Host {
    /// Starts an authority and sets the base of its URLs. With `secure` it serves HTTPS under the name
    /// "localhost", with a certificate issued by itself.
    ///
    /// # Errors
    ///
    /// When no port can be bound or its keys can't be generated.
    pub fn start(settings: AuthoritySettings, secure: bool) -> Result<Host, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let scheme = if secure { "https" } else { "http" };
        let settings =
            AuthoritySettings { base: format!("{scheme}://localhost:{}", address.port()), ..settings };
        let mut authority = Authority::new(settings, now())?;
        let tls = match secure {
            false => None,
            true => {
                let names = ["localhost".to_owned()];
                let (chain, key) = authority.issue_plainly(&names, (now() - 60, now() + 86_400))?;
                let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(chain.as_bytes()).collect();
                let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(|error| error.to_string())?;
                let config = ServerConfig::builder_with_provider(Arc::new(provider::default_provider()))
                    .with_safe_default_protocol_versions()
                    .map_err(|error| error.to_string())?
                    .with_no_client_auth()
                    .with_single_cert(chain.map_err(|error| error.to_string())?, key)
                    .map_err(|error| error.to_string())?;
                Some(Arc::new(config))
            }
        };
        let shared = Arc::new(Shared {
            authority: Mutex::new(authority),
            addresses: Mutex::default(),
            address_added: Condvar::new(),
            unreachable: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            tls,
        });
        let listener_shared = shared.clone();
        let thread = std::thread::spawn(move || accept(&listener, &listener_shared));
        Ok(Host { address, shared, thread: Some(thread) })
    }

    /// Locks the authority for inspection or changes.
    pub fn authority(&self) -> MutexGuard<'_, Authority> {
        lock(&self.shared.authority)
    }

    /// Sets the addresses at which a name's challenge responses are found.
    pub fn place(&self, name: &str, found: Found) {
        lock(&self.shared.addresses).insert(name.to_owned(), found);
        self.shared.address_added.notify_all();
    }

    /// Sets whether it closes every connection without a response, like a proxy in front of a failed server.
    pub fn set_away(&self, unreachable: bool) {
        self.shared.unreachable.store(unreachable, Ordering::SeqCst);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Wakes the listener so that it sees `stop`.
        let _ = TcpStream::connect(self.address);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept() {
        if shared.stop.load(Ordering::SeqCst) {
            return;
        }
        if shared.unreachable.load(Ordering::SeqCst) {
            continue;
        }
        let shared = shared.clone();
        // Connection errors are ignored.
        std::thread::spawn(move || drop(serve(stream, &shared)));
    }
}

fn set_timeouts(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))
}

fn serve(stream: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    set_timeouts(&stream)?;
    match &shared.tls {
        None => handle_connection(stream, shared),
        Some(config) => {
            let connection = ServerConnection::new(config.clone()).map_err(io::Error::other)?;
            handle_connection(StreamOwned::new(connection, stream), shared)
        }
    }
}

fn read_message(stream: &mut impl Read, side: Side) -> io::Result<Message> {
    let mut reader = Reader::new(side, Limits::default());
    let mut buffer = [0; 8 * 1024];
    loop {
        if let Some(message) = reader.next_message().map_err(io::Error::other)? {
            return Ok(message);
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            let whole = reader.end().map_err(io::Error::other)?;
            return whole.ok_or_else(|| io::ErrorKind::UnexpectedEof.into());
        }
        reader.push(&buffer[..count]);
    }
}

fn handle_connection(mut stream: impl Read + Write, shared: &Arc<Shared>) -> io::Result<()> {
    let request = read_message(&mut stream, Side::Server)?;
    let (answer, validations) = {
        let mut authority = lock(&shared.authority);
        (authority.handle(now(), &request), authority.to_validate())
    };
    for validation in validations {
        let shared = shared.clone();
        std::thread::spawn(move || {
            // Wait for a name without an address: a node's ports are known only after it has started.
            let unknown = |addresses: &mut HashMap<String, Found>| !addresses.contains_key(&validation.name);
            let addresses =
                shared.address_added.wait_timeout_while(lock(&shared.addresses), IO_TIMEOUT, unknown);
            let addresses = addresses.unwrap_or_else(PoisonError::into_inner).0;
            let found = addresses.get(&validation.name).copied().unwrap_or_default();
            drop(addresses);
            let found = validate(&validation, found);
            lock(&shared.authority).validated(validation.authorization, found);
        });
    }
    let head = request.path().is_some_and(|(method, _)| method == "HEAD");
    let answer = answer.with("Connection", "close");
    stream.write_all(&if head {
        Message { body: Vec::new(), ..answer }.to_bytes()
    } else {
        answer.to_bytes()
    })?;
    stream.flush()
}

fn validate(validation: &ToValidate, found: Found) -> Result<(), String> {
    let (kind, name) = (validation.kind.as_str(), validation.name.as_str());
    let place = if kind == "http-01" { found.http } else { found.tls };
    let place = place.ok_or_else(|| format!("{name} is not found"))?;
    let found = if kind == "http-01" { fetch(validation, place) } else { handshake(validation, place) };
    found.map_err(|error| format!("{name}: {error}"))
}

fn fetch(validation: &ToValidate, place: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&place, IO_TIMEOUT)?;
    set_timeouts(&stream)?;
    let target = format!("/.well-known/acme-challenge/{}", validation.token);
    let request = Message::request("GET", &validation.name, &target).with("Connection", "close");
    stream.write_all(&request.to_bytes())?;
    let answer = read_message(&mut stream, Side::Client { head: false })?;
    match answer.status() == 200 && answer.body.trim_ascii_end() == validation.expected.as_bytes() {
        true => Ok(()),
        false => Err(io::Error::other(format!("status {}, or another content", answer.status()))),
    }
}

/// Checks a tls-alpn-01 certificate (RFC 8737 section 3): it has only this name, and the digest in a critical
/// extension.
fn handshake(validation: &ToValidate, place: SocketAddr) -> io::Result<()> {
    let mut config = ClientConfig::builder_with_provider(Arc::new(provider::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(io::Error::other)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyCertificate))
        .with_no_client_auth();
    config.alpn_protocols = vec![b"acme-tls/1".to_vec()];
    let name = ServerName::try_from(validation.name.clone()).map_err(io::Error::other)?;
    let mut connection = ClientConnection::new(Arc::new(config), name).map_err(io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&place, IO_TIMEOUT)?;
    set_timeouts(&stream)?;
    while connection.is_handshaking() {
        connection.complete_io(&mut stream)?;
    }
    if connection.alpn_protocol() != Some(b"acme-tls/1") {
        return Err(io::Error::other("acme-tls/1 was not negotiated"));
    }
    let certificate = connection.peer_certificates().and_then(<[_]>::first);
    let certificate = certificate.ok_or_else(|| io::Error::other("no certificate"))?;
    let (_, certificate) = X509Certificate::from_der(certificate).map_err(io::Error::other)?;
    let names = certificate.subject_alternative_name().ok().flatten();
    let names: Vec<String> = names
        .map(|san| san.value.general_names.iter().map(ToString::to_string).collect())
        .unwrap_or_default();
    let hash = digest::digest(&digest::SHA256, validation.expected.as_bytes());
    let expected = [&[4, 32], hash.as_ref()].concat();
    let proven = certificate.extensions().iter().any(|extension| {
        extension.oid.to_id_string() == "1.3.6.1.5.5.7.1.31"
            && extension.critical
            && extension.value == expected.as_slice()
    });
    match proven && names == [format!("DNSName({})", validation.name)] {
        true => Ok(()),
        false => Err(io::Error::other(format!("a certificate for {names:?} that proves nothing"))),
    }
}

/// Accepts any certificate; the proof is checked in its extension after the handshake.
#[derive(Debug)]
struct AcceptAnyCertificate;

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &rustls::DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        verify(message, certificate, signed)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        certificate: &CertificateDer<'_>,
        signed: &rustls::DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        verify(message, certificate, signed)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        vec![SignatureScheme::ECDSA_NISTP256_SHA256]
    }
}

/// Verifies the handshake signature with ring. The default verifier rejects certificates with an unknown
/// critical extension, and a tls-alpn-01 certificate always has one.
fn verify(
    message: &[u8],
    certificate: &CertificateDer<'_>,
    signed: &rustls::DigitallySignedStruct,
) -> Result<HandshakeSignatureValid, rustls::Error> {
    let wrong = || rustls::Error::InvalidCertificate(rustls::CertificateError::BadSignature);
    let (_, certificate) = X509Certificate::from_der(certificate).map_err(|_| wrong())?;
    let key =
        UnparsedPublicKey::new(&ECDSA_P256_SHA256_ASN1, &certificate.public_key().subject_public_key.data);
    key.verify(message, signed.signature()).map_err(|_| wrong())?;
    Ok(HandshakeSignatureValid::assertion())
}
