//! Challenge responses: the file for http-01 (RFC 8555 section 8.3) and the certificate for tls-alpn-01 (RFC
//! 8737 section 3).

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use lemoncleat_acme::Proof;
use lemoncleat_http::{Limits, Message, Reader, Side};
use rcgen::{CertificateParams, CustomExtension, KeyPair};
use ring::digest;
use zeroize::Zeroizing;

/// Maximum number of concurrent connections; further ones are closed.
const MAX_CONNECTIONS: usize = 64;
/// Time limit for one connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
const CHALLENGE_PATH: &str = "/.well-known/acme-challenge/";

/// HTTP server for http-01 challenge responses.
pub struct Responder {
    proofs: Rc<RefCell<HashMap<String, String>>>,
    address: SocketAddr,
}

impl Responder {
    /// Starts serving on an address, on this executor.
    ///
    /// # Errors
    ///
    /// When the address can't be bound.
    pub fn start(executor: &Rc<LocalExecutor<'static>>, address: SocketAddr) -> io::Result<Responder> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let proofs: Rc<RefCell<HashMap<String, String>>> = Rc::default();
        // A weak reference: the executor owns this task, and a strong one would form a cycle.
        let (served_proofs, weak_executor) = (proofs.clone(), Rc::downgrade(executor));
        executor
            .spawn(async move {
                let open_connections = Rc::new(Cell::new(0));
                loop {
                    let Ok((stream, _)) = listener.accept().await else {
                        Timer::after(ACCEPT_RETRY_DELAY).await;
                        continue;
                    };
                    let Some(executor) = weak_executor.upgrade() else { return };
                    if open_connections.get() >= MAX_CONNECTIONS {
                        continue;
                    }
                    open_connections.set(open_connections.get() + 1);
                    let (served_proofs, open_connections) = (served_proofs.clone(), open_connections.clone());
                    let timeout = async {
                        Timer::after(CONNECTION_TIMEOUT).await;
                        Ok(())
                    };
                    executor
                        .spawn(async move {
                            // Errors of a connection are ignored: the client has gone and there is nobody to
                            // report them to.
                            let _ = serve(stream, &served_proofs).or(timeout).await;
                            open_connections.set(open_connections.get() - 1);
                        })
                        .detach();
                }
            })
            .detach();
        Ok(Responder { proofs, address })
    }

    /// Returns the address that it serves on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a challenge response.
    pub fn put(&self, proof: &Proof) {
        self.proofs.borrow_mut().insert(proof.token.clone(), proof.authorization.clone());
    }

    /// Removes all challenge responses.
    pub fn clear(&self) {
        self.proofs.borrow_mut().clear();
    }
}

async fn serve(mut stream: Async<TcpStream>, proofs: &RefCell<HashMap<String, String>>) -> io::Result<()> {
    let mut reader = Reader::new(Side::Server, Limits { head: 8 * 1024, fields: 64, body: 0 });
    let mut buffer = vec![0; 4 * 1024];
    loop {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        reader.push(&buffer[..count]);
        let answer = match reader.next_message() {
            Ok(None) => continue,
            Ok(Some(request)) => answer(&request, &proofs.borrow()),
            Err(_) => Message::response(400),
        };
        stream.write_all(&answer.with("Connection", "close").to_bytes()).await?;
        return stream.close().await;
    }
}

fn answer(request: &Message, proofs: &HashMap<String, String>) -> Message {
    let token = match request.path() {
        Some(("GET", path)) => path.strip_prefix(CHALLENGE_PATH),
        _ => return Message::response(405),
    };
    match token.and_then(|token| proofs.get(token)) {
        Some(authorization) => {
            Message::response(200).with_body("application/octet-stream", authorization.as_bytes())
        }
        None => Message::response(404),
    }
}

/// Creates the key and certificate, PEM, for the tls-alpn-01 handshake that proves a name.
///
/// # Errors
///
/// When they can't be generated.
pub fn tls_alpn_pem(proof: &Proof) -> Result<Zeroizing<String>, String> {
    let describe = |error: rcgen::Error| error.to_string();
    let key = KeyPair::generate().map_err(describe)?;
    let mut params = CertificateParams::new(vec![proof.name.clone()]).map_err(describe)?;
    let hash = digest::digest(&digest::SHA256, proof.authorization.as_bytes());
    params.custom_extensions = vec![CustomExtension::new_acme_identifier(hash.as_ref())];
    let certificate = params.self_signed(&key).map_err(describe)?;
    Ok(Zeroizing::new(format!("{}{}", key.serialize_pem(), certificate.pem())))
}
