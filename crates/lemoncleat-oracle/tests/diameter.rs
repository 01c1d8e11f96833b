//! Compares the Diameter codec with the `diameter` crate: both encode the same bytes and decode each other's.

use std::io::Cursor;
use std::sync::Arc;

use diameter::avp::{
    Avp, AvpType, AvpValue, Enumerated, Float32, Float64, Grouped, Identity, Integer32, Integer64,
};
use diameter::avp::{OctetString, UTF8String, Unsigned32, Unsigned64};
use diameter::dictionary::{AvpDefinition, Dictionary};
use diameter::{ApplicationId, CommandCode, DiameterMessage};
use lemoncleat_diameter::dictionary::{self as d, Kind};
use lemoncleat_diameter::{Avps, MessageBuilder, MessageRef, Value};
use proptest::prelude::*;

/// Builds the `diameter` crate's dictionary from the entries of [`d::ENTRIES`].
fn reference_dictionary() -> Arc<Dictionary> {
    let mut dictionary = Dictionary::new(&[]);
    for entry in d::ENTRIES {
        let avp_type = match entry.kind {
            Kind::OctetString => AvpType::OctetString,
            Kind::Integer32 => AvpType::Integer32,
            Kind::Integer64 => AvpType::Integer64,
            Kind::Unsigned32 => AvpType::Unsigned32,
            Kind::Unsigned64 => AvpType::Unsigned64,
            Kind::Float32 => AvpType::Float32,
            Kind::Float64 => AvpType::Float64,
            Kind::Grouped => AvpType::Grouped,
            Kind::Address => AvpType::Address,
            Kind::Time => AvpType::Time,
            Kind::Utf8String => AvpType::UTF8String,
            Kind::DiameterIdentity => AvpType::Identity,
            Kind::DiameterUri => AvpType::DiameterURI,
            Kind::Enumerated => AvpType::Enumerated,
        };
        dictionary.add_avp(AvpDefinition {
            code: entry.key.code,
            vendor_id: entry.key.vendor,
            name: entry.name.to_owned(),
            avp_type,
            m_flag: entry.key.flags() & 0x40 != 0,
        });
    }
    Arc::new(dictionary)
}

type Member = (u32, Option<u32>, u8, Value);

/// Converts a value to the `diameter` crate's type. Times, addresses and URIs are not converted: their
/// encoding is tested in `lemoncleat-diameter`.
fn reference_value(value: &Value, dictionary: &Arc<Dictionary>) -> Option<AvpValue> {
    Some(match value {
        Value::OctetString(bytes) => OctetString::new(bytes.clone()).into(),
        Value::Integer32(v) => Integer32::new(*v).into(),
        Value::Integer64(v) => Integer64::new(*v).into(),
        Value::Unsigned32(v) => Unsigned32::new(*v).into(),
        Value::Unsigned64(v) => Unsigned64::new(*v).into(),
        Value::Float32(v) => Float32::new(*v).into(),
        Value::Float64(v) => Float64::new(*v).into(),
        Value::Utf8String(text) => UTF8String::new(text).into(),
        Value::DiameterIdentity(text) => Identity::new(text).into(),
        Value::Enumerated(v) => Enumerated::new(*v).into(),
        Value::Grouped(members) => {
            let inner: Option<Vec<Avp>> =
                members.iter().map(|member| reference_avp(member, dictionary)).collect();
            Grouped::new(inner?, dictionary.clone()).into()
        }
        Value::Address(_) | Value::Time(_) | Value::DiameterUri(_) => return None,
    })
}

fn reference_avp((code, vendor, flags, value): &Member, dictionary: &Arc<Dictionary>) -> Option<Avp> {
    Some(Avp::new(*code, *vendor, *flags, reference_value(value, dictionary)?, dictionary.clone()))
}

fn encode_own(members: &[Member]) -> Vec<u8> {
    let mut message = MessageBuilder::request(d::CMD_AA, 0, true, 0x0102_0304, 0x0a0b_0c0d);
    for (code, vendor, _, value) in members {
        let entry = d::entry(*code, *vendor).expect("a dictionary entry");
        let mut data = Vec::new();
        value.encode(&mut data);
        message = message.add(entry.key, &data);
    }
    message.build()
}

fn member(depth: u32) -> BoxedStrategy<Member> {
    let is_convertible = |kind| !matches!(kind, Kind::Address | Kind::Time | Kind::DiameterUri);
    let entries: Vec<d::Entry> = d::ENTRIES
        .iter()
        .filter(|e| is_convertible(e.kind) && (depth > 0 || e.kind != Kind::Grouped))
        .copied()
        .collect();
    proptest::sample::select(entries)
        .prop_flat_map(move |entry| {
            let value = match entry.kind {
                Kind::OctetString => any::<Vec<u8>>().prop_map(Value::OctetString).boxed(),
                Kind::Integer32 => any::<i32>().prop_map(Value::Integer32).boxed(),
                Kind::Integer64 => any::<i64>().prop_map(Value::Integer64).boxed(),
                Kind::Unsigned32 => any::<u32>().prop_map(Value::Unsigned32).boxed(),
                Kind::Unsigned64 => any::<u64>().prop_map(Value::Unsigned64).boxed(),
                Kind::Float32 => (-1e9f32..1e9).prop_map(Value::Float32).boxed(),
                Kind::Float64 => (-1e9f64..1e9).prop_map(Value::Float64).boxed(),
                Kind::Utf8String => any::<String>().prop_map(Value::Utf8String).boxed(),
                Kind::DiameterIdentity => "[a-z0-9.-]{1,24}".prop_map(Value::DiameterIdentity).boxed(),
                Kind::Enumerated => any::<i32>().prop_map(Value::Enumerated).boxed(),
                _ => proptest::collection::vec(member(depth.saturating_sub(1)), 0..4)
                    .prop_map(Value::Grouped)
                    .boxed(),
            };
            value.prop_map(move |value| (entry.key.code, entry.key.vendor, entry.key.flags(), value))
        })
        .boxed()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn encodings_match_and_are_decoded_by_each_other(members in proptest::collection::vec(member(2), 0..8)) {
        let dictionary = reference_dictionary();
        let own_bytes = encode_own(&members);

        let mut message =
            DiameterMessage::new(CommandCode::AA, ApplicationId::Common, 0xc0, 0x0102_0304, 0x0a0b_0c0d, dictionary.clone());
        for member in &members {
            message.add(reference_avp(member, &dictionary).expect("a convertible type"));
        }
        let mut reference_bytes = Vec::new();
        message.encode_to(&mut reference_bytes).expect("a successful encoding");
        prop_assert_eq!(&reference_bytes, &own_bytes, "the encodings differ");

        // Decode the reference encoding with this workspace's codec.
        let parsed = MessageRef::parse(&reference_bytes).expect("a message");
        let values: Vec<Member> = parsed
            .avps()
            .map(|avp| avp.expect("an AVP"))
            .map(|avp| (avp.code, avp.vendor, avp.flags, Value::read(&avp).expect("a value")))
            .collect();
        prop_assert_eq!(&values, &members);

        // Decode this workspace's encoding with the reference codec.
        let decoded = DiameterMessage::decode_from(&mut Cursor::new(&own_bytes), dictionary).expect("decoded");
        prop_assert_eq!(decoded.get_hop_by_hop_id(), 0x0102_0304);
        prop_assert_eq!(decoded.get_end_to_end_id(), 0x0a0b_0c0d);
        prop_assert_eq!(decoded.get_avps().len(), members.len());
        for (avp, (code, vendor, flags, _)) in decoded.get_avps().iter().zip(&members) {
            prop_assert_eq!((avp.get_code(), avp.get_vendor_id()), (*code, *vendor));
            prop_assert_eq!(avp.get_flags().mandatory, flags & 0x40 != 0);
        }
        let mut reencoded = Vec::new();
        decoded.encode_to(&mut reencoded).expect("a successful encoding");
        prop_assert_eq!(&reencoded, &own_bytes, "the re-encoded message differs");
        prop_assert_eq!(Avps::new(&own_bytes[20..]).filter(Result::is_ok).count(), members.len());
    }
}
