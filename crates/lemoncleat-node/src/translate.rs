//! Between Diameter's words and the module's. Tables only; nothing is chosen here.

use lemoncleat::{Outcome, Reason, Report};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{result_code as code, MessageRef};

/// What an answer of a server that is no success means for the attempt.
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

/// Whether an answer to a set-up can be read to its end and is the answer of the call of this session: what
/// the node knows it by, the Hop-by-Hop Identifier, tells neither. A refusal may lack the session.
pub(crate) fn is_answer_for(answer: &MessageRef<'_>, session: &str) -> bool {
    answer.header.command == d::CMD_AA
        && answer.avps().all(|avp| avp.is_ok())
        && answer.text(d::SESSION_ID).map_or(answer.result_code() != code::SUCCESS, |named| named == session)
}

/// The load that an answer tells: the project's own AVPs, and where they lack a figure the Load report of
/// the host (RFC 8583: the larger the value of 65,535 the less the load) and the overload report (RFC 7683).
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

/// Whether an AVP of a server's answer is meant for the node alone and is not passed on to the client.
pub(crate) fn is_for_the_node(avp_code: u32, vendor: Option<u32>) -> bool {
    vendor == Some(d::VENDOR) || vendor.is_none() && matches!(avp_code, 650 | 621 | 623)
}
