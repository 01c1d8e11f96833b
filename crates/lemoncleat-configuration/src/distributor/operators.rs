//! Changes and queries by operators.

use std::collections::{BTreeMap, BTreeSet};

use super::{number, Answer, Distributor, Output};
use crate::ledger::{Command, Verdict};
use crate::limits::{MAX_ORDER, MAX_PACKED, MAX_PENDING_ORDERS, ORDER_TIMEOUT_US};
use crate::message::Message;
use crate::packed::pack;
use crate::query::{OutdatedMember, Query, VersionCounts};
use crate::Micros;

/// An operator's change that is not agreed yet.
pub(super) struct PendingChange {
    pub conn: u64,
    order: String,
    parent: u64,
    packed: Vec<u8>,
    pub deadline: Micros,
    pub retry_at: Micros,
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
            _ if self.pending_changes.len() >= MAX_PENDING_ORDERS => {
                Err("too many orders wait to be agreed".to_owned())
            }
            packed => packed.map_err(|reason| reason.to_string()),
        };
        let order = order.to_owned();
        match packed {
            Ok(packed) => {
                self.pending_changes.push(PendingChange {
                    conn,
                    order,
                    parent,
                    packed,
                    deadline: now + ORDER_TIMEOUT_US,
                    retry_at: now,
                });
                self.answer_orders(out);
            }
            Err(error) => {
                out.push(Output::Answer { conn, answer: Answer::Refused { order, error } });
            }
        }
    }

    /// Proposes pending changes again, through another voter each time, and refuses those that reached their
    /// deadline.
    pub(super) fn propose_pending(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (expired, pending_changes) =
            std::mem::take(&mut self.pending_changes).into_iter().partition(|change| change.deadline <= now);
        self.pending_changes = pending_changes;
        for PendingChange { conn, order, .. } in Vec::<PendingChange>::from_iter(expired) {
            let error = "not agreed in time: it may be later; ask again with the same order".to_owned();
            out.push(Output::Answer { conn, answer: Answer::Refused { order, error } });
        }
        self.forwarded_orders.retain(|_, deadline| now < *deadline);
        let others: Vec<u32> = self.voters.iter().copied().filter(|voter| *voter != self.own).collect();
        let mut messages = Vec::new();
        for change in self.pending_changes.iter_mut().filter(|change| change.retry_at <= now) {
            change.retry_at = now + self.timing.beat;
            let (order, parent, packed) = (change.order.clone(), change.parent, change.packed.clone());
            if self.ledger.is_some() {
                out.push(Output::Propose(Command::Change { order, parent, packed }.to_bytes()));
            } else if let Some(to) = others.get(self.next_voter % others.len().max(1)) {
                messages.push((*to, Message::Order { order, parent, packed }));
                self.next_voter = self.next_voter.wrapping_add(1);
            }
        }
        for (to, message) in messages {
            self.send(to, &message, out);
        }
    }

    /// At a voter: handles a change that another node forwarded. Returns false if it is invalid or this node
    /// has no ledger.
    pub(super) fn order_received(
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
            self.send(from, &Message::Verdict { order, verdict }, out);
        } else if self.forwarded_orders.len() < MAX_PENDING_ORDERS {
            self.forwarded_orders.insert((order.clone(), from), now + ORDER_TIMEOUT_US);
            out.push(Output::Propose(Command::Change { order, parent, packed }.to_bytes()));
        }
        true
    }

    /// Answers the operators that wait for the verdict on an order. Returns false if there are none.
    pub(super) fn verdict_received(&mut self, order: &str, verdict: &Verdict, out: &mut Vec<Output>) -> bool {
        let count_before = self.pending_changes.len();
        self.pending_changes.retain(|change| {
            if change.order != order {
                return true;
            }
            let order = change.order.clone();
            let answer = match verdict {
                Verdict::Accepted(number) => Answer::Agreed { order, number: *number },
                Verdict::Refused(reason) => Answer::Refused { order, error: reason.clone() },
            };
            out.push(Output::Answer { conn: change.conn, answer });
            false
        });
        self.pending_changes.len() < count_before
    }

    /// At a voter: sends the verdicts on pending orders to operators and forwarding nodes.
    pub(super) fn answer_orders(&mut self, out: &mut Vec<Output>) {
        let Some(ledger) = &self.ledger else { return };
        let known = |order: &str| ledger.verdict(order).cloned();
        let own: Vec<_> = self
            .pending_changes
            .iter()
            .filter_map(|change| Some((change.order.clone(), known(&change.order)?)))
            .collect();
        let others: Vec<_> = self
            .forwarded_orders
            .keys()
            .filter_map(|(order, from)| Some((order.clone(), *from, known(order)?)))
            .collect();
        for (order, verdict) in own {
            self.verdict_received(&order, &verdict, out);
        }
        for (order, from, verdict) in others {
            self.forwarded_orders.remove(&(order.clone(), from));
            self.send(from, &Message::Verdict { order, verdict }, out);
        }
    }

    // ---- Versions in force ----

    pub(super) fn query_members(&mut self, now: Micros, conn: u64, out: &mut Vec<Output>) {
        self.last_query = self.last_query.wrapping_add(1);
        let (key, newest) = ((self.own, self.last_query), number(self.held.settled));
        if !self.forward_query(now, Query { key, depth: 0, newest, parent: None, conn: Some(conn) }, out) {
            let error = "too many queries wait for their answers".to_owned();
            out.push(Output::Answer { conn, answer: Answer::Refused { order: String::new(), error } });
        }
    }

    pub(super) fn query_received(&mut self, now: Micros, from: u32, query: Query, out: &mut Vec<Output>) {
        if !self.forward_query(now, query, out) {
            // The query already came in over another path and is counted there.
            let (asker, query) = query.key;
            self.send(from, &Message::Counts { asker, query, counts: VersionCounts::default() }, out);
        }
    }

    fn forward_query(&mut self, now: Micros, query: Query, out: &mut Vec<Output>) -> bool {
        let peers: BTreeSet<u32> =
            self.peers.keys().copied().filter(|id| Some(*id) != query.parent).collect();
        if !self.queries.start(now, query, peers.clone(), self.own_count(query.newest)) {
            return false;
        }
        let Query { key: (asker, number), depth, newest, .. } = query;
        for to in peers {
            self.send(
                to,
                &Message::Query { asker, query: number, depth: depth.saturating_add(1), newest },
                out,
            );
        }
        true
    }

    fn own_count(&self, newest: u64) -> VersionCounts {
        let in_force = number(self.in_force);
        let trial_in_force = self.canary && self.in_force == self.held.trial;
        let other = (in_force != newest && !trial_in_force).then(|| OutdatedMember {
            member: self.own,
            number: in_force,
            reason: match &self.refused {
                Some((.., reason)) => reason.clone(),
                None if number(self.held.settled) != newest => {
                    format!("at step {}, where {} is settled", self.held.step, number(self.held.settled))
                }
                None => "on its way".to_owned(),
            },
        });
        VersionCounts { versions: BTreeMap::from([(in_force, 1)]), others: other.into_iter().collect() }
    }

    pub(super) fn answer_queries(&mut self, now: Micros, out: &mut Vec<Output>) {
        for finished in self.queries.take_finished(now) {
            let (asker, query) = finished.key;
            if let Some(parent) = finished.parent {
                self.send(parent, &Message::Counts { asker, query, counts: finished.counts }, out);
            } else if let Some(conn) = finished.conn {
                let answer = Answer::Counted {
                    newest: number(self.held.settled),
                    answered: finished
                        .counts
                        .versions
                        .values()
                        .fold(0, |sum, count| sum.saturating_add(*count)),
                    of: self.ids.len() as u32,
                    counts: finished.counts,
                };
                out.push(Output::Answer { conn, answer });
            }
        }
    }
}
