//! Starts access nodes for the laboratory.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use lemoncleat_lab::NodeControl;
use lemoncleat_node::Stats;
use lemoncleat_service::{read_config, spawn, Control, Running};

/// A node of a rehearsal, on a thread of its own.
pub struct RunningNode(Running);

impl RunningNode {
    /// What it has done so far.
    pub fn stats(&self) -> Option<Stats> {
        self.0.stats()
    }
}

impl NodeControl for RunningNode {
    fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn control(&self) -> Option<SocketAddr> {
        self.0.control_address
    }

    fn challenge(&self) -> Option<SocketAddr> {
        self.0.challenge_address
    }

    fn stall(&self, time: Duration) {
        self.0.control(Control::Stall(time));
    }

    fn stop(self: Box<Self>) {
        // How it ended is in the log; what it did is in the capture.
        let _ = self.0.stop();
    }
}

/// Starts a node from the text of a settings file, as `lemoncleat node` would.
///
/// # Errors
///
/// When the settings are unusable or its address is not to be had.
pub fn start_node(text: &str) -> Result<RunningNode, String> {
    let config = read_config(text).map_err(|error| error.in_file("settings"))?;
    let address = config.listen.first().ok_or("no address to listen on")?;
    let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
    spawn(config.service, listener).map(RunningNode).map_err(|error| error.to_string())
}
