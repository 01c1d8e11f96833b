//! Parses a caller's set-up from its INVITE.

use lemoncleat::Micros;
use lemoncleat_sip::{Message, Method};

use crate::timing::MAX_CALLER_TIMER_MS;

/// The contents of a set-up request.
#[derive(Clone, Debug, PartialEq)]
pub struct Invite {
    /// The Call-ID as text.
    pub id: String,
    /// The Call-ID as a number.
    pub number: u64,
    /// The called number.
    pub called: String,
    /// Index of its class of service.
    pub class: usize,
    /// How long the caller waits for an answer.
    pub patience: Micros,
    /// Number of circuits that the call occupies.
    pub width: f64,
    /// The preferred pool, or the destination.
    pub destination: i64,
    /// The place advised by the centre, if any.
    pub advised: Option<i64>,
    /// Whether this call was cut before and is set up again.
    pub cut_before: bool,
    /// Name of the call server at which the call is already established, if it is.
    pub standing_at: Option<String>,
}

/// Maximum length of a called number.
const MAX_CALLED_NUMBER_LENGTH: usize = 128;
/// Upper limits of the numeric fields of a set-up.
const MAX_WIDTH: f64 = 10_000.0;
const MAX_PLACE: i64 = 1_000_000;

/// Returns the Call-ID of a message, 16 hex digits, as text and as a number.
pub fn call_id(message: &Message) -> Option<(&str, u64)> {
    let text = message.call_id()?;
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !digits {
        return None;
    }
    Some((text, u64::from_str_radix(text, 16).ok()?))
}

/// Parses a set-up. `classes` holds the names of the classes in order.
///
/// # Errors
///
/// Returns the reason phrase of the refusal if the set-up is malformed.
pub fn parse(message: &Message, classes: &[String]) -> Result<Invite, &'static str> {
    let (text, number) = call_id(message).ok_or("Bad Call-ID")?;
    if message.cseq().is_none_or(|cseq| cseq.method != Method::Invite) {
        return Err("Bad CSeq");
    }
    let called =
        message.user().filter(|user| user.len() <= MAX_CALLED_NUMBER_LENGTH).ok_or("Bad Request-URI")?;
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
        cut_before: false,
        standing_at: None,
    };
    if message.header("X-Legs").is_some() {
        invite.parse_legs(message.only("X-Legs").ok_or("Bad X-Legs")?).ok_or("Bad X-Legs")?;
    }
    if invite.standing_at.is_none() {
        let timer = message.only("X-Timer-Ms").and_then(parse_number).ok_or("Bad X-Timer-Ms")?;
        if !(timer > 0.0 && timer <= MAX_CALLER_TIMER_MS) {
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
    fn parse_legs(&mut self, text: &str) -> Option<()> {
        for part in text.split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':')?;
            let value = value.trim();
            match name.trim() {
                "dest" => self.destination = parse_place(value)?,
                "width" => {
                    self.width = parse_number(value).filter(|&width| width > 0.0 && width <= MAX_WIDTH)?
                }
                "via" => self.advised = parse_place(value).map(|via| (via >= 0).then_some(via))?,
                "again" => self.cut_before = matches!(value, "1" | "true"),
                "at" => self.standing_at = (!value.is_empty()).then(|| value.to_owned()),
                _ => {}
            }
        }
        Some(())
    }
}

fn parse_number(text: &str) -> Option<f64> {
    let plain =
        !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit() || matches!(byte, b'.' | b'-'));
    text.parse().ok().filter(|number: &f64| plain && number.is_finite())
}

fn parse_place(text: &str) -> Option<i64> {
    let place = parse_number(text)?;
    (place.fract() == 0.0 && place >= -1.0 && place <= MAX_PLACE as f64).then_some(place as i64)
}
