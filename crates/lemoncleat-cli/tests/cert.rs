//! Tests of `lemoncleat cert` and of a node with ACME, against a simulated certificate authority.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

use lemoncleat_authority::{AuthoritySettings, Found, Host};

fn lemoncleat(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lemoncleat")).args(args).output().expect("the command runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A folder used by one test and deleted when dropped.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A child process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn start(args: &[&str]) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lemoncleat"));
        command.args(args).stdout(Stdio::piped()).stderr(Stdio::piped());
        Process(command.spawn().expect("the command runs"))
    }

    /// Reads lines of standard output up to one that starts with `prefix` and returns the address at its end.
    fn address(lines: &mut impl Iterator<Item = std::io::Result<String>>, prefix: &str) -> SocketAddr {
        let line = lines.by_ref().map(|line| line.expect("a line")).find(|line| line.starts_with(prefix));
        let line = line.unwrap_or_else(|| panic!("no line begins with {prefix:?}"));
        line[prefix.len()..].trim().parse().expect("an address")
    }
}

fn authority() -> Host {
    let settings = AuthoritySettings {
        base: String::new(),
        lifetime: 3_600,
        backdate: 60,
        external: None,
        window: None,
        seed: 5,
    };
    Host::start(settings, false).expect("an authority")
}

/// Writes the settings of a node that obtains its certificate from `host` and returns the file's path.
fn settings(folder: &Folder, host: &Host) -> String {
    let roots = folder.0.join("roots.pem");
    std::fs::write(&roots, &host.authority().roots()[0]).expect("written");
    let text = format!(
        "(host n.example) (realm example) (listen 127.0.0.1:0) (control 127.0.0.1:0)
(tls (authorities \"{}\")
     (acme (directory \"{}\") (state \"{}\") (challenge-listen 127.0.0.1:0) (look 1s) (first-wait 1s)))
(servers (server (host s.example) (address 127.0.0.1:9)))
(clients c.example)
(classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
(plan (prefix (digits 351) (class browse)))
",
        roots.display(),
        host.authority().directory(),
        folder.0.join("state").display(),
    );
    let file = folder.0.join("node.lisp");
    std::fs::write(&file, text).expect("written");
    file.to_str().expect("a UTF-8 path").to_owned()
}

fn folder(name: &str) -> Folder {
    let path = std::env::temp_dir().join(format!("lemoncleat-cert-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a folder");
    Folder(path)
}

#[test]
fn certificate_is_requested_shown_and_revoked_and_account_key_rolled() {
    let (host, folder) = (authority(), folder("tool"));
    let file = settings(&folder, &host);
    let listing = lemoncleat(&["cert", "--config", &file]);
    assert_eq!(listing.status.code(), Some(0), "{}", text(&listing.stderr));
    assert!(text(&listing.stdout).contains("account: none yet"));
    let mut request = Process::start(&["cert", "--config", &file, "request"]);
    let mut lines = BufReader::new(request.0.stdout.take().expect("piped")).lines();
    let challenges = Process::address(&mut lines, "challenges on ");
    host.place("n.example", Found { http: Some(challenges), tls: None });
    let output_text: Vec<String> = lines.map(|line| line.expect("a line")).collect();
    assert!(
        output_text.iter().any(|line| line.starts_with("new certificate, valid until")),
        "{output_text:?}"
    );
    assert_eq!(request.0.wait().expect("an exit status").code(), Some(0));
    let listing = lemoncleat(&["cert", "--config", &file, "show", "--json"]);
    let listing: serde_json::Value = serde_json::from_slice(&listing.stdout).expect("JSON");
    let certificate = &listing["certificates"][0];
    assert_eq!((&certificate["state"], &certificate["names"][0]), (&"valid".into(), &"n.example".into()));
    let rolled = lemoncleat(&["cert", "--config", &file, "roll-key", "--kind", "eddsa"]);
    assert_eq!(rolled.status.code(), Some(0), "{}", text(&rolled.stderr));
    let id = certificate["id"].as_str().expect("a name");
    let revoked = lemoncleat(&["cert", "--config", &file, "revoke", id, "--reason", "4"]);
    assert_eq!(revoked.status.code(), Some(0), "{}", text(&revoked.stderr));
    assert!(host.authority().issued()[0].revoked);
    let again = lemoncleat(&["cert", "--config", &file, "revoke", id]);
    assert_eq!(again.status.code(), Some(1));
    assert_eq!(text(&again.stderr).lines().count(), 1, "{}", text(&again.stderr));
    assert_eq!(host.authority().complaints(), [""; 0]);
}

#[test]
fn node_obtains_certificate_and_renews_over_control_port() {
    let (host, folder) = (authority(), folder("node"));
    let file = settings(&folder, &host);
    let mut node = Process::start(&["node", "--config", &file]);
    let mut lines = BufReader::new(node.0.stdout.take().expect("piped")).lines();
    let control = Process::address(&mut lines, "control on ");
    let challenges = Process::address(&mut lines, "challenges on ");
    host.place("n.example", Found { http: Some(challenges), tls: None });
    let log = BufReader::new(node.0.stderr.take().expect("piped")).lines();
    let mut log =
        log.map(|line| line.expect("a line")).filter(|line| line.contains("new certificate, valid"));
    assert!(log.next().is_some(), "the first certificate");
    let renewed = lemoncleat(&["cert", "--config", &file, "renew", "--control", &control.to_string()]);
    assert_eq!(renewed.status.code(), Some(0), "{}", text(&renewed.stderr));
    assert!(log.next().is_some(), "the requested certificate");
    assert_eq!(host.authority().issued().len(), 2);
}

#[test]
fn invalid_acme_settings_are_reported_in_one_line() {
    let (host, folder) = (authority(), folder("bad"));
    let file = settings(&folder, &host);
    let valid = std::fs::read_to_string(&file).expect("a settings file");
    for (old, new, expected) in [
        ("(directory \"http", "(directory \"ftp", "tls.acme.directory"),
        ("(challenge-listen 127.0.0.1:0)", "", "tls.acme.challenge-listen: missing"),
        ("(look 1s)", "(look 1ms)", "expected 1s at the least"),
        ("(look 1s)", "(renew-at 2)", "tls.acme.renew-at"),
        ("(tls (", "(tls (certificate a) (", "expected either certificate and key, or acme"),
    ] {
        std::fs::write(&file, valid.replace(old, new)).expect("written");
        let output = lemoncleat(&["check", &file]);
        let output_text = text(&output.stderr);
        assert_eq!((output.status.code(), output_text.lines().count()), (Some(2), 1), "{output_text}");
        assert!(output_text.contains(expected), "{output_text}");
    }
    std::fs::write(&file, valid.replace("(tls", "(plain yes) ; (tls").replace("     (acme", " ; (acme"))
        .expect("written");
    let output = lemoncleat(&["cert", "--config", &file]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("tls.acme: missing"), "{}", text(&output.stderr));
}
