//! Load reports and the reasons of refusals.

use lemoncleat::{Micros, Reason, Report};

/// Puts a figure into a report. Figures below zero say nothing, and neither do names that are not known. Both
/// vocabularies are understood: that of the simulator's wire and that of the sockets.
pub fn set_figure(report: &mut Report, name: &str, figure: f64) {
    let figure = (figure.is_finite() && figure >= 0.0).then_some(figure);
    match name {
        "spare" | "x0" => report.free = figure,
        "total" | "x1" => report.lines = figure,
        "waiting" | "queue" => report.queue = figure,
        "active" | "inflight" => report.active = figure,
        "cpu" | "util" => report.busy = figure,
        "avg_ms" | "latency_ms" => report.wait = figure.map(|ms| (ms * 1000.0) as Micros),
        "allowed" | "qps" => report.allowed = figure,
        "cut_by" | "eps" => report.cut_by = figure,
        _ => {}
    }
}

/// A report as it stands on the sockets, `x0:12;x1:40`. What can't be read of it is left out.
pub fn report_of_text(text: &str) -> Report {
    let mut report = Report::default();
    for part in text.split([';', ',']) {
        if let Some((name, value)) = part.split_once([':', '=']) {
            if let Ok(figure) = value.trim().parse() {
                set_figure(&mut report, name.trim(), figure);
            }
        }
    }
    report
}

/// The reason of a refusal, from the word that the sockets have for it and the wait that came with it.
pub fn diagnosis(word: &str, wait: Micros) -> Reason {
    match word.trim() {
        "all_trunks_busy" => Reason::NoCircuit,
        "via_said_no" => Reason::TurnedBack { far_processor: false },
        "far_cpu_full" => Reason::TurnedBack { far_processor: true },
        "cpu_full" => Reason::ProcessorFull { wait: wait.max(0) },
        "number_busy" => Reason::LinesBusy,
        _ => Reason::None,
    }
}

/// The reason of a refusal, from the code that the simulator's wire has for it.
pub fn reason_of_code(code: i64) -> Reason {
    // The low four bits tell the kind; above them stands a wait, or one bit of detail.
    let detail = code >> 4;
    match code & 15 {
        1 => Reason::NoCircuit,
        2 => Reason::TurnedBack { far_processor: detail & 1 == 1 },
        3 => Reason::ProcessorFull { wait: detail.max(0).saturating_mul(1000) },
        4 => Reason::LinesBusy,
        _ => Reason::None,
    }
}
