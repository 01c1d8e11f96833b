//! Dictionary of commands and AVPs: codes, types, flags and names.
//!
//! Sources: RFC 6733 sections 3.1 and 4.5 (base), RFC 7155 sections 3 and 4 (NAS), RFC 8583 section 7 (Load),
//! RFC 7683 section 7 (overload), RFC 7944 section 9 (priority), and this project's vendor-specific AVPs
//! under enterprise number 32473, which RFC 5612 reserves for documentation.

use crate::avp::{FLAG_MANDATORY, FLAG_VENDOR};

/// Application-Id of the base protocol.
pub const APP_BASE: u32 = 0;
/// Application-Id of the NAS application (RFC 7155), which carries call signalling.
pub const APP_NAS: u32 = 1;
/// Application-Id that a relay agent advertises.
pub const APP_RELAY: u32 = 0xffff_ffff;
/// Vendor-Id of this project's AVPs: the enterprise number reserved for documentation (RFC 5612).
pub const VENDOR: u32 = 32473;

/// Capabilities-Exchange.
pub const CMD_CAPABILITIES: u32 = 257;
/// Re-Auth.
pub const CMD_RE_AUTH: u32 = 258;
/// AA (RFC 7155 section 3.1): sets up a call.
pub const CMD_AA: u32 = 265;
/// Abort-Session: the server cuts a call.
pub const CMD_ABORT_SESSION: u32 = 274;
/// Session-Termination: the client ends a call.
pub const CMD_SESSION_TERMINATION: u32 = 275;
/// Device-Watchdog.
pub const CMD_WATCHDOG: u32 = 280;
/// Disconnect-Peer.
pub const CMD_DISCONNECT: u32 = 282;

/// Circuit-Supervision, specific to this project: one of the two experimental codes of RFC 6733 section
/// 11.2.1.
pub const CMD_CIRCUITS: u32 = 0x00ff_fffe;
/// Fleet-Word, specific to this project: the other experimental code of RFC 6733 section 11.2.1. Exchanged
/// only between nodes of one fleet.
pub const CMD_FLEET: u32 = 0x00ff_ffff;

/// Returns the name of a command, without "Request" or "Answer".
pub fn command_name(command: u32) -> Option<&'static str> {
    Some(match command {
        CMD_CAPABILITIES => "Capabilities-Exchange",
        CMD_RE_AUTH => "Re-Auth",
        CMD_AA => "AA",
        CMD_ABORT_SESSION => "Abort-Session",
        CMD_SESSION_TERMINATION => "Session-Termination",
        CMD_WATCHDOG => "Device-Watchdog",
        CMD_DISCONNECT => "Disconnect-Peer",
        CMD_CIRCUITS => "Circuit-Supervision",
        CMD_FLEET => "Fleet-Word",
        _ => return None,
    })
}

/// Returns the abbreviated name of a message, such as "AAR" or "AAA".
pub fn short_name(command: u32, request: bool) -> &'static str {
    match (command, request) {
        (CMD_CAPABILITIES, true) => "CER",
        (CMD_CAPABILITIES, false) => "CEA",
        (CMD_RE_AUTH, true) => "RAR",
        (CMD_RE_AUTH, false) => "RAA",
        (CMD_AA, true) => "AAR",
        (CMD_AA, false) => "AAA",
        (CMD_ABORT_SESSION, true) => "ASR",
        (CMD_ABORT_SESSION, false) => "ASA",
        (CMD_SESSION_TERMINATION, true) => "STR",
        (CMD_SESSION_TERMINATION, false) => "STA",
        (CMD_WATCHDOG, true) => "DWR",
        (CMD_WATCHDOG, false) => "DWA",
        (CMD_DISCONNECT, true) => "DPR",
        (CMD_DISCONNECT, false) => "DPA",
        (CMD_CIRCUITS, true) => "CSR",
        (CMD_CIRCUITS, false) => "CSA",
        (CMD_FLEET, true) => "FWR",
        (CMD_FLEET, false) => "FWA",
        (_, true) => "request",
        (_, false) => "answer",
    }
}

/// Data format of an AVP's value (RFC 6733 sections 4.2 and 4.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Arbitrary bytes.
    OctetString,
    /// Signed 32-bit integer.
    Integer32,
    /// Signed 64-bit integer.
    Integer64,
    /// Unsigned 32-bit integer.
    Unsigned32,
    /// Unsigned 64-bit integer.
    Unsigned64,
    /// IEEE 754 single precision.
    Float32,
    /// IEEE 754 double precision.
    Float64,
    /// A sequence of AVPs.
    Grouped,
    /// An address family and an address.
    Address,
    /// Seconds since 1900-01-01 00:00 UTC.
    Time,
    /// UTF-8 text.
    Utf8String,
    /// A host or realm name in ASCII.
    DiameterIdentity,
    /// A URI of scheme `aaa` or `aaas`.
    DiameterUri,
    /// A 32-bit integer with enumerated values.
    Enumerated,
}

impl Kind {
    /// Returns the length of a value in bytes, if the format has a fixed length.
    pub fn fixed_len(self) -> Option<usize> {
        match self {
            Kind::Integer32 | Kind::Unsigned32 | Kind::Float32 | Kind::Enumerated | Kind::Time => Some(4),
            Kind::Integer64 | Kind::Unsigned64 | Kind::Float64 => Some(8),
            _ => None,
        }
    }
}

/// Identifies an AVP and tells whether it is sent with the M bit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// AVP code.
    pub code: u32,
    /// Vendor-Id of a vendor-specific AVP.
    pub vendor: Option<u32>,
    mandatory: bool,
}

impl Key {
    /// Returns the flags that the AVP is sent with.
    pub fn flags(self) -> u8 {
        let vendor = if self.vendor.is_some() { FLAG_VENDOR } else { 0 };
        vendor | if self.mandatory { FLAG_MANDATORY } else { 0 }
    }
}

/// Dictionary entry of an AVP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Code, vendor and M bit.
    pub key: Key,
    /// Data format of the value.
    pub kind: Kind,
    /// AVP name.
    pub name: &'static str,
}

macro_rules! avps {
    ($($const:ident $code:literal $vendor:expr, $m:ident, $kind:ident, $name:literal;)*) => {
        $(
            #[doc = $name]
            pub const $const: Key = Key { code: $code, vendor: $vendor, mandatory: avps!(@$m) };
        )*
        /// All AVPs of the dictionary, in order of vendor and code.
        pub const ENTRIES: &[Entry] = &[$(Entry { key: $const, kind: Kind::$kind, name: $name },)*];
        /// Returns the dictionary entry of an AVP.
        pub fn entry(code: u32, vendor: Option<u32>) -> Option<Entry> {
            match (vendor, code) {
                $((v, $code) if v == $vendor =>
                    Some(Entry { key: $const, kind: Kind::$kind, name: $name }),)*
                _ => None,
            }
        }
    };
    (@M) => { true };
    (@o) => { false };
}

avps! {
    USER_NAME 1 None, M, Utf8String, "User-Name";
    NAS_PORT 5 None, M, Unsigned32, "NAS-Port";
    SERVICE_TYPE 6 None, M, Enumerated, "Service-Type";
    CLASS 25 None, M, OctetString, "Class";
    SESSION_TIMEOUT 27 None, M, Unsigned32, "Session-Timeout";
    CALLED_STATION_ID 30 None, M, Utf8String, "Called-Station-Id";
    CALLING_STATION_ID 31 None, M, Utf8String, "Calling-Station-Id";
    PROXY_STATE 33 None, M, OctetString, "Proxy-State";
    ACCT_SESSION_ID 44 None, M, OctetString, "Acct-Session-Id";
    EVENT_TIMESTAMP 55 None, M, Time, "Event-Timestamp";
    NAS_PORT_TYPE 61 None, M, Enumerated, "NAS-Port-Type";
    HOST_IP_ADDRESS 257 None, M, Address, "Host-IP-Address";
    AUTH_APPLICATION_ID 258 None, M, Unsigned32, "Auth-Application-Id";
    ACCT_APPLICATION_ID 259 None, M, Unsigned32, "Acct-Application-Id";
    VENDOR_SPECIFIC_APPLICATION_ID 260 None, M, Grouped, "Vendor-Specific-Application-Id";
    REDIRECT_HOST_USAGE 261 None, M, Enumerated, "Redirect-Host-Usage";
    REDIRECT_MAX_CACHE_TIME 262 None, M, Unsigned32, "Redirect-Max-Cache-Time";
    SESSION_ID 263 None, M, Utf8String, "Session-Id";
    ORIGIN_HOST 264 None, M, DiameterIdentity, "Origin-Host";
    SUPPORTED_VENDOR_ID 265 None, M, Unsigned32, "Supported-Vendor-Id";
    VENDOR_ID 266 None, M, Unsigned32, "Vendor-Id";
    FIRMWARE_REVISION 267 None, o, Unsigned32, "Firmware-Revision";
    RESULT_CODE 268 None, M, Unsigned32, "Result-Code";
    PRODUCT_NAME 269 None, o, Utf8String, "Product-Name";
    DISCONNECT_CAUSE 273 None, M, Enumerated, "Disconnect-Cause";
    AUTH_REQUEST_TYPE 274 None, M, Enumerated, "Auth-Request-Type";
    AUTH_SESSION_STATE 277 None, M, Enumerated, "Auth-Session-State";
    ORIGIN_STATE_ID 278 None, M, Unsigned32, "Origin-State-Id";
    FAILED_AVP 279 None, M, Grouped, "Failed-AVP";
    PROXY_HOST 280 None, M, DiameterIdentity, "Proxy-Host";
    ERROR_MESSAGE 281 None, o, Utf8String, "Error-Message";
    ROUTE_RECORD 282 None, M, DiameterIdentity, "Route-Record";
    DESTINATION_REALM 283 None, M, DiameterIdentity, "Destination-Realm";
    PROXY_INFO 284 None, M, Grouped, "Proxy-Info";
    RE_AUTH_REQUEST_TYPE 285 None, M, Enumerated, "Re-Auth-Request-Type";
    AUTHORIZATION_LIFETIME 291 None, M, Unsigned32, "Authorization-Lifetime";
    REDIRECT_HOST 292 None, M, DiameterUri, "Redirect-Host";
    DESTINATION_HOST 293 None, M, DiameterIdentity, "Destination-Host";
    ERROR_REPORTING_HOST 294 None, o, DiameterIdentity, "Error-Reporting-Host";
    TERMINATION_CAUSE 295 None, M, Enumerated, "Termination-Cause";
    ORIGIN_REALM 296 None, M, DiameterIdentity, "Origin-Realm";
    EXPERIMENTAL_RESULT 297 None, M, Grouped, "Experimental-Result";
    EXPERIMENTAL_RESULT_CODE 298 None, M, Unsigned32, "Experimental-Result-Code";
    INBAND_SECURITY_ID 299 None, M, Unsigned32, "Inband-Security-Id";
    DRMP 301 None, o, Enumerated, "DRMP";
    OC_SUPPORTED_FEATURES 621 None, o, Grouped, "OC-Supported-Features";
    OC_FEATURE_VECTOR 622 None, o, Unsigned64, "OC-Feature-Vector";
    OC_OLR 623 None, o, Grouped, "OC-OLR";
    OC_SEQUENCE_NUMBER 624 None, o, Unsigned64, "OC-Sequence-Number";
    OC_VALIDITY_DURATION 625 None, o, Unsigned32, "OC-Validity-Duration";
    OC_REPORT_TYPE 626 None, o, Enumerated, "OC-Report-Type";
    OC_REDUCTION_PERCENTAGE 627 None, o, Unsigned32, "OC-Reduction-Percentage";
    SOURCE_ID 649 None, o, DiameterIdentity, "SourceID";
    LOAD 650 None, o, Grouped, "Load";
    LOAD_TYPE 651 None, o, Enumerated, "Load-Type";
    LOAD_VALUE 652 None, o, Unsigned64, "Load-Value";
    PROCESSOR_WAIT 1 Some(VENDOR), o, Unsigned32, "Processor-Wait";
    PROCESSOR_QUEUE 2 Some(VENDOR), o, Unsigned32, "Processor-Queue";
    PROCESSOR_BUSY 3 Some(VENDOR), o, Unsigned32, "Processor-Busy";
    LINES_FREE 4 Some(VENDOR), o, Unsigned32, "Lines-Free";
    LINES_TOTAL 5 Some(VENDOR), o, Unsigned32, "Lines-Total";
    SETUP_PATIENCE 6 Some(VENDOR), o, Unsigned32, "Setup-Patience";
    CALL_MARKS 7 Some(VENDOR), o, Unsigned32, "Call-Marks";
    COME_BACK_AFTER 8 Some(VENDOR), o, Unsigned32, "Come-Back-After";
    SETUP_REASON 9 Some(VENDOR), o, Enumerated, "Setup-Reason";
    REASON_WAIT 10 Some(VENDOR), o, Unsigned32, "Reason-Wait";
    CIRCUIT_ID 11 Some(VENDOR), o, Unsigned32, "Circuit-Id";
    CIRCUIT_COUNT 12 Some(VENDOR), o, Unsigned32, "Circuit-Count";
    CIRCUIT_OPERATION 13 Some(VENDOR), o, Enumerated, "Circuit-Operation";
    CIRCUIT_BLOCK 14 Some(VENDOR), o, Enumerated, "Circuit-Block";
    CIRCUIT_STATES 15 Some(VENDOR), o, OctetString, "Circuit-States";
    CIRCUIT_CONTROL 16 Some(VENDOR), o, Enumerated, "Circuit-Control";
    FLEET_WORD 17 Some(VENDOR), o, OctetString, "Fleet-Word";
}

/// Setup-Reason: no circuit or line is free.
pub const REASON_NO_CIRCUIT: u32 = 1;
/// Setup-Reason: the processor's queue is full; Reason-Wait may give the expected duration.
pub const REASON_PROCESSOR_FULL: u32 = 3;
/// Setup-Reason: both ends seized the circuit (dual seizure), and the answering end controls it.
pub const REASON_GLARE: u32 = 5;
/// Setup-Reason: the circuit is blocked.
pub const REASON_BLOCKED: u32 = 6;
/// Setup-Reason: the circuit is not equipped.
pub const REASON_UNEQUIPPED: u32 = 7;
/// Setup-Reason: the circuit is in use.
pub const REASON_CIRCUIT_BUSY: u32 = 8;
/// Setup-Reason: the circuit is being reset.
pub const REASON_RESETTING: u32 = 9;
/// Setup-Reason: all lines of the called number are busy.
pub const REASON_LINES_BUSY: u32 = 4;

/// Call-Marks bit: the caller redials after a failed attempt.
pub const MARK_REDIALLED: u32 = 2;
/// Call-Marks bit: the call was cut and is set up again.
pub const MARK_CUT: u32 = 16;
