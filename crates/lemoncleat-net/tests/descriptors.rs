//! A process without a descriptor left. Alone in its file: the limit is the whole process's.

use std::fs::File;
use std::net::TcpListener;
use std::time::Duration;

use lemoncleat_net::{run, Event, Net};
use rustix::process::{setrlimit, Resource, Rlimit};

#[test]
fn a_dial_without_a_descriptor_is_told_as_failed_here_and_comes_about_once_there_is_one() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("an address");
    let address = listener.local_addr().expect("it has one");
    run(async move |mut net: Net<()>| {
        // What the loop itself needs is open by now.
        net.look().await;
        let limit = Rlimit { current: Some(64), maximum: Some(64) };
        setrlimit(Resource::Nofile, limit).expect("a limit may be lowered");
        let mut held = Vec::new();
        while let Ok(file) = File::open("/dev/null") {
            held.push(file);
        }
        net.dial(address, 1, Duration::from_secs(20));
        let told = net.next(None).await;
        assert!(matches!(told, Some(Event::DialFailed { tag: 1, refused: false, local: true })), "{told:?}");
        held.pop();
        net.dial(address, 2, Duration::from_secs(20));
        let told = net.next(None).await;
        assert!(matches!(told, Some(Event::Dialled { tag: 2, .. })), "{told:?}");
        drop(listener);
        held.pop();
        net.dial(address, 3, Duration::from_secs(20));
        loop {
            match net.next(None).await {
                Some(Event::DialFailed { tag: 3, refused: true, local: false }) => return,
                // The listener's end resets the connection that was made.
                Some(Event::Closed { .. }) | None => {}
                other => panic!("a refusal, not {other:?}"),
            }
        }
    });
}
