//! What is wrong with a request, and the answer that says so (RFC 6733 sections 7.1 and 7.5).

use crate::avp::{put_avp, AvpRef};
use crate::dictionary::{self, Key, Kind};
use crate::message::{MessageBuilder, MessageRef, COMMAND_ERROR};
use crate::result_code as code;
use crate::value::{Value, ValueError};

/// A fault found in a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The Result-Code for it.
    pub result: u32,
    /// One line for the Error-Message.
    pub text: String,
    /// The members of the Failed-AVP, already encoded; empty where none is sent.
    pub failed: Vec<u8>,
}

impl Fault {
    fn plain(result: u32, text: impl Into<String>) -> Fault {
        Fault { result, text: text.into(), failed: Vec::new() }
    }

    fn avp(result: u32, text: String, avp: &AvpRef<'_>) -> Fault {
        let mut failed = Vec::new();
        put_avp(&mut failed, avp.code, avp.vendor, avp.flags, avp.data);
        Fault { result, text, failed }
    }

    /// A missing AVP is shown with a value of the least length, zeros (section 7.5).
    fn missing(key: Key) -> Fault {
        let entry = dictionary::entry(key.code, key.vendor);
        let len = entry.and_then(|entry| entry.kind.fixed_len()).unwrap_or(0);
        let mut failed = Vec::new();
        put_avp(&mut failed, key.code, key.vendor, key.flags(), &[0; 8][..len]);
        let name = entry.map_or("an AVP", |entry| entry.name);
        Fault { result: code::MISSING_AVP, text: format!("{name} is missing"), failed }
    }
}

/// The AVPs that a request of a command must have, each exactly once.
fn required(command: u32) -> Option<&'static [Key]> {
    use dictionary::*;
    Some(match command {
        CMD_CAPABILITIES => &[ORIGIN_HOST, ORIGIN_REALM, VENDOR_ID, PRODUCT_NAME],
        CMD_WATCHDOG => &[ORIGIN_HOST, ORIGIN_REALM],
        CMD_DISCONNECT => &[ORIGIN_HOST, ORIGIN_REALM, DISCONNECT_CAUSE],
        CMD_AA => &[
            SESSION_ID,
            AUTH_APPLICATION_ID,
            ORIGIN_HOST,
            ORIGIN_REALM,
            DESTINATION_REALM,
            AUTH_REQUEST_TYPE,
        ],
        CMD_SESSION_TERMINATION => &[
            SESSION_ID,
            ORIGIN_HOST,
            ORIGIN_REALM,
            DESTINATION_REALM,
            AUTH_APPLICATION_ID,
            TERMINATION_CAUSE,
        ],
        CMD_ABORT_SESSION => {
            &[SESSION_ID, ORIGIN_HOST, ORIGIN_REALM, DESTINATION_REALM, DESTINATION_HOST, AUTH_APPLICATION_ID]
        }
        CMD_RE_AUTH => &[
            SESSION_ID,
            ORIGIN_HOST,
            ORIGIN_REALM,
            DESTINATION_REALM,
            DESTINATION_HOST,
            AUTH_APPLICATION_ID,
            RE_AUTH_REQUEST_TYPE,
        ],
        CMD_CIRCUITS => &[ORIGIN_HOST, ORIGIN_REALM, CIRCUIT_OPERATION, CIRCUIT_ID, CIRCUIT_COUNT],
        CMD_FLEET => &[ORIGIN_HOST, ORIGIN_REALM, FLEET_WORD],
        _ => return None,
    })
}

/// AVPs that no request may hold more than once, beyond those that it must have.
const ONCE: &[Key] = &[
    dictionary::CALLED_STATION_ID,
    dictionary::CALLING_STATION_ID,
    dictionary::DESTINATION_HOST,
    dictionary::ORIGIN_STATE_ID,
    dictionary::DRMP,
    dictionary::SETUP_PATIENCE,
];

/// Looks a request over before it is acted on: header bits, command, application, AVPs. Fleet-Word is no known
/// command here: only members of a fleet may say it, see [`check_member_request`].
///
/// # Errors
///
/// The first fault, in the order in which the sections of RFC 6733 treat them.
pub fn check_request(message: &MessageRef<'_>) -> Result<(), Fault> {
    check(message, false)
}

/// As [`check_request`], for a request of a member of this node's fleet, which may be a Fleet-Word.
///
/// # Errors
///
/// As [`check_request`].
pub fn check_member_request(message: &MessageRef<'_>) -> Result<(), Fault> {
    check(message, true)
}

fn check(message: &MessageRef<'_>, member: bool) -> Result<(), Fault> {
    let head = &message.header;
    if head.version != 1 {
        return Err(Fault::plain(code::UNSUPPORTED_VERSION, format!("version {}, expected 1", head.version)));
    }
    if head.flags & 0x0f != 0 {
        return Err(Fault::plain(code::INVALID_BIT_IN_HEADER, "a reserved bit of the header is set"));
    }
    if head.flags & COMMAND_ERROR != 0 {
        return Err(Fault::plain(code::INVALID_HDR_BITS, "a request with the E bit"));
    }
    let known = member || head.command != dictionary::CMD_FLEET;
    let Some(required) = required(head.command).filter(|_| known) else {
        return Err(Fault::plain(
            code::COMMAND_UNSUPPORTED,
            format!("command {} is not known", head.command),
        ));
    };
    let base = matches!(
        head.command,
        dictionary::CMD_CAPABILITIES | dictionary::CMD_WATCHDOG | dictionary::CMD_DISCONNECT
    );
    // The application of base commands is 0, but CER and DWR of old peers carry others: RFC 6733 only
    // asks it of the sender, so that it is not refused here.
    if !base && head.application != dictionary::APP_NAS {
        let text = format!("application {} is not known", head.application);
        return Err(Fault::plain(code::APPLICATION_UNSUPPORTED, text));
    }
    let mut seen = [0u8; 16];
    let mut once = [0u8; ONCE.len()];
    for avp in message.avps() {
        let avp = avp.map_err(|error| {
            let mut failed = Vec::new();
            if let Some(code) = error.code {
                let entry = dictionary::entry(code, error.vendor);
                let len = entry.and_then(|entry| entry.kind.fixed_len()).unwrap_or(0);
                let flags = entry.map_or(0, |entry| entry.key.flags());
                put_avp(&mut failed, code, error.vendor, flags, &[0; 8][..len]);
            }
            Fault { result: code::INVALID_AVP_LENGTH, text: error.to_string(), failed }
        })?;
        if avp.flags & 0x1f != 0 {
            let text = format!("AVP {} has a reserved bit set", avp.code);
            return Err(Fault::avp(code::INVALID_AVP_BITS, text, &avp));
        }
        let Some(entry) = dictionary::entry(avp.code, avp.vendor) else {
            if avp.is_mandatory() {
                let text = format!("AVP {} is not known and has the M bit", avp.code);
                return Err(Fault::avp(code::AVP_UNSUPPORTED, text, &avp));
            }
            continue;
        };
        if let Err(error) = check_value(entry.kind, &avp) {
            let result = match error {
                ValueError::Length(..) | ValueError::Member(_) => code::INVALID_AVP_LENGTH,
                ValueError::Content(_) | ValueError::Depth => code::INVALID_AVP_VALUE,
            };
            return Err(Fault::avp(result, format!("{}: {error}", entry.name), &avp));
        }
        if let Some(place) = required.iter().position(|key| *key == entry.key) {
            seen[place] = seen[place].saturating_add(1);
            if seen[place] > 1 {
                let text = format!("{} stands more than once", entry.name);
                return Err(Fault::avp(code::AVP_OCCURS_TOO_MANY_TIMES, text, &avp));
            }
        } else if let Some(place) = ONCE.iter().position(|key| *key == entry.key) {
            once[place] = once[place].saturating_add(1);
            if once[place] > 1 {
                let text = format!("{} stands more than once", entry.name);
                return Err(Fault::avp(code::AVP_OCCURS_TOO_MANY_TIMES, text, &avp));
            }
        }
    }
    match required.iter().zip(seen).find(|(_, seen)| *seen == 0) {
        Some((key, _)) => Err(Fault::missing(*key)),
        None => Ok(()),
    }
}

/// Scalars are judged by length alone, without building the value.
fn check_value(kind: Kind, avp: &AvpRef<'_>) -> Result<(), ValueError> {
    if let Some(len) = kind.fixed_len() {
        return if avp.data.len() == len { Ok(()) } else { Err(ValueError::Length(kind, avp.data.len())) };
    }
    match kind {
        Kind::OctetString => Ok(()),
        Kind::Utf8String => avp.as_str().map(|_| ()).ok_or(ValueError::Content(kind)),
        Kind::DiameterIdentity => {
            let fits = |c: &u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'.' | b'_');
            let good = !avp.data.is_empty() && avp.data.iter().all(fits);
            if good {
                Ok(())
            } else {
                Err(ValueError::Content(kind))
            }
        }
        _ => Value::decode(kind, avp.data).map(|_| ()),
    }
}

/// The answer to a faulty request: Result-Code, Error-Message, Failed-AVP and the node's names.
pub fn refusal(request: &MessageRef<'_>, fault: &Fault, host: &str, realm: &str) -> Vec<u8> {
    let mut answer = MessageBuilder::answer(request, fault.result)
        .add_str(dictionary::ORIGIN_HOST, host)
        .add_str(dictionary::ORIGIN_REALM, realm)
        .add_str(dictionary::ERROR_MESSAGE, &fault.text);
    if !fault.failed.is_empty() {
        answer = answer.add(dictionary::FAILED_AVP, &fault.failed);
    }
    answer.build()
}
