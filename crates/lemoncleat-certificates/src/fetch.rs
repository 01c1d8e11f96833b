//! HTTP client for requests to the authority.

use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream, ToSocketAddrs};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::{Async, Timer};
use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, FutureExt};
use futures_rustls::rustls::crypto::ring;
use futures_rustls::rustls::pki_types::ServerName;
use futures_rustls::rustls::ClientConfig;
use futures_rustls::TlsConnector;
use lemoncleat_acme::{HttpRequest, HttpResponse, Place};
use lemoncleat_http::{Limits, Message, Reader, Side};
use lemoncleat_net::Authorities;

/// Sends requests, each on its own connection.
#[derive(Clone)]
pub struct Fetcher {
    tls: Option<TlsConnector>,
    time: Duration,
}

impl Fetcher {
    /// Creates a client with the roots that the ACME server's certificate must chain to, and the time limit
    /// for one request. Without roots, only plain HTTP to loopback addresses is possible.
    ///
    /// # Errors
    ///
    /// When the file of roots can't be used.
    pub fn new(roots: Option<&Path>, time: Duration) -> Result<Fetcher, String> {
        let tls = match roots {
            None => None,
            Some(file) => {
                let authorities = Authorities::read(file).map_err(|error| error.to_string())?;
                let config = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
                    .with_safe_default_protocol_versions()
                    .map_err(|error| error.to_string())?
                    .with_root_certificates(authorities.store())
                    .with_no_client_auth();
                Some(TlsConnector::from(Arc::new(config)))
            }
        };
        Ok(Fetcher { tls, time })
    }

    /// Sends a request and returns its response.
    ///
    /// # Errors
    ///
    /// Describes in one line why there is no response.
    pub async fn fetch(&self, request: &HttpRequest) -> Result<HttpResponse, String> {
        let place = Place::read(&request.url)?;
        let timeout = async {
            Timer::after(self.time).await;
            Err(format!("no answer within {} s", self.time.as_secs_f64()))
        };
        let answer = self.exchange(request, &place).or(timeout).await;
        let message = answer.map_err(|why| format!("{}: {why}", place.authority()))?;
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as i64);
        Ok(HttpResponse::read(&message, now))
    }

    async fn exchange(&self, request: &HttpRequest, place: &Place) -> Result<Message, String> {
        let describe = |error: io::Error| error.to_string();
        let mut addresses = resolve(place).map_err(describe)?;
        if !place.secure {
            // RFC 8555 section 6.1 requires HTTPS; loopback traffic can't be intercepted on the network.
            addresses.retain(|address| address.ip().is_loopback());
            if addresses.is_empty() {
                return Err("plain HTTP is done to loopback addresses alone, expected https".to_owned());
            }
        }
        let mut failure = "the host name has no address".to_owned();
        for address in addresses {
            match Async::<TcpStream>::connect(address).await {
                Ok(stream) if place.secure => {
                    let Some(tls) = &self.tls else {
                        return Err(
                            "no authorities are set that could vouch for it (authority-roots)".to_owned()
                        );
                    };
                    let host = place.host.trim_matches(['[', ']']).to_owned();
                    let name = ServerName::try_from(host).map_err(|error| error.to_string())?;
                    let stream = tls.connect(name, stream).await.map_err(describe)?;
                    return send_and_receive(stream, request, place).await;
                }
                Ok(stream) => return send_and_receive(stream, request, place).await,
                Err(error) => failure = error.to_string(),
            }
        }
        Err(failure)
    }
}

/// Resolves the addresses of a URL's host. Blocks this thread, which has no other work.
fn resolve(place: &Place) -> io::Result<Vec<SocketAddr>> {
    let host = place.host.trim_matches(['[', ']']);
    if let Ok(ip) = host.parse::<IpAddr>() {
        return Ok(vec![SocketAddr::new(ip, place.port)]);
    }
    Ok((host, place.port).to_socket_addrs()?.collect())
}

async fn send_and_receive(
    mut stream: impl AsyncRead + AsyncWrite + Unpin,
    request: &HttpRequest,
    place: &Place,
) -> Result<Message, String> {
    let describe = |error: io::Error| error.to_string();
    let bytes = request.message(place).with("Connection", "close").to_bytes();
    stream.write_all(&bytes).await.map_err(describe)?;
    stream.flush().await.map_err(describe)?;
    let side = Side::Client { head: request.method == "HEAD" };
    let mut reader = Reader::new(side, Limits::default());
    let mut buffer = vec![0; 16 * 1024];
    loop {
        if let Some(message) = reader.next_message().map_err(|error| error.to_string())? {
            return Ok(message);
        }
        // A close without close_notify is accepted as end of stream: HTTP lengths show whether the message is
        // complete.
        let count = match stream.read(&mut buffer).await {
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => 0,
            count => count.map_err(describe)?,
        };
        if count == 0 {
            let whole = reader.end().map_err(|error| error.to_string())?;
            return whole.ok_or_else(|| "the connection closed before a complete response".to_owned());
        }
        reader.push(&buffer[..count]);
    }
}
