//! The members change in place: a configuration in force names others.

use std::collections::BTreeSet;
use std::sync::Arc;

use lemoncleat_fleet::{Input, Member, MemberId};

use crate::part::{Names, Part, Said};
use crate::seat::Agreed;
use crate::Micros;

/// Most places, as a node's core has them.
const MOST_PLACES: usize = 16 * 1024;

impl Part {
    /// Why [`Part::set_members`] would refuse these members; what a driver asks before a text is put in force, so that
    /// the node's core and the part take the same lists.
    ///
    /// # Errors
    ///
    /// When two members can't be told apart, the node or a voter is none of them, they are more than 1,024, or so many
    /// have come and gone that no place is left until the node starts anew.
    pub fn check_members(&self, members: &[Member]) -> Result<(), String> {
        self.fleet.check_members(members).map_err(|error| error.to_string())?;
        let listed: BTreeSet<MemberId> = members.iter().map(|member| MemberId::of(&member.name)).collect();
        let voters = self.agreed.as_ref().map_or(&[][..], Agreed::voters);
        if let Some(voter) = voters.iter().find(|voter| !listed.contains(*voter)) {
            return Err(format!("{} is a voter, and can't be removed in place", self.name(*voter)));
        }
        let fresh = members.iter().filter(|member| self.place_of(member).is_none()).count();
        if self.ids.len() + fresh > MOST_PLACES {
            return Err("no place is left for a further member until this node starts anew".to_owned());
        }
        Ok(())
    }

    /// All members from now on. Those that stay keep their places, those that are new get the next ones in the order of
    /// this list, and those that went leave theirs empty for good: as `Input::Members` of a node's core has it, which
    /// is to be told the same list in the same turn, after what this says is carried out. A list that
    /// [`Part::check_members`] refuses changes nothing and is told to the log.
    pub fn set_members(&mut self, now: Micros, members: Vec<Member>, said: &mut Vec<Said>) {
        if let Err(why) = self.check_members(&members) {
            return said.push(Said::Log(true, format!("the members stay as they were: {why}")));
        }
        let fresh: Vec<MemberId> = members
            .iter()
            .filter(|member| self.place_of(member).is_none())
            .map(|member| MemberId::of(&member.name))
            .collect();
        let listed: BTreeSet<MemberId> = members.iter().map(|member| MemberId::of(&member.name)).collect();
        let names: Names =
            Arc::new(members.iter().map(|it| (MemberId::of(&it.name), it.name.clone())).collect());
        // A last word for those that went still finds their places.
        self.fleet.handle(now, Input::Members(members.clone()), &mut self.outputs);
        self.settle(now, said);
        self.places.retain(|id, _| listed.contains(id));
        for id in self.names.keys().filter(|id| !listed.contains(*id)) {
            self.pieces.forget(*id);
        }
        for id in fresh {
            self.pieces.forget(id);
            self.places.insert(id, self.ids.len());
            self.ids.push(id);
        }
        if let Some(agreed) = &mut self.agreed {
            agreed.rename(names.clone());
        }
        if let Some(configuration) = &mut self.configuration {
            configuration.set_members(now, &members, names.clone());
        }
        self.names = names;
        self.settle(now, said);
    }

    /// Where a member has its place, if it is one under this very name.
    fn place_of(&self, member: &Member) -> Option<usize> {
        let id = MemberId::of(&member.name);
        self.names.get(&id).filter(|name| **name == member.name).and_then(|_| self.places.get(&id).copied())
    }
}
