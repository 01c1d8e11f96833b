//! Changes of the member list at run time, when the configuration in force names other members.

use std::collections::BTreeSet;
use std::sync::Arc;

use lemoncleat_fleet::{Input, Member, MemberId};

use crate::part::{FleetNode, Names, Said};
use crate::seat::Agreement;
use crate::Micros;

/// Maximum number of places, the same as in the node's core.
const MAX_PLACES: usize = 16 * 1024;

impl FleetNode {
    /// Checks whether [`FleetNode::set_members`] would accept these members. A driver calls this before it
    /// puts a text in force, so that the node's core and the part accept the same lists.
    ///
    /// # Errors
    ///
    /// If two members have the same name or identifier, the node or a voter is missing, there are more than
    /// 1,024 members, or so many members were added and removed that no place is left until the node
    /// restarts.
    pub fn check_members(&self, members: &[Member]) -> Result<(), String> {
        self.fleet.check_members(members).map_err(|error| error.to_string())?;
        let listed: BTreeSet<MemberId> = members.iter().map(|member| MemberId::of(&member.name)).collect();
        let voters = self.agreement.as_ref().map_or(&[][..], Agreement::voters);
        if let Some(voter) = voters.iter().find(|voter| !listed.contains(*voter)) {
            return Err(format!("{} is a voter, and can't be removed in place", self.name(*voter)));
        }
        let added = members.iter().filter(|member| self.place_of(member).is_none()).count();
        if self.ids.len() + added > MAX_PLACES {
            return Err("no place is left for a further member until this node restarts".to_owned());
        }
        Ok(())
    }

    /// Replaces the member list. Members that stay keep their places, new ones get the next places in the
    /// order of the list, and the places of removed ones are never reused. `Input::Members` of the node's
    /// core does the same: it has to get the same list in the same turn, after the actions of this call are
    /// carried out. A list that [`FleetNode::check_members`] refuses changes nothing and is logged.
    pub fn set_members(&mut self, now: Micros, members: Vec<Member>, out: &mut Vec<Said>) {
        if let Err(why) = self.check_members(&members) {
            return out.push(Said::Log(true, format!("the member list is not changed: {why}")));
        }
        let added: Vec<MemberId> = members
            .iter()
            .filter(|member| self.place_of(member).is_none())
            .map(|member| MemberId::of(&member.name))
            .collect();
        let listed: BTreeSet<MemberId> = members.iter().map(|member| MemberId::of(&member.name)).collect();
        let names: Names =
            Arc::new(members.iter().map(|it| (MemberId::of(&it.name), it.name.clone())).collect());
        // The places of removed members are still needed to send them the last messages.
        self.fleet.handle(now, Input::Members(members.clone()), &mut self.outputs);
        self.process_outputs(now, out);
        self.places.retain(|id, _| listed.contains(id));
        for id in self.names.keys().filter(|id| !listed.contains(*id)) {
            self.fragmenter.forget(*id);
        }
        for id in added {
            self.fragmenter.forget(id);
            self.places.insert(id, self.ids.len());
            self.ids.push(id);
        }
        if let Some(agreement) = &mut self.agreement {
            agreement.rename(names.clone());
        }
        if let Some(configuration) = &mut self.configuration {
            configuration.set_members(now, &members, names.clone());
        }
        self.names = names;
        self.process_outputs(now, out);
    }

    /// Returns the place of a member, if it is a current member with the same name.
    fn place_of(&self, member: &Member) -> Option<usize> {
        let id = MemberId::of(&member.name);
        self.names.get(&id).filter(|name| **name == member.name).and_then(|_| self.places.get(&id).copied())
    }
}
