//! Model of a call server's processor: one queue whose jobs run in sequence, as the operators' briefs
//! describe it. It does not measure a real machine.

use std::collections::VecDeque;

use crate::Micros;

/// A job of the processor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Job {
    /// A set-up: number of its session and time of arrival.
    SetUp(u64, Micros),
    /// The answer to an established call; counts as work only.
    Answer,
    /// A release: number of its session.
    Release(u64),
    /// Refusal of a set-up; counts as work only.
    Reject,
}

/// Parameters of a processor.
#[derive(Clone, Debug, PartialEq)]
pub struct ProcessorSettings {
    /// Calls per second that it can process when warm, with set-up, answer and release.
    pub capacity: f64,
    /// Shares of a call's work for the set-up, the answer and the release.
    pub shares: (f64, f64, f64),
    /// Work of refusing a set-up, as a share of a call's.
    pub reject: f64,
    /// Wait beyond which set-ups are refused.
    pub queue: Micros,
    /// A waiting set-up is retransmitted after this time and then at doubling intervals; each repeat adds
    /// work.
    pub repeat: Option<Micros>,
    /// Work of a repeat, as a share of a call's.
    pub repeat_work: f64,
    /// Answers and releases are processed before set-ups.
    pub finish_first: bool,
    /// Share of its capacity at a cold start.
    pub cold_from: f64,
    /// Time to warm up.
    pub cold_span: Micros,
}

/// The processor of one server.
#[derive(Debug)]
pub struct Processor {
    settings: ProcessorSettings,
    urgent: VecDeque<Job>,
    queue: VecDeque<Job>,
    running: Option<(Job, Micros)>,
    /// Work waiting in both queues, in microseconds of a warm processor.
    backlog: f64,
    started: Option<Micros>,
    /// Factor by which it runs slower.
    pub slow: f64,
    hung: Option<Micros>,
}

impl Processor {
    /// Creates a warm, idle processor.
    pub fn new(settings: ProcessorSettings) -> Self {
        Processor {
            settings,
            urgent: VecDeque::new(),
            queue: VecDeque::new(),
            running: None,
            backlog: 0.0,
            started: None,
            slow: 1.0,
            hung: None,
        }
    }

    /// Restarts the processor, cold and with empty queues.
    pub fn restart(&mut self, now: Micros) {
        *self = Processor { started: Some(now), slow: self.slow, ..Processor::new(self.settings.clone()) };
    }

    /// Returns its parameters.
    pub fn settings(&self) -> &ProcessorSettings {
        &self.settings
    }

    /// Returns the share of its capacity available at a time.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started).max(0) as f64 / self.settings.cold_span.max(1) as f64;
        let from = self.settings.cold_from;
        (from + (1.0 - from) * age).min(1.0)
    }

    /// Stops processing, or resumes where it stopped.
    pub fn hang(&mut self, now: Micros, on: bool) {
        match (on, self.hung) {
            (true, None) => self.hung = Some(now),
            (false, Some(since)) => {
                self.hung = None;
                if let Some((_, ends)) = &mut self.running {
                    *ends += now - since;
                }
                self.start_next(now);
            }
            _ => {}
        }
    }

    fn job_work(&self, job: &Job, now: Micros) -> f64 {
        let call = 1e6 / self.settings.capacity;
        let (set_up, answer, release) = self.settings.shares;
        match job {
            Job::SetUp(_, arrived) => {
                let repeats = match self.settings.repeat {
                    Some(gap) if gap > 0 => ((now - arrived) as f64 / gap as f64 + 1.0).log2().floor(),
                    _ => 0.0,
                };
                call * (set_up + repeats.max(0.0) * self.settings.repeat_work)
            }
            Job::Answer => call * answer,
            Job::Release(_) => call * release,
            Job::Reject => call * self.settings.reject,
        }
    }

    /// Returns how long a job that arrives now would wait.
    pub fn wait(&self, now: Micros) -> Micros {
        let rest = self.running.as_ref().map_or(0, |(_, ends)| (ends - now).max(0));
        rest + (self.backlog * self.slow / self.warmth(now)) as Micros
    }

    /// Returns the number of waiting jobs.
    pub fn waiting(&self) -> usize {
        self.urgent.len() + self.queue.len()
    }

    /// Queues a job.
    pub fn push(&mut self, now: Micros, job: Job) {
        self.backlog += self.job_work(&job, now);
        if self.settings.finish_first && matches!(job, Job::Answer | Job::Release(_)) {
            self.urgent.push_back(job);
        } else {
            self.queue.push_back(job);
        }
        self.start_next(now);
    }

    /// Removes a waiting set-up from the queue.
    pub fn drop_set_up(&mut self, session: u64) {
        let found = self.queue.iter().position(|job| matches!(job, Job::SetUp(s, _) if *s == session));
        if let Some(job) = found.and_then(|at| self.queue.remove(at)) {
            self.backlog = (self.backlog - self.work_when_queued(&job)).max(0.0);
        }
    }

    fn work_when_queued(&self, job: &Job) -> f64 {
        match job {
            Job::SetUp(_, arrived) => self.job_work(job, *arrived),
            _ => self.job_work(job, 0),
        }
    }

    fn start_next(&mut self, now: Micros) {
        if self.running.is_some() || self.hung.is_some() {
            return;
        }
        let Some(job) = self.urgent.pop_front().or_else(|| self.queue.pop_front()) else {
            self.backlog = 0.0;
            return;
        };
        self.backlog = (self.backlog - self.work_when_queued(&job)).max(0.0);
        let time = self.job_work(&job, now) * self.slow / self.warmth(now);
        self.running = Some((job, now + time as Micros));
    }

    /// Returns when the running job finishes.
    pub fn due(&self) -> Option<Micros> {
        if self.hung.is_some() {
            return None;
        }
        self.running.as_ref().map(|(_, ends)| *ends)
    }

    /// Returns the running job if it is finished; the next one starts at the time at which it ended.
    pub fn pop(&mut self, now: Micros) -> Option<Job> {
        if self.hung.is_some() || self.running.as_ref().is_none_or(|(_, ends)| *ends > now) {
            return None;
        }
        let (job, ends) = self.running.take()?;
        self.start_next(ends);
        Some(job)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn settings() -> ProcessorSettings {
        ProcessorSettings {
            capacity: 100.0,
            shares: (0.6, 0.2, 0.2),
            reject: 0.1,
            queue: 1_000_000,
            repeat: None,
            repeat_work: 0.2,
            finish_first: false,
            cold_from: 0.5,
            cold_span: 10_000_000,
        }
    }

    #[test]
    fn jobs_run_in_sequence_with_their_share_of_call_work() {
        let mut processor = Processor::new(settings());
        processor.push(0, Job::SetUp(1, 0));
        processor.push(0, Job::Release(2));
        assert_eq!(processor.wait(0), 8_000);
        assert_eq!(processor.pop(5_999), None);
        assert_eq!(processor.pop(6_000), Some(Job::SetUp(1, 0)));
        assert_eq!(processor.due(), Some(8_000));
        assert_eq!(processor.pop(9_000), Some(Job::Release(2)));
        assert_eq!((processor.due(), processor.wait(9_000)), (None, 0));
    }

    #[test]
    fn cold_processor_runs_slower_until_warm() {
        let mut processor = Processor::new(settings());
        processor.restart(0);
        processor.push(0, Job::SetUp(1, 0));
        assert_eq!(processor.due(), Some(12_000));
        assert!((processor.warmth(5_000_000) - 0.75).abs() < 1e-9);
        assert!((processor.warmth(50_000_000) - 1.0).abs() < 1e-9);
    }

    #[test]
    fn hung_processor_resumes_running_job() {
        let mut processor = Processor::new(settings());
        processor.push(0, Job::SetUp(1, 0));
        processor.hang(2_000, true);
        assert_eq!((processor.due(), processor.pop(1_000_000)), (None, None));
        processor.hang(1_002_000, false);
        assert_eq!(processor.due(), Some(1_006_000));
    }

    #[test]
    fn waiting_set_ups_add_repeat_work_and_dropped_ones_none() {
        let mut processor = Processor::new(ProcessorSettings { repeat: Some(1_000), ..settings() });
        processor.push(0, Job::SetUp(1, 0));
        processor.push(0, Job::SetUp(2, 0));
        processor.push(0, Job::SetUp(3, 0));
        processor.drop_set_up(2);
        assert_eq!(processor.waiting(), 1);
        processor.pop(6_000);
        // It waited six intervals: two repeats of 2 ms in addition to its own 6 ms.
        assert_eq!(processor.due(), Some(16_000));
    }

    #[test]
    fn answers_precede_set_ups_when_finish_first_is_set() {
        let mut processor = Processor::new(ProcessorSettings { finish_first: true, ..settings() });
        processor.push(0, Job::SetUp(1, 0));
        processor.push(0, Job::SetUp(2, 0));
        processor.push(0, Job::Answer);
        assert_eq!(processor.pop(6_000), Some(Job::SetUp(1, 0)));
        assert_eq!(processor.pop(8_000), Some(Job::Answer));
    }
}
