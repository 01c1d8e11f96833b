//! `lemoncleat cert`.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lemoncleat_certificates::{
    revoke, roll_key, status, ChallengeKind, Keeper, KeeperEvent, KeeperSettings, KeyKind, RenewerNotice,
    Status,
};
use lemoncleat_service::{Config, TlsSource};
use serde_json::json;

use crate::args::{CertArgs, CertCommand, KeyArg};
use crate::control::send_request;
use crate::node::read_settings;
use crate::Failure;

pub fn run(args: &CertArgs) -> Result<(), Failure> {
    let config = read_settings(&args.config)?;
    match &args.command {
        None => show(&acme_settings(&config, &args.config)?, false),
        Some(CertCommand::Show { json }) => show(&acme_settings(&config, &args.config)?, *json),
        Some(CertCommand::Request) => request(acme_settings(&config, &args.config)?),
        Some(CertCommand::Renew { control }) => renew(control.or(config.service.control)),
        Some(CertCommand::Revoke { id, reason }) => {
            revoke(&acme_settings(&config, &args.config)?, id, *reason).map_err(Failure::Failed)?;
            println!("{id} is revoked");
            Ok(())
        }
        Some(CertCommand::RollKey { kind }) => {
            let kind = match kind {
                KeyArg::Es256 => KeyKind::Es256,
                KeyArg::Eddsa => KeyKind::EdDsa,
            };
            let result = roll_key(&acme_settings(&config, &args.config)?, kind).map_err(Failure::Failed)?;
            println!("{result}");
            Ok(())
        }
    }
}

fn acme_settings(config: &Config, file: &Path) -> Result<KeeperSettings, Failure> {
    match config.service.tls.as_ref().map(|tls| &tls.source) {
        Some(TlsSource::Acme(settings)) => Ok((**settings).clone()),
        _ => Err(Failure::Usage(format!("{}: tls.acme: missing, expected an authority", file.display()))),
    }
}

fn now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as i64)
}

fn format_date(timestamp: i64) -> String {
    // HTTP dates can represent times up to the end of the year 9999.
    httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(timestamp.clamp(0, 253_402_300_799) as u64))
}

fn validity_state(from: i64, until: i64, now: i64) -> &'static str {
    match (now < from, now < until) {
        (true, _) => "not yet",
        (false, true) => "valid",
        (false, false) => "over",
    }
}

fn show(settings: &KeeperSettings, as_json: bool) -> Result<(), Failure> {
    let Status { certificates, tried, order, account, complaints } =
        status(settings).map_err(Failure::Failed)?;
    let now = now();
    if as_json {
        let certificates: Vec<_> = certificates
            .iter()
            .map(|stored| {
                let validity = stored.chain.validity;
                json!({
                    "id": stored.id, "from": validity.from, "until": validity.until, "names": stored.chain.names,
                    "state": validity_state(validity.from, validity.until, now), "top": stored.chain.top,
                })
            })
            .collect();
        println!(
            "{}",
            json!({
                "certificates": certificates, "account": account, "order": order, "tried": tried,
                "complaints": complaints,
            })
        );
        return Ok(());
    }
    println!("{:<24} {:<8} {:<30} names", "certificate", "state", "until");
    for stored in &certificates {
        let validity = stored.chain.validity;
        println!(
            "{:<24} {:<8} {:<30} {}",
            stored.id,
            validity_state(validity.from, validity.until, now),
            format_date(validity.until),
            stored.chain.names.join(" ")
        );
    }
    println!("account: {}", account.as_deref().unwrap_or("none yet"));
    if let Some(url) = order.and_then(|order| order.order) {
        println!("an order is under way: {url}");
    }
    if tried.failures > 0 {
        println!(
            "{} failures in a row, the last on {}: {}",
            tried.failures,
            format_date(tried.failed_at),
            tried.error
        );
    }
    for complaint in complaints {
        println!("{complaint}");
    }
    Ok(())
}

/// Runs the certificate renewal until it has obtained a new certificate or failed.
fn request(settings: KeeperSettings) -> Result<(), Failure> {
    if settings.challenge != ChallengeKind::Http01 {
        let why = "tls-alpn-01 challenges are answered only by a running node: start it, or use `cert renew`";
        return Err(Failure::Usage(why.to_owned()));
    }
    let limit = settings.try_time + Duration::from_secs(30);
    let (sender, events) = mpsc::channel();
    let keeper = Keeper::start(settings, move |event| drop(sender.send(event))).map_err(Failure::Failed)?;
    if let Some(address) = keeper.challenge_address() {
        println!("challenges on {address}");
    }
    keeper.renew_now();
    loop {
        match events.recv_timeout(limit) {
            Ok(KeeperEvent::Notice(RenewerNotice::Renewed(until))) => {
                println!("new certificate, valid until {}", format_date(until));
                return Ok(());
            }
            Ok(KeeperEvent::Notice(RenewerNotice::TryFailed { error, .. })) => {
                return Err(Failure::Failed(error))
            }
            Ok(KeeperEvent::Complaint(why)) => eprintln!("{why}"),
            Ok(_) => {}
            Err(_) => {
                return Err(Failure::Failed("the certificate order was not finished in time".to_owned()))
            }
        }
    }
}

fn renew(control: Option<SocketAddr>) -> Result<(), Failure> {
    let Some(control) = control.filter(|control| control.port() != 0) else {
        return Err(Failure::Usage(
            "--control: missing, expected the running node's control port".to_owned(),
        ));
    };
    let answer = send_request(control, &json!({"op": "renew"}))?;
    if answer["ok"] != true {
        return Err(Failure::Failed(answer["error"].as_str().unwrap_or("no answer").to_owned()));
    }
    println!("the node orders a new certificate; its log and `cert show` tell what comes of it");
    Ok(())
}
