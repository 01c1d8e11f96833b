//! The thread that writes a store.

use std::sync::mpsc::{sync_channel, SyncSender};
use std::thread::JoinHandle;

use crate::{Batch, Store};

/// Writes batches in order and tells of each. A voter gives out one at a time.
pub struct Writer {
    sender: Option<SyncSender<Batch>>,
    thread: Option<JoinHandle<()>>,
}

impl Writer {
    /// Starts the thread. `done` hears of each batch, there, with its number and why it could not be stored, if so:
    /// [`Input::Stored`](crate::Input::Stored) or [`Input::StoreFailed`](crate::Input::StoreFailed).
    ///
    /// # Errors
    ///
    /// When the system starts no thread.
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

    /// Gives it a batch, without waiting; whether it was taken. It is not when the thread ended or has two to write
    /// already, and then `done` hears nothing of it.
    pub fn write(&self, batch: Batch) -> bool {
        self.sender.as_ref().is_some_and(|sender| sender.try_send(batch).is_ok())
    }
}

impl Drop for Writer {
    /// Waits until what was given is written.
    fn drop(&mut self) {
        self.sender = None;
        if let Some(thread) = self.thread.take() {
            // A thread that panicked has told so by itself.
            let _ = thread.join();
        }
    }
}
