//! Real nodes with other rules: told and timed, no alarm; and with the same: all alike.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::process::Command;

use lemoncleat_lab::stage::{Disk, Fleet, FleetPlan, Links, Member, Program, Site};
use serde_json::{json, Value};

const BINARY: &str = env!("CARGO_BIN_EXE_lemoncleat");

fn settings(site: &Site<'_>, worth: f64) -> io::Result<String> {
    let own = &site.member.name;
    let mut text = format!(
        "(plain yes) (host {own}) (realm lab) (listen 127.0.0.1:0) (control 127.0.0.1:0)
(servers (server (host s.lab) (address 127.0.0.1:9)))
(clients c.lab) (classes (class (name browse) (aim 1500ms) (deadline 9s) (worth {worth})))
(plan (prefix (digits 351) (class browse) (place 0)) (prefix (digits 352) (class browse) (place 1)))
(timing (gap 2s)) (log (filter info))
(fleet (round 100ms) (rules (processor 0.3)) (members"
    );
    for member in site.members {
        let address = site.address(&member.name)?;
        text += &format!(" (member (host {}) (address \"{address}\") (zone {}))", member.name, member.zone);
    }
    Ok(text + "))")
}

/// What `check` says of a settings file.
fn checked(file: &Path) -> String {
    let output = Command::new(BINARY).arg("check").arg(file).output().expect("the command runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let version = text.lines().find_map(|line| line.strip_prefix("rules "));
    version.expect("a version").to_owned()
}

/// A field of all members as one of them tells it, in the order of their names.
fn told(fleet: &Fleet, at: usize, field: &str) -> Vec<Value> {
    let answer = fleet.control(at).and_then(|mut control| control.ask(&json!({"op": "members"})));
    let answer = answer.expect("an answer");
    let members = answer["members"].as_array().expect("members").iter();
    let by_name: BTreeMap<String, Value> =
        members.map(|member| (member["host"].to_string(), member[field].clone())).collect();
    by_name.into_values().collect()
}

/// Waits until a node tells of the members what fits.
fn wait_for(fleet: &Fleet, at: usize, field: &str, fits: impl Fn(&[Value]) -> bool) -> Vec<Value> {
    let begun = std::time::Instant::now();
    loop {
        let told = told(fleet, at, field);
        if fits(&told) {
            return told;
        }
        assert!(begun.elapsed() < lemoncleat_lab::stage::LIMIT, "{field}: {told:?}");
        std::thread::yield_now();
    }
}

#[test]
fn another_worth_is_another_version_until_it_is_put_right() {
    let links = Links::new().expect("the relay");
    let folder = std::env::temp_dir().join(format!("lemoncleat-rules-{}", std::process::id()));
    let members = Member::spread(3, &["north", "middle", "south"]);
    let plan = FleetPlan { program: Program::node(Path::new(BINARY)), members, folder };
    let mut right = String::new();
    let mut fleet = Fleet::start(&links, plan, |site| {
        let odd = site.member.name == "n3";
        if odd {
            right = settings(site, 1.0)?;
        }
        settings(site, if odd { 2.0 } else { 1.0 })
    })
    .expect("three nodes");

    let file = std::env::temp_dir().join(format!("lemoncleat-rules-{}.lisp", std::process::id()));
    std::fs::write(&file, &right).expect("it is written");
    let usual = checked(&file);
    std::fs::write(&file, right.replace("(worth 1)", "(worth 2)")).expect("it is written");
    let other = checked(&file);
    // Order, units and notes are no rules.
    let apart = right.replace("1500ms", "1.5s").replace("9s", "9000ms").replace(
        "(prefix (digits 351) (class browse) (place 0)) (prefix (digits 352) (class browse) (place 1))",
        "(prefix (digits 352) (class browse) (place 1)) ; a note\n (prefix (digits 351) (class browse) (place 0))",
    );
    assert_ne!(apart, right);
    std::fs::write(&file, apart).expect("it is written");
    assert_eq!((checked(&file), usual == other), (usual.clone(), false));
    let _ = std::fs::remove_file(&file);

    for (at, version) in [&usual, &usual, &other].into_iter().enumerate() {
        let process = &fleet.processes[at];
        process.wait_for_log(0, |line| line.contains(&format!("rules {version}"))).expect("its version");
        process.wait_for_log(0, |line| line.contains("the fleet holds 2 versions")).expect("both are told");
        wait_for(&fleet, at, "rules", |told| told == [&*usual, &usual, &other]);
    }

    let marks: Vec<usize> = fleet.processes.iter().map(|process| process.log_lines()).collect();
    fleet.processes[2].stop().expect("it stops");
    fleet.processes[2].set_settings(&right).expect("it is put right");
    fleet.restart(&links, 2, Disk::Kept).expect("it starts");
    for (at, mark) in marks.into_iter().enumerate().take(2) {
        let line =
            fleet.processes[at].wait_for_log(mark, |line| line.contains("one version of the rules again"));
        println!("{}", line.expect("one version is told"));
    }
    for (at, process) in fleet.processes.iter().enumerate() {
        wait_for(&fleet, at, "rules", |told| told == [&*usual, &usual, &usual]);
        // All have played their cases, and came to the same.
        let decides = wait_for(&fleet, at, "decides", |told| told.iter().all(Value::is_string));
        assert!(decides.len() == 3 && decides.iter().all(|one| *one == decides[0]), "{decides:?}");
        let log = std::fs::read_to_string(process.log_file()).expect("its log");
        assert!(!log.contains("otherwise") && !log.contains("decide in"), "no alarm: {log}");
    }
}
