//! Validation of requests and the error answers to invalid ones (RFC 6733 sections 7.1 and 7.5).

use crate::avp::{put_avp, AvpRef};
use crate::dictionary::{self, Key, Kind};
use crate::message::{MessageBuilder, MessageRef, COMMAND_ERROR};
use crate::result_code as code;
use crate::value::{Value, ValueError};

/// An error found in a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Result-Code of the answer.
    pub result: u32,
    /// Text of the Error-Message AVP, one line.
    pub text: String,
    /// Encoded members of the Failed-AVP; empty if none is sent.
    pub failed: Vec<u8>,
}

impl Fault {
    fn without_avp(result: u32, text: impl Into<String>) -> Fault {
        Fault { result, text: text.into(), failed: Vec::new() }
    }

    fn with_avp(result: u32, text: String, avp: &AvpRef<'_>) -> Fault {
        let mut failed = Vec::new();
        put_avp(&mut failed, avp.code, avp.vendor, avp.flags, avp.data);
        Fault { result, text, failed }
    }

    /// Reports a missing AVP as a Failed-AVP with a zero-filled value of minimum length (section 7.5).
    fn missing(key: Key) -> Fault {
        let entry = dictionary::entry(key.code, key.vendor);
        let len = entry.and_then(|entry| entry.kind.fixed_len()).unwrap_or(0);
        let mut failed = Vec::new();
        put_avp(&mut failed, key.code, key.vendor, key.flags(), &[0; 8][..len]);
        let name = entry.map_or("an AVP", |entry| entry.name);
        Fault { result: code::MISSING_AVP, text: format!("{name} is missing"), failed }
    }
}

/// Returns the AVPs that a request of this command must contain, each exactly once; `None` for an unknown
/// command.
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

/// Optional AVPs that a request may contain at most once.
const AT_MOST_ONCE: &[Key] = &[
    dictionary::CALLED_STATION_ID,
    dictionary::CALLING_STATION_ID,
    dictionary::DESTINATION_HOST,
    dictionary::ORIGIN_STATE_ID,
    dictionary::DRMP,
    dictionary::SETUP_PATIENCE,
];

/// Validates a request before it is processed: header bits, command, application and AVPs. Fleet-Word is
/// rejected as an unsupported command, because only members of a fleet may send it; see
/// [`check_member_request`].
///
/// # Errors
///
/// Returns the first error, in the order of the sections of RFC 6733.
pub fn check_request(message: &MessageRef<'_>) -> Result<(), Fault> {
    check(message, false)
}

/// Validates a request from a member of this node's fleet: as [`check_request`], but Fleet-Word is allowed.
///
/// # Errors
///
/// The same errors as [`check_request`].
pub fn check_member_request(message: &MessageRef<'_>) -> Result<(), Fault> {
    check(message, true)
}

fn check(message: &MessageRef<'_>, from_member: bool) -> Result<(), Fault> {
    let header = &message.header;
    if header.version != 1 {
        return Err(Fault::without_avp(
            code::UNSUPPORTED_VERSION,
            format!("version {}, expected 1", header.version),
        ));
    }
    if header.flags & 0x0f != 0 {
        return Err(Fault::without_avp(code::INVALID_BIT_IN_HEADER, "a reserved bit of the header is set"));
    }
    if header.flags & COMMAND_ERROR != 0 {
        return Err(Fault::without_avp(code::INVALID_HDR_BITS, "a request with the E bit"));
    }
    let is_supported = from_member || header.command != dictionary::CMD_FLEET;
    let Some(required) = required(header.command).filter(|_| is_supported) else {
        return Err(Fault::without_avp(
            code::COMMAND_UNSUPPORTED,
            format!("command {} is not known", header.command),
        ));
    };
    let is_base_command = matches!(
        header.command,
        dictionary::CMD_CAPABILITIES | dictionary::CMD_WATCHDOG | dictionary::CMD_DISCONNECT
    );
    // The Application-Id of base commands is 0, but old peers send CER and DWR with other values. RFC 6733
    // requires 0 of the sender only, so other values are accepted here.
    if !is_base_command && header.application != dictionary::APP_NAS {
        let text = format!("application {} is not known", header.application);
        return Err(Fault::without_avp(code::APPLICATION_UNSUPPORTED, text));
    }
    let mut required_counts = [0u8; 16];
    let mut optional_counts = [0u8; AT_MOST_ONCE.len()];
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
            return Err(Fault::with_avp(code::INVALID_AVP_BITS, text, &avp));
        }
        let Some(entry) = dictionary::entry(avp.code, avp.vendor) else {
            if avp.is_mandatory() {
                let text = format!("AVP {} is not known and has the M bit", avp.code);
                return Err(Fault::with_avp(code::AVP_UNSUPPORTED, text, &avp));
            }
            continue;
        };
        if let Err(error) = check_value(entry.kind, &avp) {
            let result = match error {
                ValueError::Length(..) | ValueError::Member(_) => code::INVALID_AVP_LENGTH,
                ValueError::Content(_) | ValueError::Depth => code::INVALID_AVP_VALUE,
            };
            return Err(Fault::with_avp(result, format!("{}: {error}", entry.name), &avp));
        }
        if let Some(index) = required.iter().position(|key| *key == entry.key) {
            required_counts[index] = required_counts[index].saturating_add(1);
            if required_counts[index] > 1 {
                let text = format!("{} stands more than once", entry.name);
                return Err(Fault::with_avp(code::AVP_OCCURS_TOO_MANY_TIMES, text, &avp));
            }
        } else if let Some(index) = AT_MOST_ONCE.iter().position(|key| *key == entry.key) {
            optional_counts[index] = optional_counts[index].saturating_add(1);
            if optional_counts[index] > 1 {
                let text = format!("{} stands more than once", entry.name);
                return Err(Fault::with_avp(code::AVP_OCCURS_TOO_MANY_TIMES, text, &avp));
            }
        }
    }
    match required.iter().zip(required_counts).find(|(_, count)| *count == 0) {
        Some((key, _)) => Err(Fault::missing(*key)),
        None => Ok(()),
    }
}

/// Validates an AVP's value. Scalars are checked by length alone, without decoding the value.
fn check_value(kind: Kind, avp: &AvpRef<'_>) -> Result<(), ValueError> {
    if let Some(len) = kind.fixed_len() {
        return if avp.data.len() == len { Ok(()) } else { Err(ValueError::Length(kind, avp.data.len())) };
    }
    match kind {
        Kind::OctetString => Ok(()),
        Kind::Utf8String => avp.as_str().map(|_| ()).ok_or(ValueError::Content(kind)),
        Kind::DiameterIdentity => {
            let is_name_byte = |c: &u8| c.is_ascii_alphanumeric() || matches!(c, b'-' | b'.' | b'_');
            let is_valid = !avp.data.is_empty() && avp.data.iter().all(is_name_byte);
            if is_valid {
                Ok(())
            } else {
                Err(ValueError::Content(kind))
            }
        }
        _ => Value::decode(kind, avp.data).map(|_| ()),
    }
}

/// Builds the answer to an invalid request: Result-Code, Error-Message, Failed-AVP, Origin-Host and
/// Origin-Realm.
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
