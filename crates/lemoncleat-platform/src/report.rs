//! Parsers for load reports and for the reasons of refusals.

use lemoncleat::{Micros, Reason, Report};

/// Sets a value of a report by its name, as used in the simulator's protocol or on the platform's sockets.
/// Negative and non-finite values count as not reported, and unknown names are ignored.
pub fn set_report_value(report: &mut Report, name: &str, value: f64) {
    let value = (value.is_finite() && value >= 0.0).then_some(value);
    match name {
        "spare" | "x0" => report.free = value,
        "total" | "x1" => report.lines = value,
        "waiting" | "queue" => report.queue = value,
        "active" | "inflight" => report.active = value,
        "cpu" | "util" => report.busy = value,
        "avg_ms" | "latency_ms" => report.wait = value.map(|ms| (ms * 1000.0) as Micros),
        "allowed" | "qps" => report.allowed = value,
        "cut_by" | "eps" => report.cut_by = value,
        _ => {}
    }
}

/// Parses a report in the format of the platform's sockets, such as `x0:12;x1:40`. Ignores unreadable parts.
pub fn report_of_text(text: &str) -> Report {
    let mut report = Report::default();
    for part in text.split([';', ',']) {
        if let Some((name, value)) = part.split_once([':', '=']) {
            if let Ok(value) = value.trim().parse() {
                set_report_value(&mut report, name.trim(), value);
            }
        }
    }
    report
}

/// Returns the reason of a refusal for the keyword used on the platform's sockets and the reported wait.
pub fn diagnosis(keyword: &str, wait: Micros) -> Reason {
    match keyword.trim() {
        "all_trunks_busy" => Reason::NoCircuit,
        "via_said_no" => Reason::TurnedBack { far_processor: false },
        "far_cpu_full" => Reason::TurnedBack { far_processor: true },
        "cpu_full" => Reason::ProcessorFull { wait: wait.max(0) },
        "number_busy" => Reason::LinesBusy,
        _ => Reason::None,
    }
}

/// Returns the reason of a refusal for the code used in the simulator's protocol.
pub fn reason_from_code(code: i64) -> Reason {
    // The low four bits give the kind. The higher bits hold a wait in milliseconds, or one bit of detail.
    let detail = code >> 4;
    match code & 15 {
        1 => Reason::NoCircuit,
        2 => Reason::TurnedBack { far_processor: detail & 1 == 1 },
        3 => Reason::ProcessorFull { wait: detail.max(0).saturating_mul(1000) },
        4 => Reason::LinesBusy,
        _ => Reason::None,
    }
}
