//! A program started from its binary.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::Arc;

use rustix::process::{kill_process, waitid, Pid, Signal, WaitId, WaitIdOptions};

use super::lines::Lines;

/// Lines of the log that an error shows.
const SHOWN: usize = 10;

/// How a process is started.
#[derive(Clone, Debug, Default)]
pub struct Program {
    /// The binary.
    pub path: PathBuf,
    /// Its arguments; `{settings}` and `{disk}` stand for the process's file and directory.
    pub arguments: Vec<String>,
    /// Variables added to its environment.
    pub environment: Vec<(String, String)>,
    /// Lines `listening on ADDRESS` that it writes to standard output when it is ready.
    pub listens: usize,
    /// It writes `control on ADDRESS` after them.
    pub control: bool,
}

impl Program {
    /// A node of the product, with one listener and a control port.
    pub fn node(binary: &Path) -> Program {
        Program {
            path: binary.to_owned(),
            arguments: ["node", "--config", "{settings}"].map(str::to_owned).to_vec(),
            environment: Vec::new(),
            listens: 1,
            control: true,
        }
    }
}

/// Where a process that is ready can be reached.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// What it listens on, in the order in which it said so.
    pub listening: Vec<SocketAddr>,
    /// Its control port.
    pub control: Option<SocketAddr>,
}

/// What a process finds of its disk when it is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// All that it wrote.
    Kept,
    /// Nothing.
    Lost,
}

/// One process. It ends with this value.
pub struct Process {
    name: String,
    program: Program,
    folder: PathBuf,
    child: Option<Child>,
    paused: bool,
    output: Arc<Lines>,
    log: Arc<Lines>,
    /// Lines of output before this run.
    begun: usize,
    /// It takes orders on its standard input.
    ordered: bool,
    orders: Option<ChildStdin>,
    /// Lines of output that were heard as answers, over all runs.
    heard: usize,
}

impl Process {
    /// Starts it, with a settings file `settings`, a directory `disk` of its own in which it runs, and a copy
    /// of
    /// its standard error in `log`, all in the folder.
    ///
    /// # Errors
    ///
    /// When the folder can't be written or the binary not started.
    pub fn start(name: &str, program: &Program, folder: &Path, settings: &str) -> io::Result<Process> {
        Process::begin(name, program, folder, settings, false)
    }

    /// As [`Process::start`], for one that takes orders on its standard input ([`Process::say`]) and ends
    /// when that
    /// closes.
    ///
    /// # Errors
    ///
    /// As [`Process::start`].
    pub fn start_ordered(
        name: &str,
        program: &Program,
        folder: &Path,
        settings: &str,
    ) -> io::Result<Process> {
        Process::begin(name, program, folder, settings, true)
    }

    fn begin(
        name: &str,
        program: &Program,
        folder: &Path,
        settings: &str,
        ordered: bool,
    ) -> io::Result<Process> {
        fs::create_dir_all(folder.join("disk"))?;
        let mut process = Process {
            name: name.to_owned(),
            program: program.clone(),
            folder: folder.to_owned(),
            child: None,
            paused: false,
            output: Arc::default(),
            log: Arc::default(),
            begun: 0,
            ordered,
            orders: None,
            heard: 0,
        };
        process.set_settings(settings)?;
        process.spawn()?;
        Ok(process)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let (settings, disk) = (self.folder.join("settings"), self.disk());
        let fill = |argument: &String| {
            argument
                .replace("{settings}", &settings.display().to_string())
                .replace("{disk}", &disk.display().to_string())
        };
        let mut command = Command::new(&self.program.path);
        #[cfg(feature = "faults")]
        command.env_remove(super::STAGE_VARIABLE);
        let mut child = command
            .args(self.program.arguments.iter().map(fill))
            .envs(self.program.environment.iter().cloned())
            .current_dir(&disk)
            .stdin(if self.ordered { Stdio::piped() } else { Stdio::null() })
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| {
                io::Error::new(error.kind(), format!("{}: {error}", self.program.path.display()))
            })?;
        self.orders = child.stdin.take();
        let (output, errors) = (child.stdout.take(), child.stderr.take());
        // Held from here on, so that it ends even if what follows fails.
        self.child = Some(child);
        self.paused = false;
        self.begun = self.output.count();
        self.heard = self.begun;
        let copy = OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        if let Some(errors) = errors {
            self.log.read(&self.name, errors, Some(copy))?;
        }
        if let Some(output) = output {
            self.output.read(&self.name, output, None)?;
        }
        Ok(())
    }

    /// Its name, which is also that of its end in [`Links`](super::Links).
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its number while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// The directory that it runs in.
    pub fn disk(&self) -> PathBuf {
        self.folder.join("disk")
    }

    /// The copy of its standard error, over all runs.
    pub fn log_file(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Writes the settings that its next start, or a reload, finds.
    ///
    /// # Errors
    ///
    /// When the file can't be written.
    pub fn set_settings(&self, settings: &str) -> io::Result<()> {
        fs::write(self.folder.join("settings"), settings)
    }

    /// Waits until it has said all addresses that its [`Program`] promises.
    ///
    /// # Errors
    ///
    /// When it ended before (with the end of its log), or on [`LIMIT`](super::LIMIT).
    pub fn ready(&self) -> io::Result<Ready> {
        let mut ready = Ready::default();
        let (listens, control) = (self.program.listens, self.program.control);
        if listens == 0 && !control {
            return Ok(ready);
        }
        let what = format!("{} ready", self.name);
        let found = self.output.wait(&what, self.begun, |line| {
            let after = |start| line.strip_prefix(start).and_then(|text| text.parse().ok());
            ready.listening.extend(after("listening on "));
            ready.control = ready.control.or(after("control on "));
            ready.listening.len() >= listens && (ready.control.is_some() || !control)
        });
        found.map_err(|error| self.with_log(&error))?;
        Ok(ready)
    }

    fn with_log(&self, error: &io::Error) -> io::Error {
        if error.kind() == io::ErrorKind::UnexpectedEof {
            // What it said last is read to the end first. A limit met here changes nothing of the error.
            let _ = self.log.wait_closed(&self.name);
        }
        io::Error::new(error.kind(), format!("{error}{}", self.log.last(SHOWN)))
    }

    /// Lines of its log so far, over all runs: a mark for [`Process::wait_for_log`].
    pub fn log_lines(&self) -> usize {
        self.log.count()
    }

    /// Waits for a line of its log, the first that fits after a mark.
    ///
    /// # Errors
    ///
    /// When it ended without, or on [`LIMIT`](super::LIMIT).
    pub fn wait_for_log(&self, since: usize, fits: impl FnMut(&str) -> bool) -> io::Result<String> {
        self.log
            .wait(&format!("a line in the log of {}", self.name), since, fits)
            .map_err(|error| self.with_log(&error))
    }

    /// Waits for a line of this run's standard output.
    ///
    /// # Errors
    ///
    /// As [`Process::wait_for_log`].
    pub fn wait_for_output(&self, fits: impl FnMut(&str) -> bool) -> io::Result<String> {
        self.output
            .wait(&format!("a line of {}", self.name), self.begun, fits)
            .map_err(|error| self.with_log(&error))
    }

    /// Gives it a line on its standard input.
    ///
    /// # Errors
    ///
    /// When it takes no orders or has ended.
    pub fn say(&mut self, line: &str) -> io::Result<()> {
        let none = || io::Error::other("it takes no orders");
        let orders = self.orders.as_mut().ok_or_else(none)?;
        orders.write_all(format!("{line}\n").as_bytes())?;
        orders.flush()
    }

    /// Waits for the next line of its standard output, each heard once.
    ///
    /// # Errors
    ///
    /// As [`Process::wait_for_log`].
    pub fn hear(&mut self) -> io::Result<String> {
        let found = self.output.wait(&format!("an answer of {}", self.name), self.heard, |_| true);
        let line = found.map_err(|error| self.with_log(&error))?;
        self.heard += 1;
        Ok(line)
    }

    fn pid(&self) -> io::Result<Pid> {
        let gone = || io::Error::new(io::ErrorKind::NotFound, format!("{} does not run", self.name));
        self.child.as_ref().map(Pid::from_child).ok_or_else(gone)
    }

    /// Ends it there and then (SIGKILL). One that ended by itself is taken note of.
    ///
    /// # Errors
    ///
    /// When it doesn't run.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        let gone = || io::Error::new(io::ErrorKind::NotFound, "does not run");
        let mut child = self.child.take().ok_or_else(gone)?;
        child.kill()?;
        let status = child.wait()?;
        self.output.wait_closed(&self.name)?;
        self.log.wait_closed(&self.name)?;
        Ok(status)
    }

    /// Takes its turns away (SIGSTOP); returns when it has stopped.
    ///
    /// # Errors
    ///
    /// When it doesn't run.
    pub fn pause(&mut self) -> io::Result<()> {
        let pid = self.pid()?;
        kill_process(pid, Signal::STOP)?;
        // Looks only: the end of a process that died meanwhile stays for whoever waits for it.
        waitid(WaitId::Pid(pid), WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT)?;
        self.paused = true;
        Ok(())
    }

    /// Gives it turns again (SIGCONT).
    ///
    /// # Errors
    ///
    /// When it doesn't run.
    pub fn resume(&mut self) -> io::Result<()> {
        kill_process(self.pid()?, Signal::CONT)?;
        self.paused = false;
        Ok(())
    }

    /// Sends it a signal, such as SIGHUP for a reload.
    ///
    /// # Errors
    ///
    /// When it doesn't run.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid()?, signal)?)
    }

    /// Asks it to end (SIGTERM) and waits until it has.
    ///
    /// # Errors
    ///
    /// When it doesn't run, or on [`LIMIT`](super::LIMIT); it runs on then.
    pub fn stop(&mut self) -> io::Result<ExitStatus> {
        if self.paused {
            self.resume()?;
        }
        self.signal(Signal::TERM)?;
        self.wait_exit()
    }

    /// Waits until it has ended by itself.
    ///
    /// # Errors
    ///
    /// When it doesn't run, or on [`LIMIT`](super::LIMIT).
    pub fn wait_exit(&mut self) -> io::Result<ExitStatus> {
        self.pid()?;
        // Both close at its end and not before: it starts nobody who could inherit them.
        self.output.wait_closed(&self.name)?;
        self.log.wait_closed(&self.name)?;
        self.child.take().map_or_else(|| Err(io::Error::other("it has ended")), |mut child| child.wait())
    }

    /// Starts it again, killed first if it still runs. [`Process::ready`] then tells its new addresses.
    ///
    /// # Errors
    ///
    /// As [`Process::start`].
    pub fn restart(&mut self, disk: Disk) -> io::Result<()> {
        if self.child.is_some() {
            self.kill()?;
        }
        if disk == Disk::Lost {
            fs::remove_dir_all(self.disk())?;
            fs::create_dir_all(self.disk())?;
        }
        self.spawn()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
