//! Compares the Diameter codec with a plain copy of the same bytes and with the `diameter` crate, in one run.

use std::hint::black_box;
use std::io::Cursor;
use std::sync::Arc;
use std::time::Instant;

use diameter::avp::flags::M;
use diameter::avp::{AvpType, Enumerated, Identity, UTF8String, Unsigned32};
use diameter::dictionary::{AvpDefinition, Dictionary};
use diameter::{ApplicationId, CommandCode, DiameterMessage};
use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::{check_request, MessageBuilder, MessageRef, Value};

const ROUNDS: usize = 200_000;

/// Returns the nanoseconds per message, the minimum of seven runs.
fn measure_ns(mut run: impl FnMut()) -> f64 {
    let runs = (0..7).map(|_| {
        let start = Instant::now();
        for _ in 0..ROUNDS {
            run();
        }
        start.elapsed().as_secs_f64() * 1e9 / ROUNDS as f64
    });
    runs.fold(f64::INFINITY, f64::min)
}

const HOST: &str = "front-1.calls.example";
const REALM: &str = "calls.example";
const SESSION_ID_VALUE: &str = "front-1.calls.example;1876543210;523";

fn encode_own() -> Vec<u8> {
    MessageBuilder::request(d::CMD_AA, 0, true, 7, 9)
        .add_str(d::SESSION_ID, SESSION_ID_VALUE)
        .add_u32(d::AUTH_APPLICATION_ID, 1)
        .add_str(d::ORIGIN_HOST, HOST)
        .add_str(d::ORIGIN_REALM, REALM)
        .add_str(d::DESTINATION_REALM, REALM)
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_str(d::CALLED_STATION_ID, "351210555012")
        .add_str(d::CALLING_STATION_ID, "351930000001")
        .build()
}

fn encode_reference(dictionary: &Arc<Dictionary>) -> Vec<u8> {
    let mut message =
        DiameterMessage::new(CommandCode::AA, ApplicationId::Common, 0xc0, 7, 9, dictionary.clone());
    message.add_avp(263, None, M, UTF8String::new(SESSION_ID_VALUE).into());
    message.add_avp(258, None, M, Unsigned32::new(1).into());
    message.add_avp(264, None, M, Identity::new(HOST).into());
    message.add_avp(296, None, M, Identity::new(REALM).into());
    message.add_avp(283, None, M, Identity::new(REALM).into());
    message.add_avp(274, None, M, Enumerated::new(1).into());
    message.add_avp(30, None, M, UTF8String::new("351210555012").into());
    message.add_avp(31, None, M, UTF8String::new("351930000001").into());
    let mut bytes = Vec::new();
    if message.encode_to(&mut bytes).is_err() {
        bytes.clear();
    }
    bytes
}

fn main() {
    let mut dictionary = Dictionary::new(&[]);
    let types = [
        (263, AvpType::UTF8String),
        (258, AvpType::Unsigned32),
        (264, AvpType::Identity),
        (296, AvpType::Identity),
        (283, AvpType::Identity),
        (274, AvpType::Enumerated),
        (30, AvpType::UTF8String),
        (31, AvpType::UTF8String),
    ];
    for (code, avp_type) in types {
        let name = code.to_string();
        dictionary.add_avp(AvpDefinition { code, vendor_id: None, name, avp_type, m_flag: true });
    }
    let dictionary = Arc::new(dictionary);
    let bytes = encode_own();
    assert_eq!(bytes, encode_reference(&dictionary), "the two encoders differ");

    let copy = measure_ns(|| {
        black_box(black_box(&bytes).to_vec());
    });
    let encode = measure_ns(|| {
        black_box(encode_own());
    });
    let reference_encode = measure_ns(|| {
        black_box(encode_reference(&dictionary));
    });
    // Decoding of every AVP into an owned value, as the `diameter` crate does.
    let decode = measure_ns(|| {
        if let Ok(message) = MessageRef::parse(black_box(&bytes)) {
            let values: Vec<Value> =
                message.avps().flatten().filter_map(|avp| Value::read(&avp).ok()).collect();
            black_box(values);
        }
    });
    let reference_decode = measure_ns(|| {
        black_box(
            DiameterMessage::decode_from(&mut Cursor::new(black_box(&bytes)), dictionary.clone()).is_ok(),
        );
    });
    // The node's own use: parse in place and validate.
    let check = measure_ns(|| {
        if let Ok(message) = MessageRef::parse(black_box(&bytes)) {
            black_box(check_request(&message).is_ok());
        }
    });
    println!("an AAR of {} bytes and 8 AVPs, ns a message (least of 7 runs):", bytes.len());
    println!("copy {copy:.0}");
    println!(
        "encode {encode:.0}; the diameter crate {reference_encode:.0}, ratio {:.2}; of a copy {:.1}",
        reference_encode / encode,
        encode / copy
    );
    println!(
        "decode {decode:.0}; the diameter crate {reference_decode:.0}, ratio {:.2}; of a copy {:.1}",
        reference_decode / decode,
        decode / copy
    );
    println!("read in place and check {check:.0}, of a copy {:.1}", check / copy);
}
