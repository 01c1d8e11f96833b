//! The driver of a fleet's configuration: threads that read texts and keep the version in force on disk, so
//! that no call waits for either.

use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread::JoinHandle;

use crate::config::{read_with, Config};
use crate::in_place::fits_in_place;
use crate::service::ServiceSettings;

/// The version in force, in the directory of the settings, and the file that is written before it takes its
/// place.
const FILE: &str = "configuration";
const ASIDE: &str = "configuration.new";
/// Most bytes of such a file.
const MOST_KEPT: u64 = 512 * 1024;
/// Most operators' texts that wait to be checked.
const MOST_CHECKS: usize = 16;

enum Job {
    Read { number: u64, text: String },
    Check { conn: u64, order: String, parent: u64, text: String },
}

#[derive(Debug)]
pub(crate) enum Done {
    /// The version in force is kept, or why not.
    Kept(Result<(), String>),
    /// A text that is to come in force, read with the node's own file, or why it can't be used.
    Read { number: u64, result: Result<Box<Config>, String> },
    /// An operator's text, and why it can't be used, if so.
    Checked { conn: u64, order: String, parent: u64, text: String, result: Result<(), String> },
}

/// What the threads of a fleet's configuration have done.
#[derive(Debug)]
pub struct ConfigurationNews(pub(crate) Done);

/// The threads. What they were given is done before they end with it.
pub(crate) struct ConfigurationDriver {
    directory: PathBuf,
    texts: Option<mpsc::Sender<Job>>,
    files: Option<mpsc::Sender<Vec<u8>>>,
    checks: usize,
    threads: Vec<JoinHandle<()>>,
}

impl Drop for ConfigurationDriver {
    fn drop(&mut self) {
        (self.texts, self.files) = (None, None);
        for thread in self.threads.drain(..) {
            // One that panicked has nothing left to do.
            let _ = thread.join();
        }
    }
}

/// Reads an agreed text with the settings that a node was started with, and looks whether it could be put in
/// force.
fn read(base: &ServiceSettings, text: &str) -> Result<Config, String> {
    let config = read_with(&base.text, text).map_err(|error| error.in_file("text"))?;
    fits_in_place(base, &config.service).map_err(|why| format!("text: {why}"))?;
    Ok(config)
}

/// Puts these bytes in place of those before: after a crash at any moment the one or the other are there,
/// whole.
fn keep(directory: &Path, bytes: &[u8]) -> io::Result<()> {
    fs::create_dir_all(directory)?;
    let aside = directory.join(ASIDE);
    let mut file = File::create(&aside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&aside, directory.join(FILE))?;
    File::open(directory)?.sync_all()
}

impl ConfigurationDriver {
    /// Starts the threads of a node with these settings; `done` hears what they have done.
    pub(crate) fn start(
        directory: &Path,
        base: ServiceSettings,
        done: impl Fn(ConfigurationNews) + Clone + Send + 'static,
    ) -> Result<ConfigurationDriver, String> {
        let (texts, jobs) = mpsc::channel();
        let (files, bytes) = mpsc::channel::<Vec<u8>>();
        let tell = done.clone();
        let spawn = |name: &str, work: Box<dyn FnOnce() + Send>| {
            let thread = std::thread::Builder::new().name(name.to_owned()).spawn(work);
            thread.map_err(|error| format!("no thread for the configuration: {error}"))
        };
        let reader = spawn(
            "texts",
            Box::new(move || {
                for job in jobs {
                    tell(ConfigurationNews(match job {
                        Job::Read { number, text } => {
                            Done::Read { number, result: read(&base, &text).map(Box::new) }
                        }
                        Job::Check { conn, order, parent, text } => {
                            let result = read(&base, &text).map(drop);
                            Done::Checked { conn, order, parent, text, result }
                        }
                    }));
                }
            }),
        )?;
        let kept = directory.to_path_buf();
        let keeper = spawn(
            "kept",
            Box::new(move || {
                for bytes in bytes {
                    let result = keep(&kept, &bytes).map_err(|error| format!("{}: {error}", kept.display()));
                    done(ConfigurationNews(Done::Kept(result)));
                }
            }),
        )?;
        Ok(ConfigurationDriver {
            directory: directory.to_path_buf(),
            texts: Some(texts),
            files: Some(files),
            checks: 0,
            threads: vec![reader, keeper],
        })
    }

    /// What was kept before this start; none if nothing was.
    pub(crate) fn found(&self) -> Result<Option<Vec<u8>>, String> {
        let path = self.directory.join(FILE);
        let told = |error: io::Error| format!("{}: {error}", path.display());
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(told(error)),
        };
        let mut bytes = Vec::new();
        file.take(MOST_KEPT + 1).read_to_end(&mut bytes).map_err(told)?;
        if bytes.len() as u64 > MOST_KEPT {
            return Err(format!("{}: longer than {MOST_KEPT} bytes", path.display()));
        }
        Ok(Some(bytes))
    }

    fn job(&self, job: Job) -> bool {
        self.texts.as_ref().is_some_and(|texts| texts.send(job).is_ok())
    }

    /// Reads a text that is to come in force; false if nobody does any more.
    pub(crate) fn read(&self, number: u64, text: String) -> bool {
        self.job(Job::Read { number, text })
    }

    /// Keeps the version in force; false if nobody does any more.
    pub(crate) fn keep(&self, bytes: Vec<u8>) -> bool {
        self.files.as_ref().is_some_and(|files| files.send(bytes).is_ok())
    }

    /// Checks an operator's text; false if too many wait.
    pub(crate) fn check(&mut self, conn: u64, order: String, parent: u64, text: String) -> bool {
        let sent = self.checks < MOST_CHECKS && self.job(Job::Check { conn, order, parent, text });
        self.checks += usize::from(sent);
        sent
    }

    /// One that was checked is heard of.
    pub(crate) fn checked(&mut self) {
        self.checks = self.checks.saturating_sub(1);
    }
}
