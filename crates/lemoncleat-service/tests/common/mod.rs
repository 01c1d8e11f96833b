//! Diameter messages of the simulated peers.

#![allow(dead_code, missing_docs)]

use lemoncleat_diameter::dictionary as d;
use lemoncleat_diameter::MessageBuilder;

pub fn capabilities(message: MessageBuilder, host: &str) -> Vec<u8> {
    message
        .add_str(d::ORIGIN_HOST, host)
        .add_str(d::ORIGIN_REALM, "example")
        .add_u32(d::VENDOR_ID, 0)
        .add_str(d::PRODUCT_NAME, "test peer")
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .build()
}

pub fn cer(host: &str) -> Vec<u8> {
    capabilities(MessageBuilder::request(d::CMD_CAPABILITIES, 0, false, 1, 1), host)
}

pub fn dwr(host: &str, id: u32) -> Vec<u8> {
    MessageBuilder::request(d::CMD_WATCHDOG, 0, false, id, id)
        .add_str(d::ORIGIN_HOST, host)
        .add_str(d::ORIGIN_REALM, "example")
        .build()
}

/// A set-up request of "client.example" with the caller's patience in milliseconds.
pub fn aar(session: &str, id: u32, patience: u32) -> Vec<u8> {
    MessageBuilder::request(d::CMD_AA, d::APP_NAS, true, id, id)
        .add_str(d::SESSION_ID, session)
        .add_u32(d::AUTH_APPLICATION_ID, d::APP_NAS)
        .add_str(d::ORIGIN_HOST, "client.example")
        .add_str(d::ORIGIN_REALM, "example")
        .add_str(d::DESTINATION_REALM, "example")
        .add_u32(d::AUTH_REQUEST_TYPE, 1)
        .add_u32(d::SETUP_PATIENCE, patience)
        .add_str(d::CALLED_STATION_ID, "35101")
        .build()
}
