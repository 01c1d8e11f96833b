//! Dialling when the process has no file descriptor left. The only test in its file, since the limit applies
//! to the whole process.

use std::fs::File;
use std::net::TcpListener;
use std::time::Duration;

use lemoncleat_net::{run, Event, Net};
use rustix::process::{setrlimit, Resource, Rlimit};

#[test]
fn dial_fails_as_local_without_descriptors_and_succeeds_once_one_is_free() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address");
    let address = listener.local_addr().expect("it has one");
    run(async move |mut net: Net<()>| {
        // The loop has opened its own descriptors by now.
        net.look().await;
        let limit = Rlimit { current: Some(64), maximum: Some(64) };
        setrlimit(Resource::Nofile, limit).expect("a limit may be lowered");
        let mut held = Vec::new();
        while let Ok(file) = File::open("/dev/null") {
            held.push(file);
        }
        net.dial(address, 1, Duration::from_secs(20));
        let event = net.next(None).await;
        assert!(
            matches!(event, Some(Event::DialFailed { tag: 1, refused: false, local: true })),
            "{event:?}"
        );
        held.pop();
        net.dial(address, 2, Duration::from_secs(20));
        let event = net.next(None).await;
        assert!(matches!(event, Some(Event::Dialled { tag: 2, .. })), "{event:?}");
        drop(listener);
        held.pop();
        net.dial(address, 3, Duration::from_secs(20));
        loop {
            match net.next(None).await {
                Some(Event::DialFailed { tag: 3, refused: true, local: false }) => return,
                // Dropping the listener resets the earlier connection.
                Some(Event::Closed { .. }) | None => {}
                other => panic!("a refusal, not {other:?}"),
            }
        }
    });
}
