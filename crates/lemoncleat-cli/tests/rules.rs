//! Tests of the rules version with real nodes: different versions are reported without an alarm, and nodes
//! with the same version reach the same decisions.

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

/// Returns the rules version that `check` prints for a settings file.
fn checked_version(file: &Path) -> String {
    let output = Command::new(BINARY).arg("check").arg(file).output().expect("the command runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let version = text.lines().find_map(|line| line.strip_prefix("rules "));
    version.expect("a version").to_owned()
}

/// Returns a field of all members as reported by one of them, in order of member names.
fn reported(fleet: &Fleet, at: usize, field: &str) -> Vec<Value> {
    let answer = fleet.control(at).and_then(|mut control| control.ask(&json!({"op": "members"})));
    let answer = answer.expect("an answer");
    let members = answer["members"].as_array().expect("members").iter();
    let by_name: BTreeMap<String, Value> =
        members.map(|member| (member["host"].to_string(), member[field].clone())).collect();
    by_name.into_values().collect()
}

/// Waits until the field of all members as reported by one node satisfies `fits`.
fn wait_for(fleet: &Fleet, at: usize, field: &str, fits: impl Fn(&[Value]) -> bool) -> Vec<Value> {
    let started = std::time::Instant::now();
    loop {
        let reported = reported(fleet, at, field);
        if fits(&reported) {
            return reported;
        }
        assert!(started.elapsed() < lemoncleat_lab::stage::LIMIT, "{field}: {reported:?}");
        std::thread::yield_now();
    }
}

#[test]
fn changed_worth_is_reported_as_other_rules_version_until_corrected() {
    let links = Links::new().expect("the relay");
    let folder = std::env::temp_dir().join(format!("lemoncleat-rules-{}", std::process::id()));
    let members = Member::spread(3, &["north", "middle", "south"]);
    let plan = FleetPlan { program: Program::node(Path::new(BINARY)), members, folder };
    let mut usual_settings = String::new();
    let mut fleet = Fleet::start(&links, plan, |site| {
        let has_other_rules = site.member.name == "n3";
        if has_other_rules {
            usual_settings = settings(site, 1.0)?;
        }
        settings(site, if has_other_rules { 2.0 } else { 1.0 })
    })
    .expect("three nodes");

    let file = std::env::temp_dir().join(format!("lemoncleat-rules-{}.lisp", std::process::id()));
    std::fs::write(&file, &usual_settings).expect("written");
    let usual = checked_version(&file);
    std::fs::write(&file, usual_settings.replace("(worth 1)", "(worth 2)")).expect("written");
    let other = checked_version(&file);
    // Order, units and comments do not change the version.
    let equivalent = usual_settings.replace("1500ms", "1.5s").replace("9s", "9000ms").replace(
        "(prefix (digits 351) (class browse) (place 0)) (prefix (digits 352) (class browse) (place 1))",
        "(prefix (digits 352) (class browse) (place 1)) ; a note\n (prefix (digits 351) (class browse) (place 0))",
    );
    assert_ne!(equivalent, usual_settings);
    std::fs::write(&file, equivalent).expect("written");
    assert_eq!((checked_version(&file), usual == other), (usual.clone(), false));
    let _ = std::fs::remove_file(&file);

    for (at, version) in [&usual, &usual, &other].into_iter().enumerate() {
        let process = &fleet.processes[at];
        process
            .wait_for_log(0, |line| line.contains(&format!("rules {version}")))
            .expect("a log line with the version");
        process
            .wait_for_log(0, |line| line.contains("the fleet holds 2 versions"))
            .expect("a log line about two versions");
        wait_for(&fleet, at, "rules", |reported| reported == [&*usual, &usual, &other]);
    }

    let log_positions: Vec<usize> = fleet.processes.iter().map(|process| process.log_lines()).collect();
    fleet.processes[2].stop().expect("stopped");
    fleet.processes[2].set_settings(&usual_settings).expect("changed settings");
    fleet.restart(&links, 2, Disk::Kept).expect("restarted");
    for (at, position) in log_positions.into_iter().enumerate().take(2) {
        let line = fleet.processes[at]
            .wait_for_log(position, |line| line.contains("one version of the rules again"));
        println!("{}", line.expect("a log line about one version"));
    }
    for (at, process) in fleet.processes.iter().enumerate() {
        wait_for(&fleet, at, "rules", |reported| reported == [&*usual, &usual, &usual]);
        // All nodes have run their test cases with the same result.
        let decides = wait_for(&fleet, at, "decides", |reported| reported.iter().all(Value::is_string));
        assert!(decides.len() == 3 && decides.iter().all(|one| *one == decides[0]), "{decides:?}");
        let log = std::fs::read_to_string(process.log_file()).expect("a log file");
        assert!(!log.contains("otherwise") && !log.contains("decide in"), "unexpected alarm: {log}");
    }
}
