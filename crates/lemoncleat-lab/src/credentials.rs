//! TLS of a run: the stand-in authority, the stand-ins' own certificates, and the TLS settings of each node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use lemoncleat_authority::{AuthoritySettings, Found, Host, Stage};
use lemoncleat_net::{
    client_config, server_config, Authorities, ClientConfig, Identity, MinVersion, ServerConfig,
};

use crate::day::CertificateDay;

/// Time before and after their issue in which stand-ins' own certificates are valid; longer than any run.
const OWN_CERTIFICATE_MARGIN_S: i64 = 86_400;
/// Concurrent handshakes that a stand-in accepts, and the time limit of each.
pub(crate) const MAX_HANDSHAKES: usize = 256;
pub(crate) const HANDSHAKE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(5);

/// A certificate authority on loopback, and its certificates for stand-ins and nodes.
pub struct Credentials {
    host: Host,
    folder: PathBuf,
    authorities: Authorities,
    day: CertificateDay,
}

/// Returns the seconds since 1970.
pub(crate) fn unix_seconds() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as i64)
}

impl Credentials {
    /// Starts the authority.
    ///
    /// # Errors
    ///
    /// Fails if no port, key or folder can be created.
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
        let describe = |error: std::io::Error| format!("{}: {error}", folder.display());
        std::fs::create_dir_all(&folder).map_err(describe)?;
        let roots = folder.join("roots.pem");
        std::fs::write(&roots, &host.authority().roots()[0]).map_err(describe)?;
        let authorities = Authorities::read(&roots).map_err(|error| error.to_string())?;
        Ok(Credentials { host, folder, authorities, day: day.clone() })
    }

    fn identity(&self, name: &str) -> Result<Identity, String> {
        let now = unix_seconds();
        let names = [name.to_owned()];
        let (chain, key) = self
            .host
            .authority()
            .issue_plainly(&names, (now - OWN_CERTIFICATE_MARGIN_S, now + OWN_CERTIFICATE_MARGIN_S))?;
        Identity::from_pem(&format!("{key}{chain}")).map_err(|error| error.to_string())
    }

    /// Returns the TLS configuration of a stand-in's listener.
    ///
    /// # Errors
    ///
    /// Fails if its certificate can't be created.
    pub fn server(&self, name: &str) -> Result<Arc<ServerConfig>, String> {
        let config = server_config(Some(self.identity(name)?), &self.authorities, MinVersion::Tls13);
        config.map_err(|error| error.to_string())
    }

    /// Returns a new TLS configuration for one dial. Sessions are not resumed between dials, so that the node
    /// presents a certificate in every handshake.
    ///
    /// # Errors
    ///
    /// Fails if the identity can't be used.
    pub fn client(&self, identity: &Identity) -> Result<Arc<ClientConfig>, String> {
        let config = client_config(Some(identity.clone()), &self.authorities, MinVersion::Tls13);
        config.map_err(|error| error.to_string())
    }

    /// Returns the identity that a stand-in uses when it dials.
    ///
    /// # Errors
    ///
    /// Fails if its certificate can't be created.
    pub fn client_identity(&self, name: &str) -> Result<Identity, String> {
        self.identity(name)
    }

    /// Returns a node's settings form for TLS with certificate files that are not renewed.
    ///
    /// # Errors
    ///
    /// Fails if the files can't be created or written.
    pub fn node_with_files(&self, name: &str) -> Result<String, String> {
        let now = unix_seconds();
        let names = [name.to_owned()];
        let (chain, key) = self
            .host
            .authority()
            .issue_plainly(&names, (now - OWN_CERTIFICATE_MARGIN_S, now + OWN_CERTIFICATE_MARGIN_S))?;
        let folder = self.folder.display();
        for (end, text) in [("pem", chain), ("key", key)] {
            let file = self.folder.join(format!("{name}.{end}"));
            std::fs::write(&file, text).map_err(|error| format!("{}: {error}", file.display()))?;
        }
        Ok(format!(
            "(tls (authorities \"{folder}/roots.pem\") (certificate \"{folder}/{name}.pem\") (key \"{folder}/{name}.key\"))"
        ))
    }

    /// Returns a node's settings form for TLS with certificates obtained by ACME.
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

    /// Registers the addresses at which the authority validates a node's name.
    pub(crate) fn register_node(&self, node: u16, address: SocketAddr, challenge: Option<SocketAddr>) {
        self.host.place(&format!("node-{node}.lab"), Found { http: challenge, tls: Some(address) });
    }

    pub(crate) fn set_away(&self, away: bool) {
        self.host.set_away(away);
    }

    /// Starts or ends refusals at each step; every other step refuses permanently, which invalidates the
    /// order.
    pub(crate) fn set_refusing(&self, on: bool) {
        let stages =
            [Stage::NewOrder, Stage::Authorization, Stage::Challenge, Stage::Finalize, Stage::Download];
        let refusal = |(index, stage): (usize, &Stage)| match index % 2 {
            0 => (*stage, 500, "serverInternal", 1),
            _ => (*stage, 403, "unauthorized", 1),
        };
        self.host.authority().faults.refuse =
            if on { stages.iter().enumerate().map(refusal).collect() } else { Vec::new() };
    }

    /// Returns the number of certificates issued to nodes, and the nodes' violations of the ACME protocol.
    pub(crate) fn issue_report(&self) -> (usize, Vec<String>) {
        let authority = self.host.authority();
        (authority.issued().len(), authority.complaints().to_vec())
    }
}

impl Drop for Credentials {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
