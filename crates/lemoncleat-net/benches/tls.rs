//! TLS on loopback with both ends in one loop: handshakes a second, full and taken up, against plain connections;
//! what a message costs more; what a connection holds.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lemoncleat_net::{
    client_config, server_config, Authorities, ClientConfig, Event, Identity, MinVersion, Net, ServerConfig,
    ServerName,
};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

const TIME: Duration = Duration::from_secs(5);
const PLAIN: u64 = 1;
const TLS: u64 = 2;

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

/// Both ends of a new connection, open. The accepting end says a byte, with which what a later handshake takes up
/// comes along.
async fn connect(net: &mut Net<()>, address: SocketAddr, tls: Option<Arc<ClientConfig>>) -> (u64, u64) {
    if let Some(config) = tls {
        let name = ServerName::try_from("a.example").unwrap_or_else(|e| panic!("{e}"));
        net.dial_with_tls(9, name, config, TIME);
    }
    net.dial(address, 9, TIME);
    let (mut accepted, mut dialled, mut heard) = (None, None, false);
    while accepted.is_none() || dialled.is_none() || !heard {
        match net.next(None).await {
            Some(Event::Accepted { conn, .. }) => {
                net.send(conn, b"x");
                accepted = Some(conn);
            }
            Some(Event::Dialled { conn, .. }) => dialled = Some(conn),
            Some(Event::Bytes { .. }) => heard = true,
            Some(Event::DialFailed { .. } | Event::Closed { .. }) => panic!("it is to come about"),
            _ => {}
        }
        net.flush();
    }
    (accepted.unwrap_or(0), dialled.unwrap_or(0))
}

/// Connections a second, one after another.
async fn rate(net: &mut Net<()>, address: SocketAddr, config: impl Fn() -> Option<Arc<ClientConfig>>) -> f64 {
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

/// Microseconds for a message of 400 bytes there and back.
async fn message(net: &mut Net<()>, (accepted, dialled): (u64, u64)) -> f64 {
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

fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * 4096
}

/// Bytes that a connection holds, both ends together.
async fn held(
    net: &mut Net<()>,
    address: SocketAddr,
    config: impl Fn() -> Option<Arc<ClientConfig>>,
) -> usize {
    const COUNT: usize = 200;
    let before = resident();
    for _ in 0..COUNT {
        connect(net, address, config()).await;
    }
    let after = resident();
    after.saturating_sub(before) / COUNT
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let Ends { server, client } = ends()?;
    lemoncleat_net::run(async |mut net: Net<()>| -> std::io::Result<()> {
        let mut addresses = Vec::new();
        for tag in [PLAIN, TLS] {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            net.listen(listener, tag)?;
        }
        net.listen_with_tls(TLS, server, 1_000, TIME);
        let (plain, tls) = (addresses[0], addresses[1]);
        // Memory first, before the allocator holds anything to use again.
        let one = client();
        let shared = || Some(one.clone());
        let holds = [held(&mut net, plain, || None).await, held(&mut net, tls, shared).await];
        println!("a connection holds, both ends: plain {} bytes, TLS {} bytes", holds[0], holds[1]);
        let connects = rate(&mut net, plain, || None).await;
        let full = rate(&mut net, tls, || Some(client())).await;
        let resumed = rate(&mut net, tls, shared).await;
        println!(
            "connections a second: plain {connects:.0}, full handshake {full:.0}, taken up {resumed:.0}"
        );
        println!("  ratio to plain: {:.3} and {:.3}", full / connects, resumed / connects);
        let pair = connect(&mut net, plain, None).await;
        let plain = message(&mut net, pair).await;
        let pair = connect(&mut net, tls, shared()).await;
        let tls = message(&mut net, pair).await;
        println!("400 bytes there and back: plain {plain:.1} us, TLS {tls:.1} us, ratio {:.2}", tls / plain);
        Ok(())
    })?;
    Ok(())
}
