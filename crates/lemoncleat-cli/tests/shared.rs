//! Tests of `lemoncleat check --shared` with the text of a fleet's agreed configuration.

use std::path::{Path, PathBuf};
use std::process::Command;

const NODE: &str = "(plain yes) (host n1.example) (realm example) (listen 127.0.0.1:0) (feed 127.0.0.1:4000)
(clients c.example)
(classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
(plan (prefix (digits 351) (class browse) (place 2)))
";

fn file(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("shared-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("a file");
    path
}

fn check(node: &Path, shared: &Path) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .args(["check", "--shared"])
        .args([shared, node])
        .output()
        .expect("the command runs");
    let output_text = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    (output.status.code(), output_text.into_owned())
}

#[test]
fn shared_text_is_checked_and_error_reported_with_position() {
    let node = file("node.lisp", NODE);
    let valid = file("good.lisp", "(nodes 5)\n(limits (calls 7))\n");
    let (status, output_text) = check(&node, &valid);
    assert_eq!(status, Some(0), "{output_text}");
    assert!(output_text.contains("good.lisp: good: node n1.example"), "{output_text}");
    assert!(output_text.contains("in nodes, limits"), "{output_text}");
    let invalid = file("bad.lisp", "(nodes 5)\n(servers (server (host s.example) (address 127.0.0.1:1)))\n");
    let (status, output_text) = check(&node, &invalid);
    assert_eq!(status, Some(2), "{output_text}");
    assert!(
        output_text.contains("bad.lisp:2:1: servers: beside a feed, expected only one of the two"),
        "{output_text}"
    );
    for path in [node, valid, invalid] {
        std::fs::remove_file(path).expect("a file");
    }
}
