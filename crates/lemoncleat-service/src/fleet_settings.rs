//! The fleet section of a node's settings file.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use lemoncleat_fleet::Member;
use lemoncleat_node::{MemberPeer, Micros};
use lemoncleat_settings::{Error, Span};
use serde::Deserialize;

use crate::config::invalid;

/// Maximum number of members of a fleet.
const MAX_MEMBERS: usize = 1024;
/// Allowed round lengths, in microseconds.
const ROUND_RANGE_US: std::ops::RangeInclusive<Micros> = 10_000..=60_000_000;

/// Fleet settings of a node: the members and this node's role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetSettings {
    /// All nodes of the fleet, including this one.
    pub members: Vec<FleetMember>,
    /// The zone of this node.
    pub zone: Arc<str>,
    /// Members that vote on agreements for the fleet: none, three or five.
    pub voters: Vec<Arc<str>>,
    /// Directory of a voter's persistent state; present if and only if this node is a voter.
    pub store: Option<PathBuf>,
    /// Interval at which the node exchanges messages with other members, in microseconds.
    pub round: Micros,
    /// Settings of the check that all members make the same decisions.
    pub rules: RulesSettings,
    /// Directory for the configuration version in force, if the fleet has a common configuration.
    pub configuration: Option<PathBuf>,
}

/// Settings of the check that members with the same rules make the same decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RulesSettings {
    /// Whether a node refuses new calls if most members find that its decisions differ.
    pub fence: bool,
    /// Maximum share of the members that may refuse calls for this reason at once, in hundredths.
    pub share: u32,
    /// Maximum share of processor time for the check, in thousandths.
    pub processor: u32,
}

/// A node of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// Its Origin-Host.
    pub host: Arc<str>,
    /// The address on which it accepts other members.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Arc<str>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct FleetFile {
    members: Vec<MemberFile>,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    voters: Vec<String>,
    #[serde(default)]
    store: Option<PathBuf>,
    #[serde(default = "default_round")]
    round: Span,
    #[serde(default)]
    rules: RulesFile,
    #[serde(default)]
    configuration: Option<ConfigurationFile>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct ConfigurationFile {
    store: PathBuf,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
struct RulesFile {
    fence: bool,
    share: f64,
    processor: f64,
}

impl Default for RulesFile {
    fn default() -> Self {
        RulesFile { fence: false, share: 0.2, processor: 0.01 }
    }
}

impl RulesFile {
    fn settings(&self, members: usize) -> Result<RulesSettings, Error> {
        if !(0.0..=0.5).contains(&self.share) {
            return invalid("fleet.rules.share", format!("{}, expected 0 to 0.5", self.share));
        }
        if !(0.001..=1.0).contains(&self.processor) {
            return invalid("fleet.rules.processor", format!("{}, expected 0.001 to 1", self.processor));
        }
        let (share, processor) = (self.share * 100.0, self.processor * 1_000.0);
        let (share, processor) = (share.round() as u32, processor.round() as u32);
        if self.fence && members.saturating_mul(share as usize) < 100 {
            let text = format!("{} of {members} members is not one: none could be fenced", self.share);
            return invalid("fleet.rules.share", text);
        }
        Ok(RulesSettings { fence: self.fence, share, processor })
    }
}

#[derive(PartialEq, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", rename = "member")]
pub(crate) struct MemberFile {
    host: String,
    address: SocketAddr,
    #[serde(default)]
    zone: String,
}

fn default_round() -> Span {
    Span(200_000)
}

impl FleetFile {
    /// Replaces the members of the file with those that the fleet agreed on. The node's own address is
    /// defined by its file and can't change while it runs.
    pub(crate) fn replace_members(
        &mut self,
        own: &str,
        members: Option<Vec<MemberFile>>,
        differs: &mut Vec<&'static str>,
    ) -> Result<(), Error> {
        let Some(members) = members.filter(|members| *members != self.members) else { return Ok(()) };
        let address = |all: &[MemberFile]| all.iter().find(|m| m.host == own).map(|m| m.address);
        if let (Some(before), Some(new)) = (address(&self.members), address(&members)) {
            if before != new {
                let at = members.iter().position(|member| member.host == own).unwrap_or_default();
                let text = format!("{new}, but this node listens at {before}: it can't change while it runs");
                return invalid(&format!("fleet.members[{at}].address"), text);
            }
        }
        self.members = members;
        differs.push("members");
        Ok(())
    }

    /// Checks the section and returns the settings of the node with this name.
    pub(crate) fn settings(self, own: &str) -> Result<FleetSettings, Error> {
        if self.members.len() > MAX_MEMBERS {
            let text = format!("{} members, expected {MAX_MEMBERS} at the most", self.members.len());
            return invalid("fleet.members", text);
        }
        let (mut hosts, mut addresses) = (HashSet::new(), HashSet::new());
        for (index, member) in self.members.iter().enumerate() {
            let path = |field: &str| format!("fleet.members[{index}].{field}");
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
            if member.host.is_empty() || !member.host.chars().all(is_allowed) {
                let text = format!("{:?}, expected a name of letters, digits, '-', '_' and '.'", member.host);
                return invalid(&path("host"), text);
            }
            if !hosts.insert(member.host.as_str()) {
                return invalid(&path("host"), format!("{:?} is listed twice", member.host));
            }
            if !addresses.insert(member.address) {
                return invalid(&path("address"), format!("{} is listed twice", member.address));
            }
            if member.address.port() == 0 {
                return invalid(&path("address"), format!("{}, expected a port", member.address));
            }
        }
        let Some(own_member) = self.members.iter().find(|member| member.host == own) else {
            return invalid("fleet.members", format!("{own:?} is missing: this node must be one of them"));
        };
        if let Some(zone) = self.zone.as_ref().filter(|zone| **zone != own_member.zone) {
            let text = format!("{zone:?}, but among the members this node is in zone {:?}", own_member.zone);
            return invalid("fleet.zone", text);
        }
        if ![0, 3, 5].contains(&self.voters.len()) {
            let text = format!("{} voters, expected none, three or five", self.voters.len());
            return invalid("fleet.voters", text);
        }
        for (index, voter) in self.voters.iter().enumerate() {
            let path = format!("fleet.voters[{index}]");
            if !hosts.contains(voter.as_str()) {
                return invalid(&path, format!("{voter:?} is no member"));
            }
            if self.voters.iter().take(index).any(|other| other == voter) {
                return invalid(&path, format!("{voter:?} is listed twice"));
            }
        }
        match (&self.store, self.voters.iter().any(|voter| voter == own)) {
            (None, true) => {
                return invalid("fleet.store", "missing, expected a directory: this node is a voter")
            }
            (Some(_), false) => return invalid("fleet.store", "given, but this node is no voter"),
            _ => {}
        }
        if !ROUND_RANGE_US.contains(&self.round.0) {
            return invalid("fleet.round", "expected 10ms to 60s");
        }
        if self.configuration.is_some() && self.voters.is_empty() {
            return invalid("fleet.configuration", "given, but this fleet has no voters: nothing is agreed");
        }
        let rules = self.rules.settings(self.members.len())?;
        let zone = own_member.zone.as_str().into();
        let member = |member: MemberFile| FleetMember {
            host: member.host.into(),
            address: member.address,
            zone: member.zone.into(),
        };
        Ok(FleetSettings {
            zone,
            members: self.members.into_iter().map(member).collect(),
            voters: self.voters.into_iter().map(Into::into).collect(),
            store: self.store,
            round: self.round.0,
            rules,
            configuration: self.configuration.map(|file| file.store),
        })
    }
}

impl FleetSettings {
    /// Returns the members in the form of the node's core, in the same order.
    pub fn peers(&self) -> Vec<MemberPeer> {
        let peer = |member: &FleetMember| MemberPeer { host: member.host.clone(), address: member.address };
        self.members.iter().map(peer).collect()
    }

    /// Returns the members in the form of the fleet's cores, in the same order.
    pub(crate) fn fleet_members(&self) -> Vec<Member> {
        let member = |member: &FleetMember| Member { name: member.host.clone(), zone: member.zone.clone() };
        self.members.iter().map(member).collect()
    }

    /// Checks that no member is also listed under another field of the file.
    pub(crate) fn check_not_listed(&self, named: impl Fn(&str) -> bool, field: &str) -> Result<(), Error> {
        match self.members.iter().position(|member| named(&member.host)) {
            Some(at) => {
                let host = &self.members[at].host;
                let text = format!("{host:?} stands under {field} too, expected only one of the two");
                invalid(&format!("fleet.members[{at}].host"), text)
            }
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::RulesSettings;
    use crate::config::read;

    const NODE: &str = "(plain yes) (host n1.example) (realm example) (listen 127.0.0.1:0)
(servers (server (host s.example) (address 127.0.0.1:4000)))
(clients c.example)
(classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
(plan (prefix (digits 351) (class browse) (place 2)))
";
    const FLEET: &str = r#"(fleet (members ((host "n1.example") (address "127.0.0.1:3868") (zone "z1"))
  (member (host n2.example) (address 127.0.0.1:3869) (zone z2))
  (member (host n3.example) (address 127.0.0.1:3870) (zone z3))
  ((host n4.example) (address 127.0.0.1:3871)))
 (voters n1.example n2.example n3.example) (store "ledger") (round 500ms) (zone z1))"#;

    #[test]
    fn fleet_section_is_read_and_is_optional() {
        let config = read(&format!("{NODE}{FLEET}")).expect("a good file");
        let fleet = config.service.fleet.expect("a fleet");
        assert_eq!((fleet.members.len(), fleet.voters.len(), fleet.round), (4, 3, 500_000));
        assert_eq!(fleet.rules, RulesSettings { fence: false, share: 20, processor: 10 });
        assert_eq!((&*fleet.zone, &*fleet.members[2].zone), ("z1", "z3"));
        assert_eq!(config.service.node.members, fleet.peers());
        let alone = read(NODE).expect("a good file").service;
        assert!(alone.fleet.is_none() && alone.node.members.is_empty());
    }

    #[test]
    fn inconsistent_fleet_settings_are_rejected_with_their_field() {
        let cases = [
            (
                "(host n2.example)",
                "(host n1.example)",
                "fleet.members[1].host: \"n1.example\" is listed twice",
            ),
            ("(host n2.example)", "(host \"n 2\")", "fleet.members[1].host: \"n 2\", expected a name"),
            (
                "(host n4.example)",
                "(host c.example)",
                "fleet.members[3].host: \"c.example\" stands under clients",
            ),
            (
                "(host n4.example)",
                "(host s.example)",
                "fleet.members[3].host: \"s.example\" stands under servers",
            ),
            ("127.0.0.1:3871", "127.0.0.1:3869", "fleet.members[3].address: 127.0.0.1:3869 is listed twice"),
            ("\"n1.example\"", "n5.example", "fleet.members: \"n1.example\" is missing"),
            ("(zone z1))", "(zone z9))", "fleet.zone: \"z9\", but"),
            ("(voters n1.example", "(voters", "fleet.voters: 2 voters, expected none, three or five"),
            ("(voters n1", "(voters n2", "fleet.voters[1]: \"n2.example\" is listed twice"),
            ("(voters n1", "(voters n7", "fleet.voters[0]: \"n7.example\" is no member"),
            ("(store \"ledger\")", "", "fleet.store: missing, expected a directory"),
            (
                "(voters n1.example n2.example n3.example)",
                "",
                "fleet.store: given, but this node is no voter",
            ),
            ("(round 500ms)", "(rules (share 0.6))", "fleet.rules.share: 0.6, expected 0 to 0.5"),
            ("(round 500ms)", "(rules (processor 0))", "fleet.rules.processor: 0, expected 0.001 to 1"),
            ("(round 500ms)", "(rules (fence yes))", "fleet.rules.share: 0.2 of 4 members is not one"),
            ("(round 500ms)", "(round 1ms)", "fleet.round: expected 10ms"),
            ("(round 500ms)", "(rounds 500ms)", "fleet: unknown field `rounds`"),
            ("(fleet ", "(limits (message 16KiB)) (fleet ", "limits.message: below 36KiB beside a fleet"),
        ];
        for (good, wrong, expected) in cases {
            let text = format!("{NODE}{}", FLEET.replacen(good, wrong, 1));
            let told = read(&text).expect_err("a mistake").to_string();
            assert!(told.contains(expected), "told {told:?}, expected {expected:?}");
        }
        let many: String =
            (0..1025).map(|n| format!("((host m{n}.x) (address 127.0.0.1:{}))", n + 1)).collect();
        let told = read(&format!("{NODE}(fleet (members {many}))")).expect_err("too many").to_string();
        assert!(told.contains("fleet.members: 1025 members, expected 1024 at the most"), "{told}");
    }
}
