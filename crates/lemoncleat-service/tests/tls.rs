//! A node with TLS connections between a simulated client and server.

mod common;

use std::collections::HashMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::time::Duration;

use common::{aar, capabilities, cer, dwr};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{FrameReader, MessageBuilder, MessageRef};
use lemoncleat_net::{
    client_config, server_config, Authorities, Event, Identity, MinVersion, Net, ServerName, TlsFiles,
};
use lemoncleat_service::{read_config, spawn, Control, Running};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
const SERVER_LISTENER: u64 = 1;

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A test certificate authority and the directory with the files of all ends.
struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
    folder: Folder,
}

impl Authority {
    fn new(name: &str) -> Authority {
        let mut params = CertificateParams::new(Vec::new()).expect("good names");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key");
        let issuer = CertifiedIssuer::self_signed(params, key).expect("a certificate");
        let path = std::env::temp_dir().join(format!("lemoncleat-service-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        std::fs::write(path.join("ca.pem"), issuer.pem()).expect("it is written");
        Authority { issuer, folder: Folder(path) }
    }

    /// Writes the certificate and key files of an end; the certificate holds all given names.
    fn files(&self, names: &[&str]) -> TlsFiles {
        let key = KeyPair::generate().expect("a key");
        let params = CertificateParams::new(names.iter().map(ToString::to_string).collect::<Vec<_>>());
        let certificate = params.expect("good names").signed_by(&key, &self.issuer).expect("a certificate");
        let path = |end: &str| self.folder.0.join(format!("{}.{end}", names[0]));
        std::fs::write(path("pem"), certificate.pem()).expect("it is written");
        std::fs::write(path("key"), key.serialize_pem()).expect("it is written");
        TlsFiles { certificate: path("pem"), key: path("key") }
    }
}

/// The simulated peers: connections and the complete messages received on them.
struct Peers {
    net: Net<()>,
    authorities: Authorities,
    readers: HashMap<u64, FrameReader>,
    accepted: Vec<u64>,
    dialled: HashMap<u64, Option<u64>>,
    messages: Vec<(u64, Vec<u8>)>,
    closed: Vec<u64>,
}

impl Peers {
    async fn handle_event(&mut self) {
        match self.net.next(None).await {
            Some(Event::Accepted { conn, .. }) => self.accepted.push(conn),
            Some(Event::Dialled { tag, conn }) => drop(self.dialled.insert(tag, Some(conn))),
            Some(Event::DialFailed { tag, .. }) => drop(self.dialled.insert(tag, None)),
            Some(Event::Closed { conn }) => self.closed.push(conn),
            Some(Event::Bytes { conn, bytes }) => {
                let reader = self.readers.entry(conn).or_insert_with(|| FrameReader::new(1 << 16));
                reader.push(&bytes);
                while let Ok(Some(frame)) = reader.next_frame() {
                    self.messages.push((conn, frame.to_vec()));
                }
            }
            _ => {}
        }
        self.net.flush();
    }

    async fn message(&mut self) -> (u64, Vec<u8>) {
        while self.messages.is_empty() {
            self.handle_event().await;
        }
        self.messages.remove(0)
    }

    async fn dial(&mut self, tag: u64, node: &Running, files: &TlsFiles) -> u64 {
        let name = ServerName::try_from("node.example").expect("a name");
        let identity = Identity::read(files).expect("good files");
        let config = client_config(Some(identity), &self.authorities, MinVersion::Tls13).expect("good files");
        self.net.dial_with_tls(tag, name, config, HANDSHAKE_TIMEOUT);
        self.net.dial(node.address, tag, HANDSHAKE_TIMEOUT);
        while !self.dialled.contains_key(&tag) {
            self.handle_event().await;
        }
        self.dialled[&tag].expect("the handshake is done")
    }

    fn send(&mut self, conn: u64, bytes: &[u8]) {
        self.net.send(conn, bytes);
        self.net.flush();
    }
}

#[test]
fn call_is_set_up_over_tls_and_reload_affects_only_new_handshakes() {
    let authority = Authority::new("call");
    let node_files = authority.files(&["node.example"]);
    let server_files = authority.files(&["server.example"]);
    let client_files = authority.files(&["client.example"]);
    lemoncleat_net::run(async |mut net: Net<()>| {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let server_address = listener.local_addr().expect("an address");
        let authorities = Authorities::read(&authority.folder.0.join("ca.pem")).expect("an authority");
        let identity = Identity::read(&server_files).expect("good files");
        let config = server_config(Some(identity), &authorities, MinVersion::Tls13).expect("good files");
        net.listen_with_tls(SERVER_LISTENER, config, 10, HANDSHAKE_TIMEOUT);
        net.listen(listener, SERVER_LISTENER).expect("it listens");
        let text = format!(
            "(host node.example) (realm example) (listen 127.0.0.1:0)
             (tls (certificate \"{}\") (key \"{}\") (authorities \"{}\"))
             (servers (server (host server.example) (address {server_address})))
             (clients client.example impostor.example) (timing (drain 100ms) (close 100ms))
             (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
             (plan (prefix (digits 351) (class browse)))",
            node_files.certificate.display(),
            node_files.key.display(),
            authority.folder.0.join("ca.pem").display()
        );
        let config = read_config(&text).expect("good settings");
        let listener = TcpListener::bind(config.listen[0]).expect("a port");
        let node = spawn(config.service, listener).expect("it starts");
        let mut peers = Peers {
            net,
            authorities,
            readers: HashMap::new(),
            accepted: Vec::new(),
            dialled: HashMap::new(),
            messages: Vec::new(),
            closed: Vec::new(),
        };
        // The node dials the server and presents a certificate for its name.
        let (server, request) = peers.message().await;
        assert_eq!(peers.accepted, [server]);
        assert_eq!(peers.net.peer_names(server), Some(vec!["node.example".to_owned()]));
        let request = MessageRef::parse(&request).expect("a CER");
        let cea = capabilities(MessageBuilder::answer(&request, 2001), "server.example");
        peers.send(server, &cea);
        // The certificate of this client matches its Origin-Host.
        let client = peers.dial(10, &node, &client_files).await;
        peers.send(client, &cer("client.example"));
        let (_, cea) = peers.message().await;
        assert_eq!(MessageRef::parse(&cea).expect("a CEA").result_code(), 2001);
        // The certificate of this client is for another name.
        let impostor = peers.dial(11, &node, &client_files).await;
        peers.send(impostor, &cer("impostor.example"));
        let (on, cea) = peers.message().await;
        assert_eq!((on, MessageRef::parse(&cea).expect("a CEA").result_code()), (impostor, 3010));
        while !peers.closed.contains(&impostor) {
            peers.handle_event().await;
        }
        // Establishes a call.
        peers.send(client, &aar("s;1", 2, 9_000));
        let (on, attempt) = peers.message().await;
        assert_eq!(on, server);
        let answer = MessageBuilder::answer(&MessageRef::parse(&attempt).expect("an AAR"), 2001)
            .add_str(d::ORIGIN_HOST, "server.example")
            .add_str(d::ORIGIN_REALM, "example")
            .build();
        peers.send(server, &answer);
        let (on, answer) = peers.message().await;
        assert_eq!((on, MessageRef::parse(&answer).expect("an AAA").result_code()), (client, 2001));
        // A new certificate with a further name is used by the next handshake; open connections are not
        // affected.
        authority.files(&["node.example", "second.example"]);
        node.control(Control::ReloadTls);
        assert!(node.stats().is_some(), "the reload request was handled");
        let later = peers.dial(12, &node, &client_files).await;
        let names = peers.net.peer_names(later).expect("a certificate");
        assert!(names.contains(&"second.example".to_owned()), "{names:?}");
        // An invalid file changes nothing.
        std::fs::write(&node_files.certificate, "torn").expect("it is written");
        node.control(Control::ReloadTls);
        assert!(node.stats().is_some());
        let last = peers.dial(13, &node, &client_files).await;
        assert!(peers.net.peer_names(last).expect("a certificate").contains(&"second.example".to_owned()));
        peers.send(client, &dwr("client.example", 5));
        let (on, dwa) = peers.message().await;
        assert_eq!((on, MessageRef::parse(&dwa).expect("a DWA").result_code()), (client, 2001));
        assert_eq!(node.stats().map(|stats| stats.standing), Some(1));
        // Closes the simulated peers first, so that the stopping node has no connection to wait for.
        drop(peers);
        let stopped = std::thread::spawn(move || node.stop().map(|stats| stats.stood)).join();
        assert!(matches!(stopped, Ok(Ok(1))));
    });
}
