//! Placement of the nodes of a fleet in zones and regions, and their settings.

use std::fmt::Write;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::os::fd::OwnedFd;
use std::path::Path;

use rustix::net::{self, AddressFamily, SocketType};
use rustix::process::{getrlimit, Resource};

use super::host::{HollowNode, HollowPlan};
use super::{ScalePlan, MAX_NODES, MIN_NODES};
use crate::stage::Links;

/// Region of each zone.
const REGIONS: [usize; 8] = [0, 0, 0, 1, 1, 1, 2, 2];
/// Zones of the voters: five are spread two, two and one over the regions, three are one in each region.
const VOTER_ZONES: [usize; 5] = [0, 3, 6, 1, 4];
/// Maximum number of nodes of a rack; each rack is one process.
const MAX_RACK_NODES: usize = 40;
/// Estimate of the simultaneous connections of a node to others. Three or four are permanent; more are opened
/// for single messages. The estimate does not cover an overloaded machine: while 1,000 nodes started on one
/// that could not keep up, a node of a rack used 57 descriptors and the relay all that the system allows.
const CONNECTIONS_PER_NODE: usize = 6;
/// Descriptors of a node besides its connections: listener, control port and the client connected to it.
const DESCRIPTORS_PER_NODE: usize = 4;
/// Descriptors of a process besides those of its nodes.
const DESCRIPTORS_PER_PROCESS: usize = 64;

/// Role of a node in a rehearsal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Role {
    Hollow,
    Real,
    Voter,
}

impl Role {
    pub(super) fn name(self) -> &'static str {
        match self {
            Role::Hollow => "hollow",
            Role::Real => "real",
            Role::Voter => "voter",
        }
    }
}

pub(super) struct Place {
    pub(super) host: String,
    pub(super) role: Role,
    pub(super) zone: usize,
    /// Listening address, for hollow nodes.
    pub(super) address: Option<SocketAddr>,
}

impl Place {
    pub(super) fn region(&self) -> usize {
        REGIONS[self.zone]
    }
}

/// All nodes: first the hollow ones, then the real ones, then the voters.
pub(super) struct Layout {
    pub(super) places: Vec<Place>,
    /// Sockets that are bound but never listened on. They reserve the ports of hollow nodes that are down.
    _reserved: Vec<OwnedFd>,
}

pub(super) fn region_name(region: usize) -> String {
    format!("r{}", region + 1)
}

/// Returns the seed of a node's random choices.
fn seed(plan: &ScalePlan, at: usize) -> u64 {
    plan.seed.wrapping_mul(1_009).wrapping_add(at as u64) & 0xffff_ffff
}

fn zone_name(zone: usize) -> String {
    format!("z{}", zone + 1)
}

/// Binds a socket to a free port, which stays reserved while the socket is open; other processes may still
/// listen on it.
fn reserve_port() -> io::Result<(OwnedFd, SocketAddr)> {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
    rustix::io::fcntl_setfd(&socket, rustix::io::FdFlags::CLOEXEC)?;
    net::sockopt::set_socket_reuseaddr(&socket, true)?;
    net::bind(&socket, &SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))?;
    let address = SocketAddr::try_from(net::getsockname(&socket)?)
        .map_err(|_| io::Error::other("a socket without an address"))?;
    Ok((socket, address))
}

/// Estimates the descriptors that a rehearsal needs: in its own process, and in the largest process with
/// hollow nodes.
pub fn descriptors(plan: &ScalePlan) -> (usize, usize) {
    let hollow = plan.nodes.saturating_sub(plan.real + plan.voters);
    let regions = 3;
    // Reserved ports, the relay's listeners, and two descriptors for each connection between regions.
    let listeners = (regions - 1) * hollow + regions * (plan.real + plan.voters);
    let relayed = plan.nodes * CONNECTIONS_PER_NODE * 2 / regions * 2;
    (
        hollow + listeners + relayed + DESCRIPTORS_PER_PROCESS * 8,
        MAX_RACK_NODES * (CONNECTIONS_PER_NODE * 2 + DESCRIPTORS_PER_NODE) + DESCRIPTORS_PER_PROCESS,
    )
}

fn invalid_plan<T>(why: String) -> io::Result<T> {
    Err(io::Error::new(io::ErrorKind::InvalidInput, why))
}

impl Layout {
    pub(super) fn new(plan: &ScalePlan) -> io::Result<Layout> {
        if !(MIN_NODES..=MAX_NODES).contains(&plan.nodes) {
            return invalid_plan(format!("{} nodes, expected {MIN_NODES} to {MAX_NODES}", plan.nodes));
        }
        if ![3, 5].contains(&plan.voters) || plan.real == 0 || plan.real > 64 {
            return invalid_plan(format!(
                "{} voters and {} real nodes, expected 3 or 5 and 1 to 64",
                plan.voters, plan.real
            ));
        }
        if plan.real + plan.voters + 8 > plan.nodes {
            return invalid_plan(format!("{} nodes leave no hollow one for each of 8 zones", plan.nodes));
        }
        let limit = getrlimit(Resource::Nofile).maximum.unwrap_or(u64::MAX);
        let (own, host) = descriptors(plan);
        if own.max(host) as u64 > limit {
            return invalid_plan(format!(
                "{} nodes need about {own} descriptors here and {host} in each process of hollow nodes; \
                 this system gives a process {limit}",
                plan.nodes
            ));
        }
        let mut layout = Layout { places: Vec::new(), _reserved: Vec::new() };
        for number in 0..plan.nodes - plan.real - plan.voters {
            let (socket, address) = reserve_port()?;
            layout._reserved.push(socket);
            let host = format!("h{number}");
            layout.places.push(Place { host, role: Role::Hollow, zone: number % 8, address: Some(address) });
        }
        for number in 0..plan.real {
            // The name that the laboratory gives the node.
            let host = format!("node-{number}.lab");
            layout.places.push(Place { host, role: Role::Real, zone: (number * 3) % 8, address: None });
        }
        for (number, zone) in VOTER_ZONES.iter().take(plan.voters).enumerate() {
            let host = format!("v{number}");
            layout.places.push(Place { host, role: Role::Voter, zone: *zone, address: None });
        }
        Ok(layout)
    }

    pub(super) fn of_role(&self, role: Role) -> impl Iterator<Item = usize> + '_ {
        (0..self.places.len()).filter(move |at| self.places[*at].role == role)
    }

    /// Divides the hollow nodes into racks of about equal size, each within one zone.
    pub(super) fn racks(&self) -> Vec<Vec<usize>> {
        let mut racks = Vec::new();
        for zone in 0..REGIONS.len() {
            let inside: Vec<usize> =
                self.of_role(Role::Hollow).filter(|at| self.places[*at].zone == zone).collect();
            let count = inside.len().div_ceil(MAX_RACK_NODES).max(1);
            racks.extend(inside.chunks(inside.len().div_ceil(count).max(1)).map(<[usize]>::to_vec));
        }
        racks
    }

    /// Sets the relay's targets for the hollow nodes, whose addresses never change.
    pub(super) fn set_link_targets(&self, links: &Links) -> io::Result<()> {
        for place in &self.places {
            if let Some(address) = place.address {
                links.set_target(&place.host, address)?;
            }
        }
        Ok(())
    }

    /// Returns the end of the settings, the same for all nodes of a region: members and voters, up to the end
    /// of the `fleet` block.
    pub(super) fn settings_tail(&self, links: &Links, region: usize) -> io::Result<String> {
        let mut text = "(members".to_owned();
        for place in &self.places {
            let address = match place.address {
                Some(address) if place.region() == region => address,
                _ => links.address(&region_name(region), &place.host)?,
            };
            let zone = zone_name(place.zone);
            let _ = write!(text, "\n(member (host {}) (address \"{address}\") (zone {zone}))", place.host);
        }
        text += ")\n(voters";
        for at in self.of_role(Role::Voter) {
            let _ = write!(text, " {}", self.places[at].host);
        }
        Ok(text + "))\n")
    }

    /// Returns the beginning of the `fleet` block of a node's settings.
    pub(super) fn fleet_settings(&self, at: usize, plan: &ScalePlan, disk: Option<&Path>) -> String {
        let place = &self.places[at];
        let mut text = format!("(fleet (round {}us) (zone {})", plan.round, zone_name(place.zone));
        if let Some(disk) = disk.filter(|_| place.role == Role::Voter) {
            let _ = write!(text, " (store {:?})", disk.join("agreement").display().to_string());
        }
        if let Some(disk) = disk.filter(|_| plan.changes > 0) {
            let _ = write!(
                text,
                " (configuration (store {:?}))",
                disk.join("configuration").display().to_string()
            );
        }
        text + "\n"
    }

    /// Returns whether a node's settings define the class `half`, which half of the hollow nodes of each zone
    /// have.
    pub(super) fn has_half_class(&self, at: usize) -> bool {
        self.places[at].role == Role::Hollow && (at / REGIONS.len()).is_multiple_of(2)
    }

    /// Returns the beginning of the settings of a node without calls.
    pub(super) fn settings_head(&self, at: usize, plan: &ScalePlan, disk: &Path) -> String {
        let place = &self.places[at];
        let listen = place.address.map_or("127.0.0.1:0".to_owned(), |address| address.to_string());
        // Only half of the hollow nodes have this class, so that only they can use a configuration that names
        // it.
        let half = if self.has_half_class(at) {
            "\n(class (name half) (aim 1500ms) (deadline 9s) (worth 1))"
        } else {
            ""
        };
        format!(
            "(plain yes) (host {}) (realm lab) (listen {listen}) (control 127.0.0.1:0)
(servers (server (host s.lab) (address 127.0.0.1:9)))
(clients c.lab) (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)){half})
(plan (prefix (digits 351) (class browse) (place 0)))
(timing (gap 1s)) (log (filter info)) (seed {})
{}",
            place.host,
            seed(plan, at),
            self.fleet_settings(at, plan, Some(disk))
        )
    }

    /// Returns the plan for the process that runs a rack.
    pub(super) fn hollow_plan(
        &self,
        rack: &[usize],
        plan: &ScalePlan,
        tail: &str,
        folder: &Path,
    ) -> HollowPlan {
        let node = |at: &usize| {
            let place = &self.places[*at];
            Some(HollowNode {
                host: place.host.clone(),
                address: place.address?,
                seed: seed(plan, *at),
                head: self.settings_head(*at, plan, &folder.join(&place.host)),
            })
        };
        HollowPlan { nodes: rack.iter().filter_map(node).collect(), tail: tail.to_owned() }
    }
}
