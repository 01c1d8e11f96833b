//! Processes that reach each other only through the relay.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use super::{Control, Disk, Links, Process, Program, Ready};

/// Maximum number of processes in a fleet.
const MAX_PROCESSES: usize = 64;

/// A process of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Name of the process in [`Links`]; settings may use it too.
    pub name: String,
    /// Zone of the process.
    pub zone: String,
}

impl Member {
    /// Returns `count` members `n1`, `n2` and so on, assigned to the zones in turn.
    pub fn spread(count: usize, zones: &[&str]) -> Vec<Member> {
        (1..=count)
            .zip(zones.iter().cycle())
            .map(|(number, zone)| Member { name: format!("n{number}"), zone: (*zone).to_owned() })
            .collect()
    }
}

/// Processes to start as a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Binary and arguments.
    pub program: Program,
    /// Members of the fleet, one per process.
    pub members: Vec<Member>,
    /// Folder that contains a folder for each process. It is removed with the fleet, unless the thread
    /// panics.
    pub folder: PathBuf,
}

/// Data from which the settings of a process are made.
pub struct Site<'a> {
    links: &'a Links,
    /// The process's own entry.
    pub member: &'a Member,
    /// All members of the fleet.
    pub members: &'a [Member],
    /// Working directory of the process.
    pub disk: &'a Path,
}

impl Site<'_> {
    /// Returns the relay's address at which this process reaches an end.
    ///
    /// # Errors
    ///
    /// Fails when no descriptor or port is available.
    pub fn address(&self, end: &str) -> io::Result<SocketAddr> {
        self.links.address(&self.member.name, end)
    }

    /// Returns the other members.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|other| *other != self.member)
    }
}

/// Running processes. They are killed when this value is dropped.
pub struct Fleet {
    members: Vec<Member>,
    /// Processes, in the order of the members.
    pub processes: Vec<Process>,
    ready: Vec<Ready>,
    folder: PathBuf,
    keep: bool,
}

impl Fleet {
    /// Starts all processes at once and returns when all are ready. Each listens on a port chosen by the
    /// system; the others know only the relay's address for it, and reach it once it is ready. The first
    /// listener is the end with the process's name, further ones are `name/1` and so on, and the control port
    /// is `name/control`.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started or ends before it is ready, with the end of its log in the
    /// error.
    pub fn start(
        links: &Links,
        plan: FleetPlan,
        mut settings: impl FnMut(&Site) -> io::Result<String>,
    ) -> io::Result<Fleet> {
        let FleetPlan { program, members, folder } = plan;
        if members.len() > MAX_PROCESSES {
            return Err(io::Error::other(format!("{} processes, at most {MAX_PROCESSES}", members.len())));
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

    /// Waits until a process is ready and points the relay's links at its addresses. Needed for a process
    /// that was restarted without [`Fleet::restart`].
    ///
    /// # Errors
    ///
    /// Fails as [`Fleet::start`] does.
    pub fn greet(&mut self, links: &Links, at: usize) -> io::Result<()> {
        let Some((process, stored)) = self.processes.get(at).zip(self.ready.get_mut(at)) else {
            return Err(io::Error::other(format!("no process {at}")));
        };
        *stored = process.ready()?;
        for (number, address) in stored.listening.iter().enumerate() {
            let name = process.name();
            let end = if number == 0 { name.to_owned() } else { format!("{name}/{number}") };
            links.set_target(&end, *address)?;
        }
        if let Some(control) = stored.control {
            links.set_target(&format!("{}/control", process.name()), control)?;
        }
        Ok(())
    }

    /// Keeps settings, disks and logs when the fleet ends, and returns their folder.
    pub fn keep(&mut self) -> &Path {
        self.keep = true;
        &self.folder
    }

    /// Returns the members, in the order of the processes.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the names of the processes in a zone.
    pub fn of_zone(&self, zone: &str) -> Vec<&str> {
        self.members.iter().filter(|member| member.zone == zone).map(|member| &*member.name).collect()
    }

    /// Returns the addresses of a process itself, not those of the relay.
    pub fn ready(&self, at: usize) -> Option<&Ready> {
        self.ready.get(at)
    }

    /// Connects to the control port of a process directly, without the relay.
    ///
    /// # Errors
    ///
    /// Fails when the process has no control port or does not listen on it.
    pub fn control(&self, at: usize) -> io::Result<Control> {
        let address = self.ready.get(at).and_then(|ready| ready.control);
        Control::connect(
            address.ok_or_else(|| io::Error::other(format!("process {at} has no control port")))?,
        )
    }

    /// Restarts a process and returns when it is ready and the relay's links point at its new addresses.
    ///
    /// # Errors
    ///
    /// Fails as [`Fleet::start`] does.
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
