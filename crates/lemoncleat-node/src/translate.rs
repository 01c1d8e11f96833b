//! Translation between Diameter and the decision module: mappings only, no decisions.

use lemoncleat::{Outcome, Reason, Report};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, MessageRef};

/// Maps an unsuccessful answer of a server to the outcome of the attempt.
pub(crate) fn outcome(answer: &MessageRef<'_>) -> (Outcome, Reason) {
    let reason = match answer.number(d::SETUP_REASON) {
        Some(d::REASON_NO_CIRCUIT) => Reason::NoCircuit,
        Some(d::REASON_PROCESSOR_FULL) => {
            let wait = answer.number(d::REASON_WAIT).unwrap_or(0);
            Reason::ProcessorFull { wait: i64::from(wait) * 1_000 }
        }
        Some(d::REASON_LINES_BUSY) => Reason::LinesBusy,
        _ => Reason::None,
    };
    match answer.result_code() {
        code::TOO_BUSY => (Outcome::Full, reason),
        code::RESOURCES_EXCEEDED => (Outcome::Full, Reason::NoCircuit),
        code::UNABLE_TO_DELIVER => (Outcome::Unreachable, reason),
        _ => (Outcome::Error, reason),
    }
}

/// Returns whether an answer to a set-up can be parsed completely and belongs to the call of this session.
/// The Hop-by-Hop Identifier, by which the node matches it, guarantees neither. A refusal may lack the
/// Session-Id.
pub(crate) fn is_answer_for(answer: &MessageRef<'_>, session: &str) -> bool {
    answer.header.command == d::CMD_AA
        && answer.avps().all(|avp| avp.is_ok())
        && answer
            .text(d::SESSION_ID)
            .map_or(answer.result_code() != code::SUCCESS, |answer_session| answer_session == session)
}

/// Reads the load reported by an answer: from the project's own AVPs and, where these lack a value, from the
/// Load report of the host (RFC 8583, where a larger value, up to 65,535, means less load) and the overload
/// report (RFC 7683).
pub(crate) fn report(answer: &MessageRef<'_>) -> Option<Report> {
    let mut report = Report::default();
    let mut any = false;
    for avp in answer.avps().map_while(Result::ok) {
        let number = || avp.as_u32().map(f64::from);
        match (avp.vendor, avp.code) {
            (Some(d::VENDOR), 1) => report.wait = avp.as_u32().map(|ms| i64::from(ms) * 1_000),
            (Some(d::VENDOR), 2) => report.queue = number(),
            (Some(d::VENDOR), 3) => report.busy = number().map(|thousandths| thousandths / 1_000.0),
            (Some(d::VENDOR), 4) => report.free = number(),
            (Some(d::VENDOR), 5) => report.lines = number(),
            (None, 650) if report.busy.is_none() => {
                let value = avp.group().find(d::LOAD_VALUE.code, None).and_then(|avp| avp.as_u64());
                report.busy = value.map(|value| 1.0 - (value.min(65_535) as f64) / 65_535.0);
            }
            (None, 623) => {
                let cut =
                    avp.group().find(d::OC_REDUCTION_PERCENTAGE.code, None).and_then(|avp| avp.as_u32());
                report.cut_by = cut.map(|percent| f64::from(percent.min(100)) / 100.0);
            }
            _ => continue,
        }
        any = true;
    }
    any.then_some(report)
}

/// Returns whether an AVP of a server's answer is meant for the node only and is not passed on to the client.
pub(crate) fn is_for_the_node(avp_code: u32, vendor: Option<u32>) -> bool {
    vendor == Some(d::VENDOR) || vendor.is_none() && matches!(avp_code, 650 | 621 | 623)
}
