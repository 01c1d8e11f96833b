//! Result-Codes of RFC 6733 section 7.1.

/// Class of a Result-Code, given by its thousands digit (section 7.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Family {
    /// 1xxx.
    Informational,
    /// 2xxx.
    Success,
    /// 3xxx: the answer carries the E bit.
    Protocol,
    /// 4xxx.
    Transient,
    /// 5xxx.
    Permanent,
    /// Any other code, to be treated as a permanent failure.
    Other,
}

/// Returns the class of a Result-Code.
pub fn family(code: u32) -> Family {
    match code / 1000 {
        1 => Family::Informational,
        2 => Family::Success,
        3 => Family::Protocol,
        4 => Family::Transient,
        5 => Family::Permanent,
        _ => Family::Other,
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $code:literal;)*) => {
        $($(#[$doc])* pub const $name: u32 = $code;)*
        /// Returns the name of a Result-Code in the RFC.
        pub fn name(code: u32) -> Option<&'static str> {
            match code { $($code => Some(stringify!($name)),)* _ => None }
        }
    };
}

codes! {
    /// The request was completed successfully.
    SUCCESS = 2001;
    /// The command is not supported.
    COMMAND_UNSUPPORTED = 3001;
    /// The message could not be delivered to its destination.
    UNABLE_TO_DELIVER = 3002;
    /// The realm is not served.
    REALM_NOT_SERVED = 3003;
    /// The node cannot process the request now.
    TOO_BUSY = 3004;
    /// The node's own identity is in a Route-Record.
    LOOP_DETECTED = 3005;
    /// The application is not supported.
    APPLICATION_UNSUPPORTED = 3007;
    /// The bits of the header are invalid.
    INVALID_HDR_BITS = 3008;
    /// The bits of an AVP are invalid.
    INVALID_AVP_BITS = 3009;
    /// The peer is not known.
    UNKNOWN_PEER = 3010;
    /// Both peers connected to each other and this connection lost the election.
    ELECTION_LOST = 4003;
    /// An AVP with the M bit is not supported.
    AVP_UNSUPPORTED = 5001;
    /// The session is not known.
    UNKNOWN_SESSION_ID = 5002;
    /// The value of an AVP is invalid.
    INVALID_AVP_VALUE = 5004;
    /// A required AVP is missing.
    MISSING_AVP = 5005;
    /// Resources are exceeded.
    RESOURCES_EXCEEDED = 5006;
    /// The message contains an AVP that is not allowed.
    AVP_NOT_ALLOWED = 5008;
    /// An AVP occurs more often than allowed.
    AVP_OCCURS_TOO_MANY_TIMES = 5009;
    /// The two peers have no application in common.
    NO_COMMON_APPLICATION = 5010;
    /// The protocol version is not 1.
    UNSUPPORTED_VERSION = 5011;
    /// The request cannot be processed for another reason.
    UNABLE_TO_COMPLY = 5012;
    /// A reserved bit of the header is set.
    INVALID_BIT_IN_HEADER = 5013;
    /// The length of an AVP is invalid.
    INVALID_AVP_LENGTH = 5014;
    /// The length of the message is invalid.
    INVALID_MESSAGE_LENGTH = 5015;
    /// The two peers have no security mechanism in common.
    NO_COMMON_SECURITY = 5017;
}
