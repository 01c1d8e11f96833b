//! Mapping of circuit messages to Diameter.
//!
//! A seizure is the AA-Request of its call, with a Circuit-Id AVP. The AA-Answer accepts or refuses it, with
//! a Setup-Reason AVP if the circuit is the reason. A release is a Session-Termination-Request or an
//! Abort-Session-Request with Circuit-Id. Messages that concern circuits alone use Circuit-Supervision, a
//! command specific to this project, whose End-to-End Identifier carries the token: a retransmitted request
//! keeps it.

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code, MessageBuilder, MessageRef};

use crate::message::{Blocks, Range, Refusal, Reply, ReportedState, Request};

const OPERATION_RESET: u32 = 1;
const OPERATION_BLOCK: u32 = 2;
const OPERATION_UNBLOCK: u32 = 3;
const OPERATION_QUERY: u32 = 4;

/// Builds a supervision request; returns `None` for seizures and releases, which are sent as other commands.
/// `retransmitted` sets the T flag. The caller adds Origin-Host and Origin-Realm.
pub fn supervision(
    request: &Request,
    hop_by_hop: u32,
    token: u32,
    retransmitted: bool,
) -> Option<MessageBuilder> {
    let (operation, range, hardware) = match request {
        Request::Reset(range) => (OPERATION_RESET, range, None),
        Request::Block { range, hardware } => (OPERATION_BLOCK, range, Some(*hardware)),
        Request::Unblock { range, hardware } => (OPERATION_UNBLOCK, range, Some(*hardware)),
        Request::Query(range) => (OPERATION_QUERY, range, None),
        Request::Seize { .. } | Request::Release { .. } => return None,
    };
    let mut message = MessageBuilder::request(d::CMD_CIRCUITS, d::APP_NAS, false, hop_by_hop, token)
        .retransmitted(retransmitted)
        .add_u32(d::CIRCUIT_OPERATION, operation)
        .add_u32(d::CIRCUIT_ID, range.first)
        .add_u32(d::CIRCUIT_COUNT, range.count);
    if let Some(hardware) = hardware {
        message = message.add_u32(d::CIRCUIT_BLOCK, u32::from(hardware));
    }
    Some(message)
}

/// Decodes a supervision request; returns `None` if the operation is unknown or a required AVP is missing.
pub fn read_supervision(message: &MessageRef<'_>) -> Option<Request> {
    let range = Range { first: message.number(d::CIRCUIT_ID)?, count: message.number(d::CIRCUIT_COUNT)? };
    let hardware = message.number(d::CIRCUIT_BLOCK) == Some(1);
    Some(match message.number(d::CIRCUIT_OPERATION)? {
        OPERATION_RESET => Request::Reset(range),
        OPERATION_BLOCK => Request::Block { range, hardware },
        OPERATION_UNBLOCK => Request::Unblock { range, hardware },
        OPERATION_QUERY => Request::Query(range),
        _ => return None,
    })
}

/// Builds the answer to a supervision request. The caller adds Origin-Host and Origin-Realm.
pub fn supervision_answer(request: &MessageRef<'_>, reply: &Reply) -> MessageBuilder {
    let answer = MessageBuilder::answer(request, result_code::SUCCESS);
    let Reply::States(states) = reply else { return answer };
    let bytes: Vec<u8> = states
        .iter()
        .map(|(state, blocks)| {
            let state = match state {
                ReportedState::Idle => 0,
                ReportedState::Outgoing => 1,
                ReportedState::Incoming => 2,
                ReportedState::Transient => 3,
                ReportedState::Unequipped => 4,
            };
            state | u8::from(blocks.maintenance) << 4 | u8::from(blocks.hardware) << 5
        })
        .collect();
    answer.add(d::CIRCUIT_STATES, &bytes)
}

/// Decodes a supervision answer.
pub fn read_supervision_answer(message: &MessageRef<'_>) -> Reply {
    let Some(avp) = message.find(d::CIRCUIT_STATES) else { return Reply::Done };
    let states = avp.data.iter().map(|byte| {
        let state = match byte & 0x0f {
            0 => ReportedState::Idle,
            1 => ReportedState::Outgoing,
            2 => ReportedState::Incoming,
            4 => ReportedState::Unequipped,
            _ => ReportedState::Transient,
        };
        (state, Blocks { maintenance: byte & 0x10 != 0, hardware: byte & 0x20 != 0 })
    });
    Reply::States(states.collect())
}

/// Returns the Setup-Reason of a refusal; `None` if the circuit is not the reason.
pub fn reason(refusal: Refusal) -> Option<u32> {
    Some(match refusal {
        Refusal::Glare => d::REASON_GLARE,
        Refusal::Blocked => d::REASON_BLOCKED,
        Refusal::Unequipped => d::REASON_UNEQUIPPED,
        Refusal::Busy => d::REASON_CIRCUIT_BUSY,
        Refusal::Resetting => d::REASON_RESETTING,
        Refusal::Call => return None,
    })
}

/// Decodes the reply to a seizure from an AA-Answer.
pub fn seizure_reply(answer: &MessageRef<'_>) -> Reply {
    if answer.result_code() == result_code::SUCCESS {
        return Reply::Accepted;
    }
    Reply::Refused(match answer.number(d::SETUP_REASON) {
        Some(d::REASON_GLARE) => Refusal::Glare,
        Some(d::REASON_BLOCKED) => Refusal::Blocked,
        Some(d::REASON_UNEQUIPPED) => Refusal::Unequipped,
        Some(d::REASON_CIRCUIT_BUSY) => Refusal::Busy,
        Some(d::REASON_RESETTING) => Refusal::Resetting,
        _ => Refusal::Call,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn supervision_messages_round_trip() {
        let range = Range { first: 7, count: 30 };
        for request in [
            Request::Reset(range),
            Request::Block { range, hardware: true },
            Request::Unblock { range, hardware: false },
            Request::Query(range),
        ] {
            let bytes = supervision(&request, 1, 99, true).expect("a supervision request").build();
            let message = MessageRef::parse(&bytes).expect("a message");
            assert_eq!(read_supervision(&message), Some(request));
            assert!(message.header.is_retransmitted() && message.header.end_to_end == 99);
            let all_states = [
                ReportedState::Idle,
                ReportedState::Outgoing,
                ReportedState::Incoming,
                ReportedState::Transient,
                ReportedState::Unequipped,
            ];
            let states = all_states
                .map(|state| (state, Blocks { maintenance: true, hardware: state == ReportedState::Idle }));
            let reply = Reply::States(states.to_vec());
            let answer = supervision_answer(&message, &reply).build();
            assert_eq!(read_supervision_answer(&MessageRef::parse(&answer).expect("an answer")), reply);
        }
        assert!(supervision(&Request::Seize { circuit: 1, call: 1 }, 1, 1, false).is_none());
    }
}
