//! Typed AVP values (RFC 6733 sections 4.2 to 4.4).

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use crate::avp::{put_avp, AvpRef, MAX_DEPTH};
use crate::dictionary::{self, Kind};

/// An Address value: IP addresses are decoded, those of other IANA address families are kept as bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Address {
    /// An IPv4 (family 1) or IPv6 (family 2) address.
    Ip(IpAddr),
    /// Number and bytes of any other address family.
    Other(u16, Vec<u8>),
}

/// A decoded AVP value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Arbitrary bytes.
    OctetString(Vec<u8>),
    /// Signed 32-bit integer.
    Integer32(i32),
    /// Signed 64-bit integer.
    Integer64(i64),
    /// Unsigned 32-bit integer.
    Unsigned32(u32),
    /// Unsigned 64-bit integer.
    Unsigned64(u64),
    /// IEEE 754 single precision.
    Float32(f32),
    /// IEEE 754 double precision.
    Float64(f64),
    /// Code, vendor, flags and value of each member; members missing from the dictionary are OctetStrings.
    Grouped(Vec<(u32, Option<u32>, u8, Value)>),
    /// An address family and an address.
    Address(Address),
    /// Seconds since 1900 (era 0).
    Time(u32),
    /// UTF-8 text.
    Utf8String(String),
    /// A host or realm name.
    DiameterIdentity(String),
    /// A Diameter URI.
    DiameterUri(String),
    /// A 32-bit integer with enumerated values.
    Enumerated(i32),
}

/// A value that does not conform to its type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueError {
    /// The length is wrong for the type (Result-Code 5014).
    Length(Kind, usize),
    /// The content is not valid for the type (Result-Code 5004).
    Content(Kind),
    /// An AVP in the group cannot be read (Result-Code 5014).
    Member(crate::AvpError),
    /// Groups are nested more deeply than is decoded (Result-Code 5004).
    Depth,
}

impl fmt::Display for ValueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ValueError::Length(kind, len) => write!(f, "{len} bytes are no {kind:?}"),
            ValueError::Content(kind) => write!(f, "not a valid {kind:?}"),
            ValueError::Member(error) => write!(f, "in a group: {error}"),
            ValueError::Depth => write!(f, "groups nested more than {MAX_DEPTH} deep"),
        }
    }
}

impl std::error::Error for ValueError {}

impl Value {
    /// Decodes an AVP by its dictionary type; an AVP missing from the dictionary is an OctetString.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid for the type.
    pub fn read(avp: &AvpRef<'_>) -> Result<Value, ValueError> {
        read(avp, 0)
    }

    /// Decodes bytes as a value of the given type.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not valid for the type.
    pub fn decode(kind: Kind, data: &[u8]) -> Result<Value, ValueError> {
        decode(kind, data, 0)
    }

    /// Appends the encoded value, without an AVP header.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Value::OctetString(bytes) => out.extend_from_slice(bytes),
            Value::Integer32(v) | Value::Enumerated(v) => out.extend_from_slice(&v.to_be_bytes()),
            Value::Integer64(v) => out.extend_from_slice(&v.to_be_bytes()),
            Value::Unsigned32(v) | Value::Time(v) => out.extend_from_slice(&v.to_be_bytes()),
            Value::Unsigned64(v) => out.extend_from_slice(&v.to_be_bytes()),
            Value::Float32(v) => out.extend_from_slice(&v.to_be_bytes()),
            Value::Float64(v) => out.extend_from_slice(&v.to_be_bytes()),
            Value::Address(address) => match address {
                Address::Ip(IpAddr::V4(ipv4)) => {
                    out.extend_from_slice(&1u16.to_be_bytes());
                    out.extend_from_slice(&ipv4.octets());
                }
                Address::Ip(IpAddr::V6(ipv6)) => {
                    out.extend_from_slice(&2u16.to_be_bytes());
                    out.extend_from_slice(&ipv6.octets());
                }
                Address::Other(family, bytes) => {
                    out.extend_from_slice(&family.to_be_bytes());
                    out.extend_from_slice(bytes);
                }
            },
            Value::Utf8String(text) | Value::DiameterIdentity(text) | Value::DiameterUri(text) => {
                out.extend_from_slice(text.as_bytes());
            }
            Value::Grouped(members) => {
                for (code, vendor, flags, value) in members {
                    let mut data = Vec::new();
                    value.encode(&mut data);
                    put_avp(out, *code, *vendor, *flags, &data);
                }
            }
        }
    }
}

fn read(avp: &AvpRef<'_>, depth: usize) -> Result<Value, ValueError> {
    let kind = dictionary::entry(avp.code, avp.vendor).map_or(Kind::OctetString, |entry| entry.kind);
    decode(kind, avp.data, depth)
}

fn decode(kind: Kind, data: &[u8], depth: usize) -> Result<Value, ValueError> {
    let wrong_len = || ValueError::Length(kind, data.len());
    let four_bytes = || data.try_into().map_err(|_| wrong_len());
    let eight_bytes = || data.try_into().map_err(|_| wrong_len());
    let text = || std::str::from_utf8(data).map(str::to_owned).map_err(|_| ValueError::Content(kind));
    Ok(match kind {
        Kind::OctetString => Value::OctetString(data.to_vec()),
        Kind::Integer32 => Value::Integer32(i32::from_be_bytes(four_bytes()?)),
        Kind::Enumerated => Value::Enumerated(i32::from_be_bytes(four_bytes()?)),
        Kind::Unsigned32 => Value::Unsigned32(u32::from_be_bytes(four_bytes()?)),
        Kind::Time => Value::Time(u32::from_be_bytes(four_bytes()?)),
        Kind::Float32 => Value::Float32(f32::from_be_bytes(four_bytes()?)),
        Kind::Integer64 => Value::Integer64(i64::from_be_bytes(eight_bytes()?)),
        Kind::Unsigned64 => Value::Unsigned64(u64::from_be_bytes(eight_bytes()?)),
        Kind::Float64 => Value::Float64(f64::from_be_bytes(eight_bytes()?)),
        Kind::Utf8String => Value::Utf8String(text()?),
        Kind::DiameterIdentity => {
            let name = text()?;
            let is_name_char = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '.' | '_');
            if name.is_empty() || !name.chars().all(is_name_char) {
                return Err(ValueError::Content(kind));
            }
            Value::DiameterIdentity(name)
        }
        Kind::DiameterUri => {
            let uri = text()?;
            if !uri.starts_with("aaa://") && !uri.starts_with("aaas://") {
                return Err(ValueError::Content(kind));
            }
            Value::DiameterUri(uri)
        }
        Kind::Address => {
            let Some((&[high, low], rest)) = data.split_first_chunk::<2>() else { return Err(wrong_len()) };
            Value::Address(match u16::from_be_bytes([high, low]) {
                1 => {
                    let octets: [u8; 4] = rest.try_into().map_err(|_| wrong_len())?;
                    Address::Ip(IpAddr::V4(Ipv4Addr::from(octets)))
                }
                2 => {
                    let octets: [u8; 16] = rest.try_into().map_err(|_| wrong_len())?;
                    Address::Ip(IpAddr::V6(Ipv6Addr::from(octets)))
                }
                family => Address::Other(family, rest.to_vec()),
            })
        }
        Kind::Grouped => {
            if depth >= MAX_DEPTH {
                return Err(ValueError::Depth);
            }
            let mut members = Vec::new();
            for avp in crate::Avps::new(data) {
                let avp = avp.map_err(ValueError::Member)?;
                members.push((avp.code, avp.vendor, avp.flags, read(&avp, depth + 1)?));
            }
            Value::Grouped(members)
        }
    })
}
