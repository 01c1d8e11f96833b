//! Attribute-Value Pairs (RFC 6733 section 4).

use std::fmt;

/// The V bit: a Vendor-Id follows.
pub const FLAG_VENDOR: u8 = 0x80;
/// The M bit: a receiver that does not support the AVP must reject the message.
pub const FLAG_MANDATORY: u8 = 0x40;
/// The P bit: reserved for end-to-end security.
pub const FLAG_PROTECTED: u8 = 0x20;

/// Maximum nesting depth of grouped AVPs that is decoded.
pub(crate) const MAX_DEPTH: usize = 16;

/// A borrowed view of an AVP in its message.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct AvpRef<'a> {
    /// AVP code.
    pub code: u32,
    /// Vendor-Id, if the V bit is set.
    pub vendor: Option<u32>,
    /// AVP flags as received.
    pub flags: u8,
    /// Value without padding.
    pub data: &'a [u8],
}

impl fmt::Debug for AvpRef<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Avp({}", self.code)?;
        if let Some(vendor) = self.vendor {
            write!(f, " of {vendor}")?;
        }
        write!(f, ", {} bytes)", self.data.len())
    }
}

impl<'a> AvpRef<'a> {
    /// Returns whether the M bit is set.
    pub fn is_mandatory(&self) -> bool {
        self.flags & FLAG_MANDATORY != 0
    }

    /// Returns the value as Unsigned32 or Enumerated, if it is four bytes long.
    pub fn as_u32(&self) -> Option<u32> {
        self.data.try_into().ok().map(u32::from_be_bytes)
    }

    /// Returns the value as Unsigned64, if it is eight bytes long.
    pub fn as_u64(&self) -> Option<u64> {
        self.data.try_into().ok().map(u64::from_be_bytes)
    }

    /// Returns the value as text (UTF8String, DiameterIdentity, DiameterURI), if it is valid UTF-8.
    pub fn as_str(&self) -> Option<&'a str> {
        std::str::from_utf8(self.data).ok()
    }

    /// Returns an iterator over the AVPs of a grouped value.
    pub fn group(&self) -> Avps<'a> {
        Avps::new(self.data)
    }
}

/// An AVP that cannot be read: its header is truncated or its length does not fit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AvpError {
    /// Byte offset from the first AVP.
    pub offset: usize,
    /// AVP code, if its bytes are present.
    pub code: Option<u32>,
    /// Vendor-Id, if the V bit is set and its bytes are present.
    pub vendor: Option<u32>,
    /// AVP length given in the header, if its bytes are present.
    pub length: Option<usize>,
}

impl fmt::Display for AvpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.code, self.length) {
            (Some(code), Some(length)) => {
                write!(f, "AVP {code} at byte {}: its length of {length} does not fit", self.offset)
            }
            _ => write!(f, "AVP at byte {}: the message ends inside its header", self.offset),
        }
    }
}

impl std::error::Error for AvpError {}

/// Iterator over the AVPs of a message or group; ends after the first error.
#[derive(Clone, Debug)]
pub struct Avps<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Avps<'a> {
    /// Creates an iterator over the AVPs encoded in `bytes`.
    pub fn new(bytes: &'a [u8]) -> Self {
        Avps { bytes, offset: 0 }
    }

    /// Returns the first AVP with this code and vendor; the search stops at an unreadable AVP.
    pub fn find(self, code: u32, vendor: Option<u32>) -> Option<AvpRef<'a>> {
        self.map_while(Result::ok).find(|avp| avp.code == code && avp.vendor == vendor)
    }

    fn error_at_offset(&mut self, code: Option<u32>, vendor: Option<u32>, length: Option<usize>) -> AvpError {
        let offset = self.offset;
        self.offset = self.bytes.len();
        AvpError { offset, code, vendor, length }
    }
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..at + 4)?.try_into().ok().map(u32::from_be_bytes)
}

impl<'a> Iterator for Avps<'a> {
    type Item = Result<AvpRef<'a>, AvpError>;

    fn next(&mut self) -> Option<Self::Item> {
        let remaining = self.bytes.get(self.offset..).filter(|remaining| !remaining.is_empty())?;
        let Some(code) = u32_at(remaining, 0) else {
            return Some(Err(self.error_at_offset(None, None, None)));
        };
        let Some(flags_and_length) = u32_at(remaining, 4) else {
            return Some(Err(self.error_at_offset(Some(code), None, None)));
        };
        let flags = (flags_and_length >> 24) as u8;
        let length = (flags_and_length & 0x00ff_ffff) as usize;
        let vendor = if flags & FLAG_VENDOR != 0 { u32_at(remaining, 8) } else { None };
        let header_len = if flags & FLAG_VENDOR != 0 { 12 } else { 8 };
        let Some(data) = remaining.get(header_len..length).filter(|_| length >= header_len) else {
            return Some(Err(self.error_at_offset(Some(code), vendor, Some(length))));
        };
        // The padding of the last AVP may be missing: its value is complete without it.
        self.offset = (self.offset + length.next_multiple_of(4)).min(self.bytes.len());
        Some(Ok(AvpRef { code, vendor, flags, data }))
    }
}

pub(crate) fn put_avp(out: &mut Vec<u8>, code: u32, vendor: Option<u32>, flags: u8, data: &[u8]) {
    let header_len = if vendor.is_some() { 12 } else { 8 };
    let length = (header_len + data.len()) as u32;
    let flags = (flags & !FLAG_VENDOR) | if vendor.is_some() { FLAG_VENDOR } else { 0 };
    out.extend_from_slice(&code.to_be_bytes());
    out.extend_from_slice(&((u32::from(flags) << 24) | (length & 0x00ff_ffff)).to_be_bytes());
    if let Some(vendor) = vendor {
        out.extend_from_slice(&vendor.to_be_bytes());
    }
    out.extend_from_slice(data);
    out.resize(out.len() + data.len().next_multiple_of(4) - data.len(), 0);
}

/// Builds the value of a grouped AVP.
#[derive(Clone, Debug, Default)]
pub struct GroupBuilder {
    bytes: Vec<u8>,
}

impl GroupBuilder {
    /// Creates an empty group.
    pub fn new() -> Self {
        GroupBuilder::default()
    }

    /// Adds an AVP with the flags that the dictionary defines for it.
    pub fn add(mut self, avp: crate::dictionary::Key, data: &[u8]) -> Self {
        put_avp(&mut self.bytes, avp.code, avp.vendor, avp.flags(), data);
        self
    }

    /// Adds an Unsigned32 AVP.
    pub fn add_u32(self, avp: crate::dictionary::Key, value: u32) -> Self {
        self.add(avp, &value.to_be_bytes())
    }

    /// Returns the encoded bytes of the group.
    pub fn build(self) -> Vec<u8> {
        self.bytes
    }
}
