//! Starts access nodes in this process, for rehearsals and laboratory tools.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use lemoncleat_lab::NodeControl;
use lemoncleat_node::Stats;
use lemoncleat_service::{read_config, spawn, Control, Running};

/// A running node of a rehearsal, on its own thread.
pub struct RunningNode(Running);

impl RunningNode {
    /// Returns the node's statistics so far.
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
        // The result is ignored: the log reports how the node ended, the capture what it did.
        let _ = self.0.stop();
    }
}

/// Starts a node from the text of a settings file, as `lemoncleat node` does.
///
/// # Errors
///
/// Fails if the settings are invalid or the node cannot listen on its address.
pub fn start_node(text: &str) -> Result<RunningNode, String> {
    let config = read_config(text).map_err(|error| error.in_file("settings"))?;
    let address = config.listen.first().ok_or("no address to listen on")?;
    let listener = TcpListener::bind(address).map_err(|error| format!("{address}: {error}"))?;
    spawn(config.service, listener).map(RunningNode).map_err(|error| error.to_string())
}
