//! The thread that writes a store.

use std::sync::mpsc::{sync_channel, SyncSender};
use std::thread::JoinHandle;

use crate::{Batch, Store};

/// Writes batches in order and reports the result of each. A voter has one batch outstanding at a time.
pub struct Writer {
    sender: Option<SyncSender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `done` is called on it for each batch, with the batch's number and the error if it
    /// could not be stored, to be passed on as [`Input::Stored`](crate::Input::Stored) or
    /// [`Input::StoreFailed`](crate::Input::StoreFailed).
    ///
    /// # Errors
    ///
    /// Returns an error if the system can't start a thread.
    pub fn start(
        mut store: Store,
        mut done: impl FnMut(u64, Result<(), String>) + Send + 'static,
    ) -> std::io::Result<Writer> {
        let (sender, receiver) = sync_channel::<Batch>(2);
        let thread = std::thread::Builder::new().name("agreement".to_owned()).spawn(move || {
            for batch in receiver {
                let result = store.apply(&batch).map_err(|error| error.to_string());
                done(batch.number, result);
            }
        })?;
        Ok(Writer { sender: Some(sender), thread: Some(thread) })
    }

    /// Queues a batch without waiting. Returns false if the thread has ended or already has two batches;
    /// `done` is not called then.
    pub fn write(&self, batch: Batch) -> bool {
        self.sender.as_ref().is_some_and(|sender| sender.try_send(batch).is_ok())
    }
}

impl Drop for Writer {
    /// Waits until the queued batches are written.
    fn drop(&mut self) {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been reported by the panic hook.
            let _ = thread.join();
        }
    }
}
