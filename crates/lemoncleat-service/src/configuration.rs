//! Driver of the fleet configuration: threads that parse configuration texts and store the version in force
//! on disk, so that call processing waits for neither.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread::JoinHandle;

use crate::config::{read_with, Config};
use crate::in_place::fits_in_place;
use crate::service::ServiceSettings;

/// File names of the version in force and of the temporary file that is renamed to it.
const CONFIGURATION_FILE: &str = "configuration";
const TEMPORARY_FILE: &str = "configuration.new";
/// Maximum size of the file.
const MAX_FILE_BYTES: u64 = 512 * 1024;
/// Maximum number of operators' texts that wait for a check.
const MAX_PENDING_CHECKS: usize = 16;

enum Job {
    Read { number: u64, text: String },
    Check { conn: u64, order: String, parent: u64, text: String },
}

#[derive(Debug)]
pub(crate) enum ConfigurationResult {
    /// The version in force was stored, or the cause of the failure.
    Stored(Result<(), String>),
    /// A text that is to be put in force, merged with the node's own file, or the reason why it is unusable.
    Read { number: u64, result: Result<Box<Config>, String> },
    /// The result of checking an operator's text.
    Checked { conn: u64, order: String, parent: u64, text: String, result: Result<(), String> },
}

/// A result of the fleet configuration threads.
#[derive(Debug)]
pub struct ConfigurationEvent(pub(crate) ConfigurationResult);

/// Handle to the threads. Dropping it lets them finish the queued jobs and waits for their end.
pub(crate) struct ConfigurationDriver {
    directory: PathBuf,
    texts: Option<mpsc::Sender<Job>>,
    files: Option<mpsc::Sender<Vec<u8>>>,
    pending_checks: usize,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for ConfigurationDriver {
    fn drop(&mut self) {
        (self.texts, self.files) = (None, None);
        for thread in self.threads.drain(..) {
            // A thread that panicked has no work left.
            let _ = thread.join();
        }
    }
}

/// Parses an agreed text with the settings that the node was started with, and checks that it could be put in
/// force without a restart.
fn read(base: &ServiceSettings, text: &str) -> Result<Config, String> {
    let config = read_with(&base.text, text).map_err(|error| error.in_file("text"))?;
    fits_in_place(base, &config.service).map_err(|why| format!("text: {why}"))?;
    Ok(config)
}

/// Replaces the stored file atomically: after a crash at any moment it has either the old or the new
/// contents, complete.
fn store(directory: &Path, bytes: &[u8]) -> io::Result<()> {
    fs::create_dir_all(directory)?;
    let temporary = directory.join(TEMPORARY_FILE);
    let mut file = File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&temporary, directory.join(CONFIGURATION_FILE))?;
    File::open(directory)?.sync_all()
}

impl ConfigurationDriver {
    /// Starts the threads of a node with these settings; they report results through `done`.
    pub(crate) fn start(
        directory: &Path,
        base: ServiceSettings,
        done: impl Fn(ConfigurationEvent) + Clone + Send + 'static,
    ) -> Result<ConfigurationDriver, String> {
        let (texts, jobs) = mpsc::channel();
        let (files, bytes) = mpsc::channel::<Vec<u8>>();
        let report = done.clone();
        let spawn = |name: &str, work: Box<dyn FnOnce() + Send>| {
            let thread = std::thread::Builder::new().name(name.to_owned()).spawn(work);
            thread.map_err(|error| format!("no thread for the configuration: {error}"))
        };
        let reader = spawn(
            "texts",
            Box::new(move || {
                for job in jobs {
                    report(ConfigurationEvent(match job {
                        Job::Read { number, text } => {
                            ConfigurationResult::Read { number, result: read(&base, &text).map(Box::new) }
                        }
                        Job::Check { conn, order, parent, text } => {
                            let result = read(&base, &text).map(drop);
                            ConfigurationResult::Checked { conn, order, parent, text, result }
                        }
                    }));
                }
            }),
        )?;
        let store_directory = directory.to_path_buf();
        let writer = spawn(
            "kept",
            Box::new(move || {
                for bytes in bytes {
                    let result = store(&store_directory, &bytes)
                        .map_err(|error| format!("{}: {error}", store_directory.display()));
                    done(ConfigurationEvent(ConfigurationResult::Stored(result)));
                }
            }),
        )?;
        Ok(ConfigurationDriver {
            directory: directory.to_path_buf(),
            texts: Some(texts),
            files: Some(files),
            pending_checks: 0,
            threads: vec![reader, writer],
        })
    }

    /// Returns the configuration stored by an earlier run, if any.
    pub(crate) fn read_stored(&self) -> Result<Option<Vec<u8>>, String> {
        let path = self.directory.join(CONFIGURATION_FILE);
        let with_path = |error: io::Error| format!("{}: {error}", path.display());
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(with_path(error)),
        };
        let mut bytes = Vec::new();
        file.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes).map_err(with_path)?;
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(format!("{}: longer than {MAX_FILE_BYTES} bytes", path.display()));
        }
        Ok(Some(bytes))
    }

    fn send_job(&self, job: Job) -> bool {
        self.texts.as_ref().is_some_and(|texts| texts.send(job).is_ok())
    }

    /// Queues a text that is to be put in force; returns false if the thread has ended.
    pub(crate) fn read(&self, number: u64, text: String) -> bool {
        self.send_job(Job::Read { number, text })
    }

    /// Queues the version in force for storage; returns false if the thread has ended.
    pub(crate) fn store(&self, bytes: Vec<u8>) -> bool {
        self.files.as_ref().is_some_and(|files| files.send(bytes).is_ok())
    }

    /// Queues an operator's text for a check; returns false if too many are waiting.
    pub(crate) fn check(&mut self, conn: u64, order: String, parent: u64, text: String) -> bool {
        let sent = self.pending_checks < MAX_PENDING_CHECKS
            && self.send_job(Job::Check { conn, order, parent, text });
        self.pending_checks += usize::from(sent);
        sent
    }

    /// Records that the result of a check was received.
    pub(crate) fn checked(&mut self) {
        self.pending_checks = self.pending_checks.saturating_sub(1);
    }
}
