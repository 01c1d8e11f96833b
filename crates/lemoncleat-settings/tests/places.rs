//! Positions of errors and spelling of atoms, also at the end of a long file.

use lemoncleat_settings::{from_str, Span};
use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Member {
    host: String,
    address: std::net::SocketAddr,
    #[serde(default)]
    wait: Option<Span>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    members: Vec<Member>,
}

fn text(last: &str) -> String {
    let member = |n: u32| {
        format!("  (member (host n-{n}.example)\t(address 127.0.{}.{}:3868)) ; {n}\n", n / 200, n % 200)
    };
    format!("; é, a comment\n(members\n{}  {last})\n", (0..200).map(member).collect::<String>())
}

#[test]
fn last_of_many_members_is_read_verbatim() {
    let file: File =
        from_str(&text("((host \"n é.x\")(address 127.0.9.9:1)(wait 300ms))")).expect("a good file");
    assert_eq!(file.members.len(), 201);
    let (first, last) = (&file.members[0], &file.members[200]);
    assert_eq!((first.host.as_str(), first.wait), ("n-0.example", None));
    assert_eq!((last.host.as_str(), last.wait), ("n é.x", Some(Span(300_000))));
    assert_eq!(last.address, "127.0.9.9:1".parse().expect("an address"));
}

#[test]
fn error_in_the_last_of_many_members_has_its_position() {
    let cases = [
        ("(member (host a) (address here))", "f:203:29: members[200].address: invalid socket address"),
        ("(member (host \"é\")(address 1.1.1.1:1)(wait 3x))", "f:203:47: members[200].wait: \"3x\""),
        ("(member (host a) (colour red))", "f:203:21: members[200]: unknown field `colour`"),
        ("(member . x)", "f:203:3: a dotted pair"),
        ("(member (host", "EOF while parsing a list"),
        (")", "f:203:"),
    ];
    for (last, expected) in cases {
        let told = from_str::<File>(&text(last)).expect_err("a mistake").in_file("f");
        assert!(told.contains(expected), "told {told:?}, expected {expected:?}");
    }
}
