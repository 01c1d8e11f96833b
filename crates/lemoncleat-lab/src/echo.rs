//! A server that answers every set-up and release immediately, for measuring a node or relay in front of it.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::sync::Arc;
use std::time::Instant;

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{
    result_code, Backoff, ConnId, FrameReader, Local, MessageBuilder, MessageRef, Peer, PeerInput,
    PeerOutput, PeerSettings,
};
use lemoncleat_net::{Event, Mailbox, Net, ServerConfig};

use crate::credentials::{HANDSHAKE_TIMEOUT, MAX_HANDSHAKES};
use crate::server::MAX_MESSAGE_BYTES;

/// A server on its own thread that answers immediately.
pub struct Echo {
    /// Its Origin-Host.
    pub host: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    mailbox: Mailbox<()>,
    thread: std::thread::JoinHandle<()>,
}

impl Echo {
    /// Starts the server, with TLS if a configuration is given.
    ///
    /// # Errors
    ///
    /// Fails if no socket or thread can be created.
    pub fn spawn(host: &str, tls: Option<Arc<ServerConfig>>) -> std::io::Result<Echo> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, receiver) = mpsc::channel();
        let name: Arc<str> = host.into();
        let thread = std::thread::Builder::new().name("echo".to_owned()).spawn(move || {
            lemoncleat_net::run(async |mut net: Net<()>| {
                let _ = sender.send(net.sender());
                if let Some(config) = tls {
                    net.listen_with_tls(0, config, MAX_HANDSHAKES, HANDSHAKE_TIMEOUT);
                }
                if net.listen(listener, 0).is_ok() {
                    serve(net, &name).await;
                }
            });
        })?;
        let mailbox = receiver.recv().map_err(|_| std::io::Error::other("the server ended at once"))?;
        Ok(Echo { host: host.to_owned(), address, mailbox, thread })
    }

    /// Stops the server.
    pub fn stop(self) {
        let _ = self.mailbox.send_blocking(());
        let _ = self.thread.join();
    }
}

async fn serve(mut net: Net<()>, host: &Arc<str>) {
    let local = Arc::new(Local {
        host: host.clone(),
        realm: "lab".into(),
        product: "echo".into(),
        addresses: vec![[127, 0, 0, 1].into()],
        applications: vec![d::APP_NAS],
        state_id: 1,
        further: Vec::new(),
    });
    let mut conns: HashMap<u64, (Option<Peer>, FrameReader)> = HashMap::new();
    let start = Instant::now();
    loop {
        let mut event = net.next(None).await;
        let mut budget = 128;
        while let Some(one) = event.take() {
            match one {
                Event::Message(()) => return,
                Event::Accepted { conn, .. } => {
                    conns.insert(conn, (None, FrameReader::new(MAX_MESSAGE_BYTES)));
                }
                Event::Closed { conn } => {
                    conns.remove(&conn);
                }
                Event::Bytes { conn, bytes } => {
                    if let Some((peer, reader)) = conns.get_mut(&conn) {
                        let now = start.elapsed().as_micros() as i64;
                        reader.push(&bytes);
                        while let Ok(Some(frame)) = reader.next_frame() {
                            if let Ok(message) = MessageRef::parse(frame) {
                                answer(&mut net, &local, peer, now, conn, &message);
                            }
                        }
                    }
                }
                Event::Dialled { .. } | Event::DialFailed { .. } => {}
            }
            budget -= 1;
            if budget > 0 {
                event = net.try_next();
            }
        }
        net.flush();
    }
}

fn answer(
    net: &mut Net<()>,
    local: &Arc<Local>,
    peer: &mut Option<Peer>,
    now: i64,
    conn: u64,
    message: &MessageRef<'_>,
) {
    let mut outputs = Vec::new();
    match peer {
        Some(peer) => peer.handle(now, PeerInput::Message(ConnId(conn), message), &mut outputs),
        None => {
            let settings = PeerSettings {
                host: message.text(d::ORIGIN_HOST).unwrap_or_default().into(),
                dial: false,
                replace: Some(0),
                watchdog: 30_000_000,
                backoff: Backoff { first: 1, most: 1 },
                open_timeout: 2_000_000,
                close_timeout: 1_000_000,
            };
            let mut machine = Peer::new(local.clone(), settings, conn);
            machine.handle(now, PeerInput::Accepted(ConnId(conn), message), &mut outputs);
            *peer = Some(machine);
        }
    }
    for output in outputs {
        match output {
            PeerOutput::Send(conn, bytes) => net.send(conn.0, &bytes),
            PeerOutput::Deliver if message.header.is_request() => {
                let answer = MessageBuilder::answer(message, result_code::SUCCESS);
                net.send(conn, &local.sign(answer).build());
            }
            _ => {}
        }
    }
}
