//! TLS on loopback with both ends in one loop, compared with plain connections: full and resumed handshakes
//! per second, round-trip time of a message, and memory per connection.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lemoncleat_net::{
    client_config, server_config, Authorities, ClientConfig, Event, Identity, MinVersion, Net, ServerConfig,
    ServerName,
};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

const TIMEOUT: Duration = Duration::from_secs(5);
const PLAIN_TAG: u64 = 1;
const TLS_TAG: u64 = 2;

struct Ends {
    server: Arc<ServerConfig>,
    client: Box<dyn Fn() -> Arc<ClientConfig>>,
}

fn ends() -> Result<Ends, Box<dyn std::error::Error>> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let issuer = CertifiedIssuer::self_signed(params, KeyPair::generate()?)?;
    let identity = |name: &str| -> Result<Identity, Box<dyn std::error::Error>> {
        let key = KeyPair::generate()?;
        let certificate = CertificateParams::new(vec![name.to_owned()])?.signed_by(&key, &issuer)?;
        Ok(Identity::from_pem(&format!("{}{}", key.serialize_pem(), certificate.pem()))?)
    };
    let file = std::env::temp_dir().join(format!("lemoncleat-bench-{}.pem", std::process::id()));
    std::fs::write(&file, issuer.pem())?;
    let authorities = Authorities::read(&file);
    std::fs::remove_file(&file)?;
    let authorities = authorities?;
    let server = server_config(Some(identity("a.example")?), &authorities, MinVersion::Tls13)?;
    let own = identity("b.example")?;
    let client = move || {
        client_config(Some(own.clone()), &authorities, MinVersion::Tls13).unwrap_or_else(|e| panic!("{e}"))
    };
    Ok(Ends { server, client: Box::new(client) })
}

/// Opens a connection and returns both ends. The accepting end sends one byte; the session ticket for a
/// resumed handshake arrives with it.
async fn connect(net: &mut Net<()>, address: SocketAddr, tls: Option<Arc<ClientConfig>>) -> (u64, u64) {
    if let Some(config) = tls {
        let name = ServerName::try_from("a.example").unwrap_or_else(|e| panic!("{e}"));
        net.dial_with_tls(9, name, config, TIMEOUT);
    }
    net.dial(address, 9, TIMEOUT);
    let (mut accepted, mut dialled, mut received) = (None, None, false);
    while accepted.is_none() || dialled.is_none() || !received {
        match net.next(None).await {
            Some(Event::Accepted { conn, .. }) => {
                net.send(conn, b"x");
                accepted = Some(conn);
            }
            Some(Event::Dialled { conn, .. }) => dialled = Some(conn),
            Some(Event::Bytes { .. }) => received = true,
            Some(Event::DialFailed { .. } | Event::Closed { .. }) => panic!("the connection must succeed"),
            _ => {}
        }
        net.flush();
    }
    (accepted.unwrap_or(0), dialled.unwrap_or(0))
}

/// Returns the sequential connections per second.
async fn connections_per_second(
    net: &mut Net<()>,
    address: SocketAddr,
    config: impl Fn() -> Option<Arc<ClientConfig>>,
) -> f64 {
    let mut best = 0.0_f64;
    for _ in 0..3 {
        let (start, count) = (Instant::now(), 300);
        for _ in 0..count {
            let (accepted, dialled) = connect(net, address, config()).await;
            net.close(dialled);
            net.close(accepted);
        }
        best = best.max(f64::from(count) / start.elapsed().as_secs_f64());
    }
    best
}

/// Returns the round-trip time of a 400-byte message in microseconds.
async fn round_trip_us(net: &mut Net<()>, (accepted, dialled): (u64, u64)) -> f64 {
    let bytes = [7_u8; 400];
    let mut least = f64::INFINITY;
    for _ in 0..5 {
        let (start, count) = (Instant::now(), 5_000);
        for _ in 0..count {
            for (from, to) in [(dialled, accepted), (accepted, dialled)] {
                net.send(from, &bytes);
                net.flush();
                let mut got = 0;
                while got < bytes.len() {
                    if let Some(Event::Bytes { conn, bytes }) = net.next(None).await {
                        if conn == to {
                            got += bytes.len();
                        }
                    }
                }
            }
        }
        least = least.min(start.elapsed().as_secs_f64() * 1e6 / f64::from(count));
    }
    least
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4096
}

/// Returns the memory per connection in bytes, both ends together.
async fn memory_per_connection(
    net: &mut Net<()>,
    address: SocketAddr,
    config: impl Fn() -> Option<Arc<ClientConfig>>,
) -> usize {
    const COUNT: usize = 200;
    let before = resident_bytes();
    for _ in 0..COUNT {
        connect(net, address, config()).await;
    }
    let after = resident_bytes();
    after.saturating_sub(before) / COUNT
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let Ends { server, client } = ends()?;
    lemoncleat_net::run(async |mut net: Net<()>| -> std::io::Result<()> {
        let mut addresses = Vec::new();
        for tag in [PLAIN_TAG, TLS_TAG] {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            net.listen(listener, tag)?;
        }
        net.listen_with_tls(TLS_TAG, server, 1_000, TIMEOUT);
        let (plain, tls) = (addresses[0], addresses[1]);
        // Measures memory first, before the allocator has freed blocks to reuse.
        let shared_client = client();
        let shared = || Some(shared_client.clone());
        let memory = [
            memory_per_connection(&mut net, plain, || None).await,
            memory_per_connection(&mut net, tls, shared).await,
        ];
        println!("memory per connection, both ends: plain {} bytes, TLS {} bytes", memory[0], memory[1]);
        let connects = connections_per_second(&mut net, plain, || None).await;
        let full = connections_per_second(&mut net, tls, || Some(client())).await;
        let resumed = connections_per_second(&mut net, tls, shared).await;
        println!(
            "connections per second: plain {connects:.0}, full handshake {full:.0}, resumed {resumed:.0}"
        );
        println!("  ratio to plain: {:.3} and {:.3}", full / connects, resumed / connects);
        let pair = connect(&mut net, plain, None).await;
        let plain = round_trip_us(&mut net, pair).await;
        let pair = connect(&mut net, tls, shared()).await;
        let tls = round_trip_us(&mut net, pair).await;
        println!("round trip of 400 bytes: plain {plain:.1} us, TLS {tls:.1} us, ratio {:.2}", tls / plain);
        Ok(())
    })?;
    Ok(())
}
