//! The stand-in authority on loopback sockets: plain HTTP or HTTPS, and validations that look for real.

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

/// How long one connection may take.
const TIME: Duration = Duration::from_secs(5);

/// Where the names of a rehearsal are found.
#[derive(Clone, Copy, Debug, Default)]
pub struct Found {
    /// Where http-01 is looked for.
    pub http: Option<SocketAddr>,
    /// Where tls-alpn-01 is looked for.
    pub tls: Option<SocketAddr>,
}

struct Shared {
    authority: Mutex<Authority>,
    places: Mutex<HashMap<String, Found>>,
    placed: Condvar,
    away: AtomicBool,
    stop: AtomicBool,
    tls: Option<Arc<ServerConfig>>,
}

/// An authority that is up.
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
    /// Starts an authority; the base of its URLs is set here. With `secure` it speaks HTTPS under the name
    /// "authority.lab", with a certificate of its own.
    ///
    /// # Errors
    ///
    /// When no port is to be had or its keys can't be made.
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
            places: Mutex::default(),
            placed: Condvar::new(),
            away: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            tls,
        });
        let inner = shared.clone();
        let thread = std::thread::spawn(move || accept(&listener, &inner));
        Ok(Host { address, shared, thread: Some(thread) })
    }

    /// The authority, to look at and to change.
    pub fn authority(&self) -> MutexGuard<'_, Authority> {
        lock(&self.shared.authority)
    }

    /// Where a name is found from now on.
    pub fn place(&self, name: &str, found: Found) {
        lock(&self.shared.places).insert(name.to_owned(), found);
        self.shared.placed.notify_all();
    }

    /// Whether it closes every connection without a word, as a dead machine's front would.
    pub fn set_away(&self, away: bool) {
        self.shared.away.store(away, Ordering::SeqCst);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // Wakes the listener.
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
        if shared.away.load(Ordering::SeqCst) {
            continue;
        }
        let shared = shared.clone();
        // Whoever breaks off gets nothing more.
        std::thread::spawn(move || drop(serve(stream, &shared)));
    }
}

fn limit(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(TIME))?;
    stream.set_write_timeout(Some(TIME))
}

fn serve(stream: TcpStream, shared: &Arc<Shared>) -> io::Result<()> {
    limit(&stream)?;
    match &shared.tls {
        None => converse(stream, shared),
        Some(config) => {
            let connection = ServerConnection::new(config.clone()).map_err(io::Error::other)?;
            converse(StreamOwned::new(connection, stream), shared)
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

fn converse(mut stream: impl Read + Write, shared: &Arc<Shared>) -> io::Result<()> {
    let request = read_message(&mut stream, Side::Server)?;
    let (answer, looks) = {
        let mut authority = lock(&shared.authority);
        (authority.handle(now(), &request), authority.to_validate())
    };
    for look in looks {
        let shared = shared.clone();
        std::thread::spawn(move || {
            // A name that is not placed yet is waited for: whoever starts a node learns its ports late.
            let unknown = |places: &mut HashMap<String, Found>| !places.contains_key(&look.name);
            let places = shared.placed.wait_timeout_while(lock(&shared.places), TIME, unknown);
            let places = places.unwrap_or_else(PoisonError::into_inner).0;
            let found = places.get(&look.name).copied().unwrap_or_default();
            drop(places);
            let found = validate(&look, found);
            lock(&shared.authority).validated(look.authorization, found);
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

fn validate(look: &ToValidate, found: Found) -> Result<(), String> {
    let (kind, name) = (look.kind.as_str(), look.name.as_str());
    let place = if kind == "http-01" { found.http } else { found.tls };
    let place = place.ok_or_else(|| format!("{name} is not found"))?;
    let found = if kind == "http-01" { fetch(look, place) } else { handshake(look, place) };
    found.map_err(|error| format!("{name}: {error}"))
}

fn fetch(look: &ToValidate, place: SocketAddr) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&place, TIME)?;
    limit(&stream)?;
    let target = format!("/.well-known/acme-challenge/{}", look.token);
    let request = Message::request("GET", &look.name, &target).with("Connection", "close");
    stream.write_all(&request.to_bytes())?;
    let answer = read_message(&mut stream, Side::Client { head: false })?;
    match answer.status() == 200 && answer.body.trim_ascii_end() == look.expected.as_bytes() {
        true => Ok(()),
        false => Err(io::Error::other(format!("status {}, or another content", answer.status()))),
    }
}

/// RFC 8737 section 3: the name alone, and the digest in a critical extension.
fn handshake(look: &ToValidate, place: SocketAddr) -> io::Result<()> {
    let mut config = ClientConfig::builder_with_provider(Arc::new(provider::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(io::Error::other)?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(Anybody))
        .with_no_client_auth();
    config.alpn_protocols = vec![b"acme-tls/1".to_vec()];
    let name = ServerName::try_from(look.name.clone()).map_err(io::Error::other)?;
    let mut connection = ClientConnection::new(Arc::new(config), name).map_err(io::Error::other)?;
    let mut stream = TcpStream::connect_timeout(&place, TIME)?;
    limit(&stream)?;
    while connection.is_handshaking() {
        connection.complete_io(&mut stream)?;
    }
    if connection.alpn_protocol() != Some(b"acme-tls/1") {
        return Err(io::Error::other("the protocol was not taken up"));
    }
    let certificate = connection.peer_certificates().and_then(<[_]>::first);
    let certificate = certificate.ok_or_else(|| io::Error::other("no certificate"))?;
    let (_, certificate) = X509Certificate::from_der(certificate).map_err(io::Error::other)?;
    let names = certificate.subject_alternative_name().ok().flatten();
    let names: Vec<String> = names
        .map(|san| san.value.general_names.iter().map(ToString::to_string).collect())
        .unwrap_or_default();
    let hash = digest::digest(&digest::SHA256, look.expected.as_bytes());
    let expected = [&[4, 32], hash.as_ref()].concat();
    let proven = certificate.extensions().iter().any(|extension| {
        extension.oid.to_id_string() == "1.3.6.1.5.5.7.1.31"
            && extension.critical
            && extension.value == expected.as_slice()
    });
    match proven && names == [format!("DNSName({})", look.name)] {
        true => Ok(()),
        false => Err(io::Error::other(format!("a certificate for {names:?} that proves nothing"))),
    }
}

/// Takes any certificate: what it proves stands in it.
#[derive(Debug)]
struct Anybody;

impl ServerCertVerifier for Anybody {
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

/// The usual check refuses a certificate whose critical extension it does not know, which is this one's purpose:
/// whether the key is held is checked with ring.
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
