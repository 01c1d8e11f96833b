//! Samples taken about once a second, and their distribution over windows.

use std::collections::BTreeMap;

use super::host::Traffic;
use super::report::{Distribution, RoleFigures};
use crate::Micros;

/// Cumulative resource use of a node at a point in time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sample {
    pub(super) at: Micros,
    pub(super) start: u64,
    pub(super) processor_us: Option<u64>,
    pub(super) traffic: Option<Traffic>,
    pub(super) memory_bytes: u64,
}

/// Resource use of the nodes of one role, in windows of about a second.
#[derive(Debug, Default)]
pub(super) struct Windows {
    last: BTreeMap<usize, Sample>,
    sent: Vec<f64>,
    sent_bytes: Vec<f64>,
    received: Vec<f64>,
    received_bytes: Vec<f64>,
    processor: Vec<f64>,
    memory: Vec<f64>,
}

impl Windows {
    /// Adds a sample of a node. The difference from the node's previous sample is one window, unless the node
    /// was restarted in between.
    pub(super) fn add(&mut self, node: usize, sample: Sample) {
        let last = self.last.insert(node, sample);
        self.memory.push(sample.memory_bytes as f64);
        let Some(last) = last.filter(|last| last.start == sample.start && last.at < sample.at) else {
            return;
        };
        let seconds = (sample.at - last.at) as f64 / 1e6;
        let per_second = |now: u64, before: u64| now.saturating_sub(before) as f64 / seconds;
        if let (Some(now), Some(before)) = (sample.processor_us, last.processor_us) {
            self.processor.push(per_second(now, before));
        }
        if let (Some(now), Some(before)) = (sample.traffic, last.traffic) {
            self.sent.push(per_second(now.sent, before.sent));
            self.sent_bytes.push(per_second(now.sent_bytes, before.sent_bytes));
            self.received.push(per_second(now.received, before.received));
            self.received_bytes.push(per_second(now.received_bytes, before.received_bytes));
        }
    }

    /// Returns the distributions of all windows since the previous call and clears them.
    pub(super) fn drain(&mut self) -> RoleFigures {
        let distribution = |of: &mut Vec<f64>| Distribution::of(std::mem::take(of));
        RoleFigures {
            windows: self.memory.len(),
            bytes_sent: distribution(&mut self.sent_bytes),
            bytes_received: distribution(&mut self.received_bytes),
            messages_sent: distribution(&mut self.sent),
            messages_received: distribution(&mut self.received),
            processor_us: distribution(&mut self.processor),
            memory_bytes: distribution(&mut self.memory),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn window_covers_one_process_and_restart_starts_a_new_one() {
        let mut windows = Windows::default();
        let sample = |at, start, us| Sample { at, start, processor_us: Some(us), ..Sample::default() };
        windows.add(1, sample(1_000_000, 1, 500));
        windows.add(1, sample(3_000_000, 1, 900));
        windows.add(1, sample(4_000_000, 2, 100));
        windows.add(1, sample(5_000_000, 2, 160));
        let told = windows.drain();
        let processor = told.processor_us.expect("windows");
        assert_eq!((processor.least, processor.most), (60.0, 200.0));
        assert_eq!((told.windows, told.messages_sent.is_none()), (4, true));
        windows.add(1, sample(6_000_000, 2, 170));
        assert_eq!(windows.drain().processor_us.expect("a window").most, 10.0);
    }
}
