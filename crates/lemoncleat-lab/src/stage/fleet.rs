//! Many processes that reach each other through the relay only.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::{Control, Disk, Links, Process, Program, Ready};

/// Processes of a fleet at most.
const MOST: usize = 64;

/// One process of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name in links, and in the settings as these will have it.
    pub name: String,
    /// Where it stands.
    pub zone: String,
}

impl Member {
    /// So many members `n1`, `n2` and on, dealt out to zones in turn.
    pub fn spread(count: usize, zones: &[&str]) -> Vec<Member> {
        (1..=count)
            .zip(zones.iter().cycle())
            .map(|(number, zone)| Member { name: format!("n{number}"), zone: (*zone).to_owned() })
            .collect()
    }
}

/// What is started.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The binary and its arguments.
    pub program: Program,
    /// The processes.
    pub members: Vec<Member>,
    /// The folder that holds a folder for each; it is removed with the fleet, unless a test is failing.
    pub folder: PathBuf,
}

/// What the settings of a process are made from.
pub struct Site<'a> {
    links: &'a Links,
    /// The process.
    pub member: &'a Member,
    /// All processes.
    pub members: &'a [Member],
    /// Its directory.
    pub disk: &'a Path,
}

impl Site<'_> {
    /// The address at which this process reaches an end, through the relay.
    ///
    /// # Errors
    ///
    /// When no descriptor or port is left.
    pub fn address(&self, end: &str) -> io::Result<SocketAddr> {
        self.links.address(&self.member.name, end)
    }

    /// The other processes.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|other| *other != self.member)
    }
}

/// Processes that run. They end with this value.
pub struct Fleet {
    members: Vec<Member>,
    /// The processes, in the order of the members.
    pub processes: Vec<Process>,
    ready: Vec<Ready>,
    folder: PathBuf,
    keep: bool,
}

impl Fleet {
    /// Starts all at once and returns when all are ready. Each listens on a port of the system; the others know
    /// only the relay's address for it, and reach it from when it is ready. What it listens on first is the end
    /// of its name, a second listener is `name/1` and on, and `name/control` its control port.
    ///
    /// # Errors
    ///
    /// When one can't be started or ends before it is ready, with the end of its log.
    pub fn start(
        links: &Links,
        plan: FleetPlan,
        mut settings: impl FnMut(&Site) -> io::Result<String>,
    ) -> io::Result<Fleet> {
        let FleetPlan { program, members, folder } = plan;
        if members.len() > MOST {
            return Err(io::Error::other(format!("{} processes, at most {MOST}", members.len())));
        }
        let mut fleet = Fleet { members, processes: Vec::new(), ready: Vec::new(), folder, keep: false };
        for member in &fleet.members {
            let own = fleet.folder.join(&member.name);
            let site = Site { links, member, members: &fleet.members, disk: &own.join("disk") };
            fleet.processes.push(Process::start(&member.name, &program, &own, &settings(&site)?)?);
        }
        fleet.ready.resize(fleet.processes.len(), Ready::default());
        for at in 0..fleet.processes.len() {
            fleet.greet(links, at)?;
        }
        Ok(fleet)
    }

    /// Waits until a process is ready that was started again by itself, and leads its links to it.
    ///
    /// # Errors
    ///
    /// As [`Fleet::start`].
    pub fn greet(&mut self, links: &Links, at: usize) -> io::Result<()> {
        let Some((process, kept)) = self.processes.get(at).zip(self.ready.get_mut(at)) else {
            return Err(io::Error::other(format!("no process {at}")));
        };
        *kept = process.ready()?;
        for (number, address) in kept.listening.iter().enumerate() {
            let name = process.name();
            let end = if number == 0 { name.to_owned() } else { format!("{name}/{number}") };
            links.set_target(&end, *address)?;
        }
        if let Some(control) = kept.control {
            links.set_target(&format!("{}/control", process.name()), control)?;
        }
        Ok(())
    }

    /// Leaves settings, disks and logs where they are.
    pub fn keep(&mut self) -> &Path {
        self.keep = true;
        &self.folder
    }

    /// The members, in the order of the processes.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Names of the processes of a zone.
    pub fn of_zone(&self, zone: &str) -> Vec<&str> {
        self.members.iter().filter(|member| member.zone == zone).map(|member| &*member.name).collect()
    }

    /// Where a process really is, past the relay.
    pub fn ready(&self, at: usize) -> Option<&Ready> {
        self.ready.get(at)
    }

    /// Connects to the control port of a process, past the relay.
    ///
    /// # Errors
    ///
    /// When it has none or doesn't listen.
    pub fn control(&self, at: usize) -> io::Result<Control> {
        let address = self.ready.get(at).and_then(|ready| ready.control);
        Control::connect(
            address.ok_or_else(|| io::Error::other(format!("process {at} has no control port")))?,
        )
    }

    /// Starts a process again and returns when it is ready; its links lead to it then, wherever it listens.
    ///
    /// # Errors
    ///
    /// As [`Fleet::start`].
    pub fn restart(&mut self, links: &Links, at: usize, disk: Disk) -> io::Result<()> {
        self.processes
            .get_mut(at)
            .ok_or_else(|| io::Error::other(format!("no process {at}")))?
            .restart(disk)?;
        self.greet(links, at)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        if !self.keep && !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
