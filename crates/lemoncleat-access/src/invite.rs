//! A caller's set-up, read out of its INVITE.

use lemoncleat::Micros;
use lemoncleat_sip::{Message, Method};

use crate::timing::LONGEST_TIMER_MS;

/// What a set-up says.
#[derive(Clone, Debug, PartialEq)]
pub struct Invite {
    /// Its id, as it stands.
    pub id: String,
    /// The id as a number.
    pub number: u64,
    /// The number called.
    pub called: String,
    /// Its class, as an index.
    pub class: usize,
    /// How long the caller waits.
    pub patience: Micros,
    /// Circuits that it takes.
    pub width: f64,
    /// The pool of first choice, or the destination.
    pub destination: i64,
    /// What the centre advises.
    pub advised: Option<i64>,
    /// It was cut and comes again.
    pub again: bool,
    /// It stands already, at the call server of this name.
    pub at: Option<String>,
}

/// The longest number called.
const CALLED: usize = 128;
/// Bounds of the figures of a set-up.
const MOST_WIDTH: f64 = 10_000.0;
const MOST_PLACE: i64 = 1_000_000;

/// The id of a message, 16 hex digits, as text and as a number.
pub fn id(message: &Message) -> Option<(&str, u64)> {
    let text = message.call_id()?;
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digits {
        return None;
    }
    Some((text, u64::from_str_radix(text, 16).ok()?))
}

/// Reads a set-up. `classes` are the names of the classes in order.
///
/// # Errors
///
/// The phrase of the refusal, when it can't be used.
pub fn read(message: &Message, classes: &[String]) -> Result<Invite, &'static str> {
    let (text, number) = id(message).ok_or("Bad Call-ID")?;
    if message.cseq().is_none_or(|cseq| cseq.method != Method::Invite) {
        return Err("Bad CSeq");
    }
    let called = message.user().filter(|user| user.len() <= CALLED).ok_or("Bad Request-URI")?;
    let class = message.only("X-Cos").ok_or("No Class")?;
    let class = classes.iter().position(|name| name == class).ok_or("Unknown Class")?;
    let mut invite = Invite {
        id: text.to_owned(),
        number,
        called: called.to_owned(),
        class,
        patience: 0,
        width: 1.0,
        destination: -1,
        advised: None,
        again: false,
        at: None,
    };
    if message.header("X-Legs").is_some() {
        invite.legs(message.only("X-Legs").ok_or("Bad X-Legs")?).ok_or("Bad X-Legs")?;
    }
    if invite.at.is_none() {
        let timer = message.only("X-Timer-Ms").and_then(figure).ok_or("Bad X-Timer-Ms")?;
        if !(timer > 0.0 && timer <= LONGEST_TIMER_MS) {
            return Err("Bad X-Timer-Ms");
        }
        invite.patience = (timer * 1e3) as Micros;
        if message.body().is_empty() {
            return Err("No Description");
        }
    }
    Ok(invite)
}

impl Invite {
    fn legs(&mut self, text: &str) -> Option<()> {
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':')?;
            let value = value.trim();
            match name.trim() {
                "dest" => self.destination = place(value)?,
                "width" => self.width = figure(value).filter(|&width| width > 0.0 && width <= MOST_WIDTH)?,
                "via" => self.advised = place(value).map(|via| (via >= 0).then_some(via))?,
                "again" => self.again = matches!(value, "1" | "true"),
                "at" => self.at = (!value.is_empty()).then(|| value.to_owned()),
                _ => {}
            }
        }
        Some(())
    }
}

fn figure(text: &str) -> Option<f64> {
    let plain =
        !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit() || matches!(byte, b'.' | b'-'));
    text.parse().ok().filter(|figure: &f64| plain && figure.is_finite())
}

fn place(text: &str) -> Option<i64> {
    let place = figure(text)?;
    (place.fract() == 0.0 && place >= -1.0 && place <= MOST_PLACE as f64).then_some(place as i64)
}
