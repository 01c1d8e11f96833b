//! A bare relay: passes set-ups on to one server after the other and decides nothing. A node is measured
//! against it on the same drivers.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::sync::Arc;
use std::time::Duration;

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{
    Backoff, ConnId, FrameReader, Local, MessageRef, Peer, PeerInput, PeerOutput, PeerSettings,
};
use lemoncleat_net::{Event, Mailbox, Net};

use crate::server::MAX_MESSAGE_BYTES;

struct Side {
    peer: Option<Peer>,
    reader: FrameReader,
    client: bool,
}

/// A relay on its own thread.
pub struct Relay {
    /// Address on which it listens.
    pub address: SocketAddr,
    mailbox: Mailbox<()>,
    thread: std::thread::JoinHandle<()>,
}

impl Relay {
    /// Stops the relay.
    pub fn stop(self) {
        let _ = self.mailbox.send_blocking(());
        let _ = self.thread.join();
    }
}

/// Starts a relay in front of servers. It answers capabilities and watchdogs, replaces the hop-by-hop
/// identifier of each request, and passes the answers back.
///
/// # Errors
///
/// Fails if no socket or thread can be created.
pub fn spawn_relay(host: &str, servers: Vec<(String, SocketAddr)>) -> std::io::Result<Relay> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let local = Arc::new(Local {
        host: host.into(),
        realm: "lab".into(),
        product: "bare relay".into(),
        addresses: vec![address.ip()],
        applications: vec![d::APP_NAS],
        state_id: 1,
        further: Vec::new(),
    });
    let (sender, receiver) = mpsc::channel();
    let thread = std::thread::Builder::new().name("relay".to_owned()).spawn(move || {
        lemoncleat_net::run(async |mut net: Net<()>| {
            let _ = sender.send(net.sender());
            if net.listen(listener, u64::MAX).is_err() {
                return;
            }
            serve(net, local, servers).await;
        });
    })?;
    let mailbox = receiver.recv().map_err(|_| std::io::Error::other("the relay ended at once"))?;
    Ok(Relay { address, mailbox, thread })
}

fn peer(local: &Arc<Local>, host: &str, dial: bool) -> Peer {
    let settings = PeerSettings {
        host: host.into(),
        dial,
        replace: Some(0),
        watchdog: 30_000_000,
        backoff: Backoff { first: 100_000, most: 1_000_000 },
        open_timeout: 2_000_000,
        close_timeout: 1_000_000,
    };
    Peer::new(local.clone(), settings, 7)
}

async fn serve(mut net: Net<()>, local: Arc<Local>, servers: Vec<(String, SocketAddr)>) {
    let mut sides: HashMap<u64, Side> = HashMap::new();
    let mut open: Vec<u64> = Vec::new();
    // Outstanding requests: connection and hop-by-hop identifier of the client.
    let mut outstanding: HashMap<u32, (u64, u32)> = HashMap::new();
    let mut next: u32 = 1;
    for (tag, (_, address)) in servers.iter().enumerate() {
        net.dial(*address, tag as u64, Duration::from_secs(2));
    }
    let start = std::time::Instant::now();
    loop {
        let mut event = net.next(None).await;
        let mut budget = 128;
        while let Some(one) = event.take() {
            let now = start.elapsed().as_micros() as i64;
            match one {
                Event::Message(()) => return,
                Event::Accepted { conn, .. } => {
                    sides.insert(
                        conn,
                        Side { peer: None, reader: FrameReader::new(MAX_MESSAGE_BYTES), client: true },
                    );
                }
                Event::Dialled { tag, conn } => {
                    let mut machine = peer(&local, &servers[tag as usize].0, true);
                    let mut outputs = Vec::new();
                    machine.handle(now, PeerInput::Start, &mut outputs);
                    machine.handle(now, PeerInput::Dialled(ConnId(conn)), &mut outputs);
                    send(&mut net, &outputs);
                    let reader = FrameReader::new(MAX_MESSAGE_BYTES);
                    sides.insert(conn, Side { peer: Some(machine), reader, client: false });
                }
                Event::DialFailed { .. } => {}
                Event::Closed { conn } => {
                    sides.remove(&conn);
                    open.retain(|server| *server != conn);
                }
                Event::Bytes { conn, bytes } => {
                    let Some(mut side) = sides.remove(&conn) else {
                        event = net.try_next();
                        continue;
                    };
                    side.reader.push(&bytes);
                    while let Ok(Some(frame)) = side.reader.next_frame() {
                        let Ok(message) = MessageRef::parse(frame) else { continue };
                        let mut outputs = Vec::new();
                        match &mut side.peer {
                            Some(machine) => {
                                machine.handle(now, PeerInput::Message(ConnId(conn), &message), &mut outputs);
                            }
                            None => {
                                let host = message.text(d::ORIGIN_HOST).unwrap_or_default();
                                let mut machine = peer(&local, host, false);
                                machine.handle(
                                    now,
                                    PeerInput::Accepted(ConnId(conn), &message),
                                    &mut outputs,
                                );
                                side.peer = Some(machine);
                            }
                        }
                        send(&mut net, &outputs);
                        if !side.client && outputs.iter().any(|o| matches!(o, PeerOutput::Usable)) {
                            open.push(conn);
                        }
                        if !outputs.contains(&PeerOutput::Deliver) {
                            continue;
                        }
                        let mut bytes = frame.to_vec();
                        if message.header.is_request() && !open.is_empty() {
                            next = next.wrapping_add(1);
                            outstanding.insert(next, (conn, message.header.hop_by_hop));
                            bytes[12..16].copy_from_slice(&next.to_be_bytes());
                            net.send(open[next as usize % open.len()], &bytes);
                        } else if let Some((client, hop)) = outstanding.remove(&message.header.hop_by_hop) {
                            bytes[12..16].copy_from_slice(&hop.to_be_bytes());
                            net.send(client, &bytes);
                        }
                    }
                    sides.insert(conn, side);
                }
            }
            budget -= 1;
            if budget > 0 {
                event = net.try_next();
            }
        }
        net.flush();
    }
}

fn send(net: &mut Net<()>, outputs: &[PeerOutput]) {
    for output in outputs {
        if let PeerOutput::Send(conn, bytes) = output {
            net.send(conn.0, bytes);
        }
    }
}
