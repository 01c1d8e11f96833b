//! Tests of encoding and decoding: round trips, malformed input and the dictionary.

use lemoncleat_diameter::dictionary::{self as d, Kind};
use lemoncleat_diameter::{
    check_member_request, check_request, refusal, result_code, AvpRef, Avps, FrameError, FrameReader,
    GroupBuilder, MessageBuilder, MessageRef, Value, ValueError, HEADER_LEN,
};
use proptest::prelude::*;

fn set_up_request() -> Vec<u8> {
    MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, 7, 9)
        .add_str(d::SESSION_ID, "caller.example;1;2")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::ORIGIN_HOST, "caller.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_str(d::CALLED_STATION_ID, "3512105550")
        .add_u32(d::SETUP_PATIENCE, 3000)
        .build()
}

fn result_of_invalid(bytes: &[u8]) -> u32 {
    let message = MessageRef::parse(bytes).expect("a complete message");
    check_request(&message).expect_err("an error").result
}

/// Returns a set-up request modified by `change`, with the length in the header corrected.
fn modified_request(change: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut bytes = set_up_request();
    change(&mut bytes);
    let length = (bytes.len() as u32).to_be_bytes();
    bytes[1..4].copy_from_slice(&length[1..]);
    bytes
}

#[test]
fn message_round_trips() {
    let bytes = set_up_request();
    let message = MessageRef::parse(&bytes).expect("a complete message");
    assert_eq!(check_request(&message), Ok(()));
    assert_eq!(message.header.command, d::CMD_AA);
    assert!(message.header.is_request() && !message.header.is_retransmitted());
    assert_eq!(message.text(d::CALLED_STATION_ID), Some("3512105550"));
    assert_eq!(message.number(d::SETUP_PATIENCE), Some(3000));
    assert_eq!(message.find(d::CALLING_STATION_ID), None);
    let patience = message.find(d::SETUP_PATIENCE).expect("a Setup-Patience AVP");
    assert_eq!((patience.vendor, patience.flags), (Some(d::VENDOR), 0x80));
}

#[test]
fn header_is_encoded_as_in_rfc_6733() {
    let bytes = MessageBuilder::request(d::CMD_WATCHDOG, 0, false, 0x0102_0304, 0x0506_0708)
        .add_str(d::ORIGIN_HOST, "a.b")
        .build();
    let expected = [
        1, 0, 0, 32, 0x80, 0, 1, 24, 0, 0, 0, 0, 1, 2, 3, 4, 5, 6, 7, 8, // header
        0, 0, 1, 8, 0x40, 0, 0, 11, b'a', b'.', b'b', 0, // Origin-Host, padded
    ];
    assert_eq!(bytes, expected);
}

#[test]
fn answer_copies_identifiers_session_and_proxy_info_and_sets_e_bit_for_protocol_errors() {
    let proxy_info =
        GroupBuilder::new().add(d::PROXY_HOST, b"relay.example").add(d::PROXY_STATE, b"x").build();
    let bytes = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, 7, 9)
        .add_str(d::SESSION_ID, "s;1")
        .add(d::PROXY_INFO, &proxy_info)
        .build();
    let request = MessageRef::parse(&bytes).expect("a message");
    for (result, flags) in [(2001, 0x40), (3004, 0x60), (5012, 0x40)] {
        let answer = MessageBuilder::answer(&request, result).build();
        let answer = MessageRef::parse(&answer).expect("a message");
        assert_eq!(answer.header.flags, flags, "for {result}");
        assert_eq!((answer.header.hop_by_hop, answer.header.end_to_end), (7, 9));
        let first = answer.avps().next().expect("an AVP").expect("a readable AVP");
        assert_eq!(first.code, d::SESSION_ID.code);
        assert_eq!(answer.find(d::PROXY_INFO).map(|avp| avp.data), Some(&proxy_info[..]));
        assert_eq!(answer.result_code(), result);
    }
}

#[test]
fn invalid_request_gets_matching_result_code() {
    assert_eq!(result_of_invalid(&modified_request(|b| b[4] |= 0x01)), result_code::INVALID_BIT_IN_HEADER);
    assert_eq!(result_of_invalid(&modified_request(|b| b[4] |= 0x20)), result_code::INVALID_HDR_BITS);
    assert_eq!(result_of_invalid(&modified_request(|b| b[7] = 0)), result_code::COMMAND_UNSUPPORTED);
    assert_eq!(result_of_invalid(&modified_request(|b| b[11] = 77)), result_code::APPLICATION_UNSUPPORTED);
    assert_eq!(result_of_invalid(&modified_request(|b| b[24] |= 0x01)), result_code::INVALID_AVP_BITS);
    // An AVP whose length exceeds the message, and one whose length is shorter than its header.
    assert_eq!(result_of_invalid(&modified_request(|b| b[26] = 0xff)), result_code::INVALID_AVP_LENGTH);
    assert_eq!(result_of_invalid(&modified_request(|b| b[27] = 3)), result_code::INVALID_AVP_LENGTH);
    let unknown_avp = [0, 0, 0x77, 0x77, 0x40, 0, 0, 12, 1, 2, 3, 4];
    assert_eq!(result_of_invalid(&modified_request(|b| b.extend(unknown_avp))), result_code::AVP_UNSUPPORTED);
    let repeated = [0, 0, 1, 8, 0x40, 0, 0, 12, b'a', b'.', b'b', b'c'];
    assert_eq!(
        result_of_invalid(&modified_request(|b| b.extend(repeated))),
        result_code::AVP_OCCURS_TOO_MANY_TIMES
    );
    let short_unsigned32 = [0, 0, 1, 22, 0x40, 0, 0, 10, 1, 2, 0, 0];
    assert_eq!(
        result_of_invalid(&modified_request(|b| b.extend(short_unsigned32))),
        result_code::INVALID_AVP_LENGTH
    );
    let invalid_identity = [0, 0, 1, 37, 0x40, 0, 0, 11, b'a', b' ', b'b', 0];
    assert_eq!(
        result_of_invalid(&modified_request(|b| b.extend(invalid_identity))),
        result_code::INVALID_AVP_VALUE
    );
    assert_eq!(result_of_invalid(&modified_request(|b| b.truncate(HEADER_LEN))), result_code::MISSING_AVP);
    // An unknown AVP without the M bit is ignored.
    let optional = modified_request(|b| b.extend([0, 0, 0x77, 0x77, 0, 0, 0, 12, 1, 2, 3, 4]));
    let message = MessageRef::parse(&optional).expect("a complete message");
    assert_eq!(check_request(&message), Ok(()));
}

#[test]
fn error_answer_contains_missing_avp() {
    let bytes = modified_request(|b| b.truncate(HEADER_LEN));
    let message = MessageRef::parse(&bytes).expect("a complete message");
    let fault = check_request(&message).expect_err("required AVPs are missing");
    let answer = refusal(&message, &fault, "node.example", "example");
    let answer = MessageRef::parse(&answer).expect("an answer");
    assert_eq!(answer.result_code(), result_code::MISSING_AVP);
    let failed = answer.find(d::FAILED_AVP).expect("a Failed-AVP");
    let missing = failed.group().next().expect("a member").expect("a readable AVP");
    assert_eq!(missing.code, d::SESSION_ID.code);
}

#[test]
fn deeply_nested_groups_are_rejected() {
    let mut data = Vec::new();
    for _ in 0..100 {
        data = GroupBuilder::new().add(d::FAILED_AVP, &data).build();
    }
    assert_eq!(Value::decode(Kind::Grouped, &data), Err(ValueError::Depth));
    let bytes = MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, 1, 1).add(d::PROXY_INFO, &data).build();
    assert_eq!(result_of_invalid(&bytes), result_code::INVALID_AVP_VALUE);
}

#[test]
fn invalid_frame_header_fails_stream_without_buffering() {
    for (head, error) in [
        ([1, 0xff, 0xff, 0xfc], FrameError::TooLong { length: 0x00ff_fffc, limit: 65536 }),
        ([1, 0, 0, 3], FrameError::Length(3)),
        ([1, 0, 0, 22], FrameError::Length(22)),
        ([2, 0, 0, 20], FrameError::Version(2)),
    ] {
        let mut reader = FrameReader::new(65536);
        reader.push(&head);
        assert_eq!(reader.next_frame(), Err(error));
        reader.push(&[0; 4096]);
        assert_eq!(reader.next_frame(), Err(error));
        assert_eq!(reader.pending(), 0);
    }
}

#[test]
fn dictionary_entries_are_unique_and_found() {
    for (index, entry) in d::ENTRIES.iter().enumerate() {
        assert_eq!(d::entry(entry.key.code, entry.key.vendor), Some(*entry));
        let duplicate =
            |other: &d::Entry| (other.key.code, other.key.vendor) == (entry.key.code, entry.key.vendor);
        assert!(!d::ENTRIES[index + 1..].iter().any(duplicate), "{} is defined twice", entry.name);
    }
}

fn value(kind: Kind) -> BoxedStrategy<Value> {
    let name = "[a-z0-9.-]{1,20}";
    match kind {
        Kind::OctetString => any::<Vec<u8>>().prop_map(Value::OctetString).boxed(),
        Kind::Integer32 => any::<i32>().prop_map(Value::Integer32).boxed(),
        Kind::Integer64 => any::<i64>().prop_map(Value::Integer64).boxed(),
        Kind::Unsigned32 => any::<u32>().prop_map(Value::Unsigned32).boxed(),
        Kind::Unsigned64 => any::<u64>().prop_map(Value::Unsigned64).boxed(),
        Kind::Float32 => (-1e9f32..1e9).prop_map(Value::Float32).boxed(),
        Kind::Float64 => (-1e9f64..1e9).prop_map(Value::Float64).boxed(),
        Kind::Time => any::<u32>().prop_map(Value::Time).boxed(),
        Kind::Enumerated => any::<i32>().prop_map(Value::Enumerated).boxed(),
        Kind::Utf8String => any::<String>().prop_map(Value::Utf8String).boxed(),
        Kind::DiameterIdentity => name.prop_map(Value::DiameterIdentity).boxed(),
        Kind::DiameterUri => name.prop_map(|n| Value::DiameterUri(format!("aaa://{n}"))).boxed(),
        Kind::Address => prop_oneof![
            any::<std::net::IpAddr>().prop_map(lemoncleat_diameter::Address::Ip),
            (3u16..9, any::<Vec<u8>>()).prop_map(|(f, b)| lemoncleat_diameter::Address::Other(f, b)),
        ]
        .prop_map(Value::Address)
        .boxed(),
        Kind::Grouped => proptest::collection::vec(member(), 0..4).prop_map(Value::Grouped).boxed(),
    }
}

/// Generates one AVP of the dictionary that is not grouped.
fn member() -> impl Strategy<Value = (u32, Option<u32>, u8, Value)> {
    let ungrouped: Vec<_> = d::ENTRIES.iter().filter(|entry| entry.kind != Kind::Grouped).copied().collect();
    proptest::sample::select(ungrouped).prop_flat_map(|entry| {
        let key = entry.key;
        value(entry.kind).prop_map(move |value| (key.code, key.vendor, key.flags(), value))
    })
}

fn any_value() -> impl Strategy<Value = (Kind, Value)> {
    proptest::sample::select(vec![
        Kind::OctetString,
        Kind::Integer32,
        Kind::Integer64,
        Kind::Unsigned32,
        Kind::Unsigned64,
        Kind::Float32,
        Kind::Float64,
        Kind::Grouped,
        Kind::Address,
        Kind::Time,
        Kind::Utf8String,
        Kind::DiameterIdentity,
        Kind::DiameterUri,
        Kind::Enumerated,
    ])
    .prop_flat_map(|kind| value(kind).prop_map(move |value| (kind, value)))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn value_round_trips((kind, value) in any_value()) {
        let mut bytes = Vec::new();
        value.encode(&mut bytes);
        prop_assert_eq!(Value::decode(kind, &bytes), Ok(value));
    }

    #[test]
    fn arbitrary_bytes_are_read_without_panic(bytes in any::<Vec<u8>>()) {
        let mut data_len = 0;
        for avp in Avps::new(&bytes).map_while(Result::ok) {
            data_len += avp.data.len();
            let _ = Value::read(&avp);
        }
        prop_assert!(data_len <= bytes.len());
        let _ = MessageRef::parse(&bytes);
    }

    #[test]
    fn corrupted_request_is_read_without_panic(
        changes in proptest::collection::vec((HEADER_LEN..set_up_request().len(), any::<u8>()), 1..12)
    ) {
        let bytes = modified_request(|b| for (at, byte) in &changes { b[*at] = *byte; });
        let message = MessageRef::parse(&bytes).expect("a valid header");
        if let Err(fault) = check_request(&message) {
            let answer = refusal(&message, &fault, "n.e", "e");
            prop_assert!(MessageRef::parse(&answer).is_ok());
        }
    }

    #[test]
    fn stream_is_split_into_frames_however_fragmented(
        patience in proptest::collection::vec(any::<u32>(), 1..8),
        piece_lengths in proptest::collection::vec(1usize..200, 1..40),
    ) {
        let frames: Vec<Vec<u8>> = patience
            .iter()
            .map(|p| MessageBuilder::request(d::CMD_AA, 1, true, *p, 1).add_u32(d::SETUP_PATIENCE, *p).build())
            .collect();
        let stream = frames.concat();
        let mut reader = FrameReader::new(4096);
        let mut received = Vec::new();
        let mut at = 0;
        for piece in piece_lengths.iter().cycle() {
            if at == stream.len() { break; }
            let end = (at + piece).min(stream.len());
            reader.push(&stream[at..end]);
            at = end;
            while let Some(frame) = reader.next_frame().expect("a valid stream") {
                received.push(frame.to_vec());
            }
        }
        prop_assert_eq!(received, frames);
        prop_assert_eq!(reader.pending(), 0);
    }

    #[test]
    fn malformed_stream_never_buffers_more_than_one_frame(bytes in any::<Vec<u8>>(), limit in 20usize..200) {
        let mut reader = FrameReader::new(limit);
        for piece in bytes.chunks(7) {
            reader.push(piece);
            while let Ok(Some(frame)) = reader.next_frame() {
                prop_assert!(frame.len() <= limit);
            }
            prop_assert!(reader.pending() < limit + 7);
        }
    }
}

#[test]
fn copied_avp_keeps_flags() {
    let avp = AvpRef { code: 99, vendor: Some(5), flags: 0xe0, data: b"xyz" };
    let bytes = MessageBuilder::new(1, 1, 0, 1, 1).copy(&avp).build();
    let message = MessageRef::parse(&bytes).expect("a message");
    assert_eq!(message.avps().next(), Some(Ok(avp)));
}

#[test]
fn fleet_word_is_accepted_from_members_only() {
    let fleet_word = |count: usize| {
        let request = MessageBuilder::request(d::CMD_FLEET, d::APP_NAS, false, 1, 2)
            .add_str(d::ORIGIN_HOST, "n1.example")
            .add_str(d::ORIGIN_REALM, "example");
        (0..count).fold(request, |request, _| request.add(d::FLEET_WORD, b"any bytes")).build()
    };
    let result = |bytes: &[u8]| {
        let message = MessageRef::parse(bytes).expect("a complete message");
        check_member_request(&message).map_err(|fault| fault.result)
    };
    assert_eq!(result_of_invalid(&fleet_word(1)), result_code::COMMAND_UNSUPPORTED);
    assert_eq!(result(&fleet_word(1)), Ok(()));
    assert_eq!(result(&fleet_word(0)), Err(result_code::MISSING_AVP));
    assert_eq!(result(&fleet_word(2)), Err(result_code::AVP_OCCURS_TOO_MANY_TIMES));
    let avp = MessageRef::parse(&fleet_word(1)).ok().and_then(|m| m.find(d::FLEET_WORD).map(|avp| avp.flags));
    assert_eq!(avp, Some(0x80), "vendor-specific AVPs have the V bit without the M bit");
}
