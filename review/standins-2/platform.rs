//! The platform: it writes configurations, starts access nodes with the deploy file's `run`, and ends them.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::caller::{Caller, Calls};
use crate::journal::Journal;
use crate::record::{now, record};
use crate::server::CallServer;
use crate::unable;

pub const CLASSES: [&str; 2] = ["browse", "mark-sold"];

/// One entry of the list of call servers.
pub fn entry(server: &CallServer, status: &str, since_ms: u64) -> String {
    format!(
        r#"{{"name":"{}","address":"{}","zone":"lisboa","type":"small-1c","group":{},"status":"{status}","weight":1,"since_ms":{since_ms}}}"#,
        server.name, server.address, server.group
    )
}

/// An event of the journal service.
pub fn event(pos: usize, snapshot: bool, entries: &[String]) -> String {
    format!(
        r#"{{"pos":{pos},"hosts":{{"index":{pos},"snapshot":{snapshot},"endpoints":[{}]}}}}"#,
        entries.join(",")
    )
}

/// The event that lists all servers at the beginning.
pub fn first_event(servers: &[&CallServer]) -> String {
    let entries: Vec<String> = servers.iter().map(|server| entry(server, "up", 0)).collect();
    event(1, true, &entries)
}

/// The settings of a small deployment: three call servers, five access nodes, the figures of the pages.
fn settings(groups: &[i64]) -> String {
    let pools: Vec<String> = groups.iter().map(i64::to_string).collect();
    let pools = pools.join(",");
    format!(
        r#"{{"azs":["lisboa","porto","faro"],"balancers":5,"slot_no":0,"zone":"lisboa","family":"trunks","stage":0,
"tiers":["listing-pool"],"kinds":["small-1c"],"projects":[],"weights":"none","worth_by":"request","resolution_us":5000,
"clients":{{"marks_retry":false}},"membership_mode":"automatic","over_share_worth":0.1,
"classes":[
{{"name":"browse","aim_us":1500000,"deadline_us":9000000,"effect":"retryable","group":"all","dedup_window_us":5000000,"stream":true,"worth":1.0,"late_worth":0.25}},
{{"name":"mark-sold","aim_us":1000000,"deadline_us":6000000,"effect":"retryable","group":"all","dedup_window_us":5000000,"stream":true,"worth":8.0,"late_worth":0.1}}],
"family_info":{{"advice":false,"allowed_pools":[[{pools}],[{pools}]],"call_length_us":[8600000,6900000],"guard_us":300000,"home_no":-1,
"layout":"groups","peer_load":"answers","repeat_us":400000,"tells_wait":true,"widths":[1,1]}},
"invariants":{{"ask_every_us":10000000,"cold_from":0.3,"cold_us":15000000,"drain_grace_us":2000000,"fall_us":1000000,"grace_to_answer_us":20000,"tip_multiple":4.0}},
"limits":{{"cancelling":true,"conn_idle_us":600000000,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout_us":500000,
"max_retry_after_us":2000000,"most_held":20000,"most_tries":4,"parallel_tries":false,"peer_messages":true,"probes":false,"retry_after":false,"streams_per_conn":1048576}},
"report":{{"how":"answers","names":["x0","x1","latency_ms"]}}}}"#
    )
}

/// An access node: its configuration file, and its process while it runs.
pub struct Node {
    pub name: &'static str,
    pub listen: SocketAddr,
    groups: Vec<i64>,
    folder: PathBuf,
    file: PathBuf,
    starts: u32,
    child: Option<Child>,
}

impl Node {
    pub fn new(name: &'static str, folder: &str, servers: &[&CallServer]) -> Node {
        let free = TcpListener::bind("127.0.0.1:0").and_then(|socket| socket.local_addr());
        let listen = free.unwrap_or_else(|error| unable(&format!("no free port: {error}")));
        let folder = Path::new(folder).to_owned();
        let file = folder.join(format!("{name}.json"));
        let groups = servers.iter().map(|server| server.group).collect();
        Node { name, listen, groups, folder, file, starts: 0, child: None }
    }

    /// Writes the configuration: the journal service's address, and its events up to now.
    pub fn configure(&mut self, journal: &Journal) {
        self.starts += 1;
        let text = format!(
            r#"{{"name":"{}","listen":"{}","seed":"8c1f30d27a5be9{:02x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":256}},
"journal":"{}","known":{{"pos":{},"entries":[{}]}},"settings":{}}}"#,
            self.name,
            self.listen,
            self.starts,
            journal.address,
            journal.len(),
            journal.events().join(","),
            settings(&self.groups)
        );
        let part = self.file.with_extension("part");
        let written = std::fs::write(&part, text).and_then(|()| std::fs::rename(&part, &self.file));
        written.unwrap_or_else(|error| unable(&format!("{}: {error}", self.file.display())));
    }

    /// Starts the process by the deploy file's `run`, and waits until it passes a test.
    pub fn start(&mut self) {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.unwrap_or_else(|| unable("deploy/balancer.toml has no `run`")).to_owned();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)));
        let log = log.unwrap_or_else(|error| unable(&error.to_string()));
        let errors = log.try_clone().unwrap_or_else(|error| unable(&error.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("BALANCER_NAME", self.name)
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_CONFIG", &self.file)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.unwrap_or_else(|error| unable(&format!("{run}: {error}")));
        // The script ends what this file names if this program can't.
        let _ = std::fs::write(self.file.with_extension("pid"), child.id().to_string());
        self.child = Some(child);
        record(format!("{}: started", self.name));
        let calls = Calls::default();
        for _ in 0..500 {
            if Caller::connect("platform", self.listen, &calls).is_some_and(|front| front.test() == Some(200))
            {
                return record(format!("{}: ready", self.name));
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        unable("the access node does not get ready");
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            record(format!("{}: SIG{signal}", self.name));
            let sent =
                Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", child.id())]).status();
            if !sent.is_ok_and(|status| status.success()) {
                unable("a signal could not be sent");
            }
        }
    }

    /// Kills the process outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            let _ = std::fs::remove_file(self.file.with_extension("pid"));
            record(format!("{}: killed at {:.3}", self.name, now()));
        }
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
