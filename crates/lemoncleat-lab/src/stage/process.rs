//! Processes started from a binary.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitStatus, Stdio};
use std::sync::Arc;

use rustix::process::{kill_process, waitid, Pid, Signal, WaitId, WaitIdOptions};

use super::lines::Lines;

/// Number of log lines included in an error.
const LOG_LINES_IN_ERROR: usize = 10;

/// How a process is started.
#[derive(Clone, Debug, Default)]
pub struct Program {
    /// Path of the binary.
    pub path: PathBuf,
    /// Arguments. `{settings}` and `{disk}` are replaced by the paths of the settings file and the working
    /// directory.
    pub arguments: Vec<String>,
    /// Variables added to the environment.
    pub environment: Vec<(String, String)>,
    /// Number of lines `listening on ADDRESS` that the process writes to standard output when it is ready.
    pub listens: usize,
    /// Whether it writes `control on ADDRESS` after them.
    pub control: bool,
}

impl Program {
    /// Returns the program of a product node with one listener and a control port.
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

/// Addresses of a process that is ready.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Listening addresses, in the order in which the process reported them.
    pub listening: Vec<SocketAddr>,
    /// Address of the control port.
    pub control: Option<SocketAddr>,
}

/// State of a process's disk at a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disk {
    /// The disk is kept.
    Kept,
    /// The disk is empty.
    Lost,
}

/// A process. It is killed when this value is dropped.
pub struct Process {
    name: String,
    program: Program,
    folder: PathBuf,
    child: Option<Child>,
    paused: bool,
    output: Arc<Lines>,
    log: Arc<Lines>,
    /// Number of output lines before this run.
    run_start_line: usize,
    /// Whether it takes orders on its standard input.
    takes_input: bool,
    input: Option<ChildStdin>,
    /// Number of output lines already returned as answers, over all runs.
    answers_read: usize,
}

impl Process {
    /// Starts a process. The folder receives the settings file `settings`, the working directory `disk`, and
    /// `log`, a copy of the standard error.
    ///
    /// # Errors
    ///
    /// Fails when the folder can't be written or the binary can't be started.
    pub fn start(name: &str, program: &Program, folder: &Path, settings: &str) -> io::Result<Process> {
        Process::start_with(name, program, folder, settings, false)
    }

    /// Starts a process like [`Process::start`], one that takes orders on its standard input
    /// ([`Process::write_line`]) and ends when that closes.
    ///
    /// # Errors
    ///
    /// Fails as [`Process::start`] does.
    pub fn start_with_input(
        name: &str,
        program: &Program,
        folder: &Path,
        settings: &str,
    ) -> io::Result<Process> {
        Process::start_with(name, program, folder, settings, true)
    }

    fn start_with(
        name: &str,
        program: &Program,
        folder: &Path,
        settings: &str,
        takes_input: bool,
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
            run_start_line: 0,
            takes_input,
            input: None,
            answers_read: 0,
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
            .stdin(if self.takes_input { Stdio::piped() } else { Stdio::null() })
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|error| {
                io::Error::new(error.kind(), format!("{}: {error}", self.program.path.display()))
            })?;
        self.input = child.stdin.take();
        let (output, errors) = (child.stdout.take(), child.stderr.take());
        // Stored before the next steps, so that the process is killed even if one of them fails.
        self.child = Some(child);
        self.paused = false;
        self.run_start_line = self.output.count();
        self.answers_read = self.run_start_line;
        let copy = OpenOptions::new().create(true).append(true).open(self.folder.join("log"))?;
        if let Some(errors) = errors {
            self.log.read(&self.name, errors, Some(copy))?;
        }
        if let Some(output) = output {
            self.output.read(&self.name, output, None)?;
        }
        Ok(())
    }

    /// Returns the process's name, which is also the name of its end in [`Links`](super::Links).
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the working directory.
    pub fn disk(&self) -> PathBuf {
        self.folder.join("disk")
    }

    /// Returns the path of the copy of its standard error, over all runs.
    pub fn log_file(&self) -> PathBuf {
        self.folder.join("log")
    }

    /// Writes the settings for the next start or reload.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be written.
    pub fn set_settings(&self, settings: &str) -> io::Result<()> {
        fs::write(self.folder.join("settings"), settings)
    }

    /// Waits until the process has reported all addresses that its [`Program`] announces.
    ///
    /// # Errors
    ///
    /// Fails when the process ends before, with the end of its log in the error, or after
    /// [`LIMIT`](super::LIMIT).
    pub fn ready(&self) -> io::Result<Ready> {
        let mut ready = Ready::default();
        let (listens, control) = (self.program.listens, self.program.control);
        if listens == 0 && !control {
            return Ok(ready);
        }
        let what = format!("{} ready", self.name);
        let found = self.output.wait(&what, self.run_start_line, |line| {
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
            // Reads the log to its end first. A time-out here does not change the error.
            let _ = self.log.wait_closed(&self.name);
        }
        io::Error::new(error.kind(), format!("{error}{}", self.log.last(LOG_LINES_IN_ERROR)))
    }

    /// Returns the number of log lines so far, over all runs, as a position for [`Process::wait_for_log`].
    pub fn log_lines(&self) -> usize {
        self.log.count()
    }

    /// Waits for the first log line that fits, from line number `since` on.
    ///
    /// # Errors
    ///
    /// Fails when the process ends without such a line, or after [`LIMIT`](super::LIMIT).
    pub fn wait_for_log(&self, since: usize, fits: impl FnMut(&str) -> bool) -> io::Result<String> {
        self.log
            .wait(&format!("a line in the log of {}", self.name), since, fits)
            .map_err(|error| self.with_log(&error))
    }

    /// Waits for the first line of this run's standard output that fits.
    ///
    /// # Errors
    ///
    /// Fails as [`Process::wait_for_log`] does.
    pub fn wait_for_output(&self, fits: impl FnMut(&str) -> bool) -> io::Result<String> {
        self.output
            .wait(&format!("a line of {}", self.name), self.run_start_line, fits)
            .map_err(|error| self.with_log(&error))
    }

    /// Writes a line to the process's standard input.
    ///
    /// # Errors
    ///
    /// Fails when the process was not started with [`Process::start_with_input`] or has ended.
    pub fn write_line(&mut self, line: &str) -> io::Result<()> {
        let none = || io::Error::other("the process has no standard input");
        let input = self.input.as_mut().ok_or_else(none)?;
        input.write_all(format!("{line}\n").as_bytes())?;
        input.flush()
    }

    /// Waits for the next line of the standard output. Each line is returned once.
    ///
    /// # Errors
    ///
    /// Fails as [`Process::wait_for_log`] does.
    pub fn read_line(&mut self) -> io::Result<String> {
        let found = self.output.wait(&format!("an answer of {}", self.name), self.answers_read, |_| true);
        let line = found.map_err(|error| self.with_log(&error))?;
        self.answers_read += 1;
        Ok(line)
    }

    fn pid(&self) -> io::Result<Pid> {
        let gone = || io::Error::new(io::ErrorKind::NotFound, format!("{} does not run", self.name));
        self.child.as_ref().map(Pid::from_child).ok_or_else(gone)
    }

    /// Kills the process (SIGKILL) and collects its exit status, also if it has already ended by itself.
    ///
    /// # Errors
    ///
    /// Fails when the process does not run.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        let gone = || io::Error::new(io::ErrorKind::NotFound, "the process does not run");
        let mut child = self.child.take().ok_or_else(gone)?;
        child.kill()?;
        let status = child.wait()?;
        self.output.wait_closed(&self.name)?;
        self.log.wait_closed(&self.name)?;
        Ok(status)
    }

    /// Stops the process (SIGSTOP) and returns once it has stopped.
    ///
    /// # Errors
    ///
    /// Fails when the process does not run.
    pub fn pause(&mut self) -> io::Result<()> {
        let pid = self.pid()?;
        kill_process(pid, Signal::STOP)?;
        // Without consuming the status: if the process ended in the meantime, its exit status stays for a
        // later wait.
        waitid(WaitId::Pid(pid), WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT)?;
        self.paused = true;
        Ok(())
    }

    /// Continues a stopped process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails when the process does not run.
    pub fn resume(&mut self) -> io::Result<()> {
        kill_process(self.pid()?, Signal::CONT)?;
        self.paused = false;
        Ok(())
    }

    /// Sends a signal, such as SIGHUP for a reload.
    ///
    /// # Errors
    ///
    /// Fails when the process does not run.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid()?, signal)?)
    }

    /// Asks the process to end (SIGTERM) and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the process does not run, or after [`LIMIT`](super::LIMIT), in which case it keeps running.
    pub fn stop(&mut self) -> io::Result<ExitStatus> {
        if self.paused {
            self.resume()?;
        }
        self.signal(Signal::TERM)?;
        self.wait_exit()
    }

    /// Waits until the process ends by itself.
    ///
    /// # Errors
    ///
    /// Fails when the process does not run, or after [`LIMIT`](super::LIMIT).
    pub fn wait_exit(&mut self) -> io::Result<ExitStatus> {
        self.pid()?;
        // Both pipes close exactly when the process ends, because it has no children that could inherit them.
        self.output.wait_closed(&self.name)?;
        self.log.wait_closed(&self.name)?;
        self.child
            .take()
            .map_or_else(|| Err(io::Error::other("the process has ended")), |mut child| child.wait())
    }

    /// Starts the process again, after killing it if it still runs. [`Process::ready`] then returns its new
    /// addresses.
    ///
    /// # Errors
    ///
    /// Fails as [`Process::start`] does.
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
