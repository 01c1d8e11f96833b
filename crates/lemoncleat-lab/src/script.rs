//! Generates the settings file of a node in a run, in the format that operators write.

use std::fmt::Write;
use std::net::SocketAddr;

use crate::day::Day;

/// Returns the settings of one node of a day; `tls` is the form that selects TLS or plain connections.
pub fn node_settings(day: &Day, node: u16, feed: SocketAddr, clients: &[String], tls: &str) -> String {
    let mut text = String::new();
    let processor = &day.processor;
    let _ = writeln!(text, "{tls} (host node-{node}.lab) (realm lab)\n(listen 127.0.0.1:0)\n(feed {feed})");
    let _ = writeln!(text, "(clients {})", clients.join(" "));
    let _ = writeln!(text, "(classes");
    for class in &day.classes {
        let _ = writeln!(
            text,
            "  (class (name {}) (aim {}) (deadline {}) (worth {}) (late-worth {}) (length {}))",
            class.name, class.aim, class.deadline, class.worth, class.late_worth, class.length
        );
    }
    let _ = writeln!(text, ")\n(plan");
    for (index, class) in day.classes.iter().enumerate() {
        for place in 0..day.servers.len() {
            let digits = &Day::number(index, place, 0)[..Day::prefix(index).len() + 3];
            let _ = writeln!(text, "  (prefix (digits {digits}) (class {}) (place {place}))", class.name);
        }
    }
    let _ = writeln!(text, ")\n(nodes {}) (number {node}) (attempts {})", day.nodes, day.attempts);
    let _ = writeln!(text, "(release {}) (repeat {})", day.release, processor.repeat);
    let _ = writeln!(text, "(tells-wait {})", if processor.tells_wait { "yes" } else { "no" });
    let _ = writeln!(
        text,
        "(cold (from {}) (span {}) (multiple {}) (for {}))",
        processor.cold_from, processor.cold_span, processor.fall_multiple, processor.fall_span
    );
    let _ = writeln!(
        text,
        "(timing (watchdog {}) (watchdog-below-floor yes) (dial-first 50ms) (dial-most 1s) (drain 2s)
  (answer-margin {}))",
        day.watchdog, day.answer_margin
    );
    if let Some(circuits) = &day.circuits {
        let _ = writeln!(
            text,
            "(control 127.0.0.1:0) (circuits (size {}) (audit-round 4s) (release-again 500ms) (reset-again 500ms))",
            circuits.size
        );
    }
    let _ = writeln!(text, "(seed {})", day.seed.wrapping_mul(1000).wrapping_add(u64::from(node)));
    text
}
