//! `lemoncleat check` of a text that a fleet agrees on.

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
    let told = String::from_utf8_lossy(&output.stdout) + String::from_utf8_lossy(&output.stderr);
    (output.status.code(), told.into_owned())
}

#[test]
fn a_text_is_checked_with_a_nodes_file_and_a_mistake_told_with_its_place() {
    let node = file("node.lisp", NODE);
    let good = file("good.lisp", "(nodes 5)\n(limits (calls 7))\n");
    let (status, told) = check(&node, &good);
    assert_eq!(status, Some(0), "{told}");
    assert!(told.contains("good.lisp: good: node n1.example"), "{told}");
    assert!(told.contains("in nodes, limits"), "{told}");
    let bad = file("bad.lisp", "(nodes 5)\n(servers (server (host s.example) (address 127.0.0.1:1)))\n");
    let (status, told) = check(&node, &bad);
    assert_eq!(status, Some(2), "{told}");
    assert!(told.contains("bad.lisp:2:1: servers: beside a feed, expected only one of the two"), "{told}");
    for path in [node, good, bad] {
        std::fs::remove_file(path).expect("it was there");
    }
}
