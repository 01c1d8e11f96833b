//! TLS of a rehearsal: the stand-in authority, the stand-ins' own certificates, and what each node is told.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use lemoncleat_authority::{AuthoritySettings, Found, Host, Stage};
use lemoncleat_net::{
    client_config, server_config, Authorities, ClientConfig, Identity, MinVersion, ServerConfig,
};

use crate::day::CertificateDay;

/// Stand-ins' own certificates outlast any rehearsal.
const LONG: i64 = 86_400;
/// Handshakes that a stand-in takes at once, and how long each may take.
pub(crate) const HANDSHAKES: usize = 256;
pub(crate) const HANDSHAKE: std::time::Duration = std::time::Duration::from_secs(5);

/// An authority on loopback, and certificates by it for stand-ins and nodes.
pub struct Credentials {
    host: Host,
    folder: PathBuf,
    authorities: Authorities,
    day: CertificateDay,
}

/// Seconds since 1970.
pub(crate) fn wall() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as i64)
}

impl Credentials {
    /// Starts the authority.
    ///
    /// # Errors
    ///
    /// When no port, key or folder is to be had.
    pub fn new(day: &CertificateDay, seed: u64) -> Result<Credentials, String> {
        let settings = AuthoritySettings {
            base: String::new(),
            lifetime: day.lifetime.0 / 1_000_000,
            backdate: 1,
            external: None,
            window: None,
            seed,
        };
        let host = Host::start(settings, false)?;
        host.authority().faults.bad_nonces = day.bad_nonces;
        let name = format!("lemoncleat-rehearsal-{}-{seed:x}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let told = |error: std::io::Error| format!("{}: {error}", folder.display());
        std::fs::create_dir_all(&folder).map_err(told)?;
        let roots = folder.join("roots.pem");
        std::fs::write(&roots, &host.authority().roots()[0]).map_err(told)?;
        let authorities = Authorities::read(&roots).map_err(|error| error.to_string())?;
        Ok(Credentials { host, folder, authorities, day: day.clone() })
    }

    fn identity(&self, name: &str) -> Result<Identity, String> {
        let now = wall();
        let names = [name.to_owned()];
        let (chain, key) = self.host.authority().issue_plainly(&names, (now - LONG, now + LONG))?;
        Identity::from_pem(&format!("{key}{chain}")).map_err(|error| error.to_string())
    }

    /// The configuration of a stand-in's listener.
    ///
    /// # Errors
    ///
    /// When its certificate can't be made.
    pub fn server(&self, name: &str) -> Result<Arc<ServerConfig>, String> {
        let config = server_config(Some(self.identity(name)?), &self.authorities, MinVersion::Tls13);
        config.map_err(|error| error.to_string())
    }

    /// A configuration of its own for each dial: nothing is taken up from an earlier one, so that every handshake
    /// shows a certificate.
    ///
    /// # Errors
    ///
    /// When the identity is of no use.
    pub fn client(&self, identity: &Identity) -> Result<Arc<ClientConfig>, String> {
        let config = client_config(Some(identity.clone()), &self.authorities, MinVersion::Tls13);
        config.map_err(|error| error.to_string())
    }

    /// Who a stand-in is when it dials.
    ///
    /// # Errors
    ///
    /// When its certificate can't be made.
    pub fn client_identity(&self, name: &str) -> Result<Identity, String> {
        self.identity(name)
    }

    /// A node's form for TLS with files that nobody renews.
    ///
    /// # Errors
    ///
    /// When they can't be made or written.
    pub fn node_with_files(&self, name: &str) -> Result<String, String> {
        let now = wall();
        let names = [name.to_owned()];
        let (chain, key) = self.host.authority().issue_plainly(&names, (now - LONG, now + LONG))?;
        let folder = self.folder.display();
        for (end, text) in [("pem", chain), ("key", key)] {
            let file = self.folder.join(format!("{name}.{end}"));
            std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))?;
        }
        Ok(format!(
            "(tls (authorities \"{folder}/roots.pem\") (certificate \"{folder}/{name}.pem\") (key \"{folder}/{name}.key\"))"
        ))
    }

    /// A node's form for TLS with certificates by ACME.
    pub fn node(&self, node: u16) -> String {
        let CertificateDay { renew_at, challenge, .. } = &self.day;
        format!(
            "(tls (authorities \"{0}/roots.pem\") (acme (directory \"{1}\") (state \"{0}/node-{node}\")
  (challenge {challenge}) (challenge-listen 127.0.0.1:0) (renew-at {renew_at}) (spread 0.1)
  (first-wait 1s) (most-wait 5s) (least-wait 1s) (answer-time 2s) (look 5s)))",
            self.folder.display(),
            self.host.authority().directory(),
        )
    }

    /// Where a node's name is to be looked for.
    pub(crate) fn place(&self, node: u16, address: SocketAddr, challenge: Option<SocketAddr>) {
        self.host.place(&format!("node-{node}.lab"), Found { http: challenge, tls: Some(address) });
    }

    pub(crate) fn away(&self, away: bool) {
        self.host.set_away(away);
    }

    /// Refusals partway: at every other step for good, so that the order is dead.
    pub(crate) fn refuse(&self, on: bool) {
        let stages =
            [Stage::NewOrder, Stage::Authorization, Stage::Challenge, Stage::Finalize, Stage::Download];
        let refusal = |(index, stage): (usize, &Stage)| match index % 2 {
            0 => (*stage, 500, "serverInternal", 1),
            _ => (*stage, 403, "unauthorized", 1),
        };
        self.host.authority().faults.refuse =
            if on { stages.iter().enumerate().map(refusal).collect() } else { Vec::new() };
    }

    /// Certificates that the authority issued to nodes, and what nodes did that no client may do.
    pub(crate) fn told(&self) -> (usize, Vec<String>) {
        let authority = self.host.authority();
        (authority.issued().len(), authority.complaints().to_vec())
    }
}

impl Drop for Credentials {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
