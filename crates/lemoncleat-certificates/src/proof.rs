//! Proofs: the file for http-01 (RFC 8555 section 8.3), the certificate for tls-alpn-01 (RFC 8737 section 3).

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

/// Connections served at once; more are closed.
const MOST: usize = 64;
/// How long one may take.
const TIME: Duration = Duration::from_secs(10);
/// Pause after accepting failed, as when descriptors run out.
const PAUSE: Duration = Duration::from_millis(50);
const PATH: &str = "/.well-known/acme-challenge/";

/// Serves the files that prove names.
pub struct Responder {
    proofs: Rc<RefCell<HashMap<String, String>>>,
    address: SocketAddr,
}

impl Responder {
    /// Serves on an address from now on, on this executor.
    ///
    /// # Errors
    ///
    /// When the address is not to be had.
    pub fn start(executor: &Rc<LocalExecutor<'static>>, address: SocketAddr) -> io::Result<Responder> {
        let listener = Async::<TcpListener>::bind(address)?;
        let address = listener.get_ref().local_addr()?;
        let proofs: Rc<RefCell<HashMap<String, String>>> = Rc::default();
        // Not the executor itself, which owns this task.
        let (served, inner) = (proofs.clone(), Rc::downgrade(executor));
        executor
            .spawn(async move {
                let open = Rc::new(Cell::new(0));
                loop {
                    let Ok((stream, _)) = listener.accept().await else {
                        Timer::after(PAUSE).await;
                        continue;
                    };
                    let Some(executor) = inner.upgrade() else { return };
                    if open.get() >= MOST {
                        continue;
                    }
                    open.set(open.get() + 1);
                    let (served, open) = (served.clone(), open.clone());
                    let late = async {
                        Timer::after(TIME).await;
                        Ok(())
                    };
                    executor
                        .spawn(async move {
                            // Whoever breaks off gets nothing; there is nobody to tell.
                            let _ = serve(stream, &served).or(late).await;
                            open.set(open.get() - 1);
                        })
                        .detach();
                }
            })
            .detach();
        Ok(Responder { proofs, address })
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Puts a proof in place.
    pub fn put(&self, proof: &Proof) {
        self.proofs.borrow_mut().insert(proof.token.clone(), proof.authorization.clone());
    }

    /// Takes all away.
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
        Some(("GET", path)) => path.strip_prefix(PATH),
        _ => return Message::response(405),
    };
    match token.and_then(|token| proofs.get(token)) {
        Some(authorization) => {
            Message::response(200).with_body("application/octet-stream", authorization.as_bytes())
        }
        None => Message::response(404),
    }
}

/// Key and certificate, PEM, for the handshake that proves a name.
///
/// # Errors
///
/// When they can't be made.
pub fn tls_alpn_pem(proof: &Proof) -> Result<Zeroizing<String>, String> {
    let told = |error: rcgen::Error| error.to_string();
    let key = KeyPair::generate().map_err(told)?;
    let mut params = CertificateParams::new(vec![proof.name.clone()]).map_err(told)?;
    let hash = digest::digest(&digest::SHA256, proof.authorization.as_bytes());
    params.custom_extensions = vec![CustomExtension::new_acme_identifier(hash.as_ref())];
    let certificate = params.self_signed(&key).map_err(told)?;
    Ok(Zeroizing::new(format!("{}{}", key.serialize_pem(), certificate.pem())))
}
