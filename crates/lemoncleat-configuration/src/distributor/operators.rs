//! Operators' changes and questions.

use std::collections::{BTreeMap, BTreeSet};

use super::{number, Answer, Distributor, Output};
use crate::ledger::{Command, Verdict};
use crate::limits::{MAX_ORDER, MAX_PACKED, MOST_ORDERS, PATIENCE};
use crate::message::Word;
use crate::packed::pack;
use crate::query::{Other, Query, Sums};
use crate::Micros;

/// An operator's change that is not agreed yet.
pub(super) struct Wish {
    pub conn: u64,
    order: String,
    parent: u64,
    packed: Vec<u8>,
    pub until: Micros,
    pub again: Micros,
}

impl Distributor {
    pub(super) fn change(
        &mut self,
        now: Micros,
        conn: u64,
        order: &str,
        parent: u64,
        text: &str,
        out: &mut Vec<Output>,
    ) {
        let packed = match pack(text) {
            _ if order.is_empty() || order.len() > MAX_ORDER => {
                Err(format!("expected an order of 1 to {MAX_ORDER} bytes"))
            }
            _ if self.wishes.len() >= MOST_ORDERS => Err("too many orders wait to be agreed".to_owned()),
            packed => packed.map_err(|why| why.to_string()),
        };
        let order = order.to_owned();
        match packed {
            Ok(packed) => {
                self.wishes.push(Wish { conn, order, parent, packed, until: now + PATIENCE, again: now });
                self.answer_orders(out);
            }
            Err(error) => {
                out.push(Output::Answer { conn, answer: Answer::Refused { order, error } });
            }
        }
    }

    /// Asks for what is not agreed yet again, at the next voter each time; gives up at the end.
    pub(super) fn wish(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (late, wishes) = std::mem::take(&mut self.wishes).into_iter().partition(|wish| wish.until <= now);
        self.wishes = wishes;
        for Wish { conn, order, .. } in Vec::<Wish>::from_iter(late) {
            let error = "not agreed in time: it may be later; ask again with the same order".to_owned();
            out.push(Output::Answer { conn, answer: Answer::Refused { order, error } });
        }
        self.orders.retain(|_, until| now < *until);
        let others: Vec<u32> = self.voters.iter().copied().filter(|voter| *voter != self.own).collect();
        let mut words = Vec::new();
        for wish in self.wishes.iter_mut().filter(|wish| wish.again <= now) {
            wish.again = now + self.timing.beat;
            let (order, parent, packed) = (wish.order.clone(), wish.parent, wish.packed.clone());
            if self.ledger.is_some() {
                out.push(Output::Propose(Command::Change { order, parent, packed }.to_bytes()));
            } else if let Some(to) = others.get(self.asked % others.len().max(1)) {
                words.push((*to, Word::Order { order, parent, packed }));
                self.asked = self.asked.wrapping_add(1);
            }
        }
        for (to, word) in words {
            self.tell(to, &word, out);
        }
    }

    /// At a voter: another node's change.
    pub(super) fn ordered(
        &mut self,
        now: Micros,
        from: u32,
        order: String,
        parent: u64,
        packed: Vec<u8>,
        out: &mut Vec<Output>,
    ) -> bool {
        let fits = !order.is_empty() && order.len() <= MAX_ORDER && packed.len() <= MAX_PACKED;
        let Some(ledger) = self.ledger.as_ref().filter(|_| fits) else { return false };
        let verdict = ledger.verdict(&order).cloned();
        if let Some(verdict) = verdict {
            self.tell(from, &Word::Verdict { order, verdict }, out);
        } else if self.orders.len() < MOST_ORDERS {
            self.orders.insert((order.clone(), from), now + PATIENCE);
            out.push(Output::Propose(Command::Change { order, parent, packed }.to_bytes()));
        }
        true
    }

    /// What became of an order; false if nobody waits for it.
    pub(super) fn verdict(&mut self, order: &str, verdict: &Verdict, out: &mut Vec<Output>) -> bool {
        let before = self.wishes.len();
        self.wishes.retain(|wish| {
            if wish.order != order {
                return true;
            }
            let order = wish.order.clone();
            let answer = match verdict {
                Verdict::Taken(number) => Answer::Agreed { order, number: *number },
                Verdict::Refused(why) => Answer::Refused { order, error: why.clone() },
            };
            out.push(Output::Answer { conn: wish.conn, answer });
            false
        });
        self.wishes.len() < before
    }

    /// At a voter: tells what became of orders.
    pub(super) fn answer_orders(&mut self, out: &mut Vec<Output>) {
        let Some(ledger) = &self.ledger else { return };
        let known = |order: &str| ledger.verdict(order).cloned();
        let own: Vec<_> =
            self.wishes.iter().filter_map(|wish| Some((wish.order.clone(), known(&wish.order)?))).collect();
        let others: Vec<_> = self
            .orders
            .keys()
            .filter_map(|(order, from)| Some((order.clone(), *from, known(order)?)))
            .collect();
        for (order, verdict) in own {
            self.verdict(&order, &verdict, out);
        }
        for (order, from, verdict) in others {
            self.orders.remove(&(order.clone(), from));
            self.tell(from, &Word::Verdict { order, verdict }, out);
        }
    }

    // ---- Who has what in force ----

    pub(super) fn ask_all(&mut self, now: Micros, conn: u64, out: &mut Vec<Output>) {
        self.query = self.query.wrapping_add(1);
        let (key, newest) = ((self.own, self.query), number(self.held.settled));
        if !self.flood(now, Query { key, depth: 0, newest, parent: None, conn: Some(conn) }, out) {
            let error = "too many questions wait for their answers".to_owned();
            out.push(Output::Answer { conn, answer: Answer::Refused { order: String::new(), error } });
        }
    }

    pub(super) fn queried(&mut self, now: Micros, from: u32, query: Query, out: &mut Vec<Output>) {
        if !self.flood(now, query, out) {
            // Asked by another before: nothing to add.
            let (asker, query) = query.key;
            self.tell(from, &Word::Sums { asker, query, sums: Sums::default() }, out);
        }
    }

    fn flood(&mut self, now: Micros, query: Query, out: &mut Vec<Output>) -> bool {
        let peers: BTreeSet<u32> =
            self.peers.keys().copied().filter(|id| Some(*id) != query.parent).collect();
        if !self.queries.hear(now, query, peers.clone(), self.own_sums(query.newest)) {
            return false;
        }
        let Query { key: (asker, number), depth, newest, .. } = query;
        for to in peers {
            self.tell(to, &Word::Query { asker, query: number, depth: depth.saturating_add(1), newest }, out);
        }
        true
    }

    fn own_sums(&self, newest: u64) -> Sums {
        let in_force = number(self.in_force);
        let on_trial = self.canary && self.in_force == self.held.trial;
        let other = (in_force != newest && !on_trial).then(|| Other {
            member: self.own,
            number: in_force,
            why: match &self.refused {
                Some((.., why)) => why.clone(),
                None if number(self.held.settled) != newest => {
                    format!("at step {}, where {} is settled", self.held.step, number(self.held.settled))
                }
                None => "on its way".to_owned(),
            },
        });
        Sums { versions: BTreeMap::from([(in_force, 1)]), others: other.into_iter().collect() }
    }

    pub(super) fn answer_queries(&mut self, now: Micros, out: &mut Vec<Output>) {
        for done in self.queries.done(now) {
            let (asker, query) = done.key;
            if let Some(parent) = done.parent {
                self.tell(parent, &Word::Sums { asker, query, sums: done.sums }, out);
            } else if let Some(conn) = done.conn {
                let answer = Answer::Counted {
                    newest: number(self.held.settled),
                    answered: done.sums.versions.values().fold(0, |sum, count| sum.saturating_add(*count)),
                    of: self.ids.len() as u32,
                    sums: done.sums,
                };
                out.push(Output::Answer { conn, answer });
            }
        }
    }
}
