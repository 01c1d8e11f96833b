//! Tests of `lemoncleat rehearse scale` with a small fleet.

use std::process::{Command, Output};

fn scale(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .args(["rehearse", "scale"])
        .args(arguments)
        .output()
        .expect("the command runs")
}

/// Number of nodes and round interval. Without optimisation a round takes a node about ten times as long, and
/// a hundred nodes exceed eight cores.
const NODES_AND_ROUND: (&str, &str) = if cfg!(debug_assertions) { ("36", "1s") } else { ("106", "500ms") };

#[test]
fn fleet_of_hollow_and_real_nodes_passes_all_phases() {
    let file = std::env::temp_dir().join(format!("lemoncleat-scale-test-{}.json", std::process::id()));
    let name = file.display().to_string();
    let (nodes, round) = NODES_AND_ROUND;
    let output = scale(&[
        "--nodes",
        nodes,
        "--round",
        round,
        "--real",
        "3",
        "--seed",
        "4",
        "--changes",
        "2",
        "--json",
        &name,
    ]);
    let output_text = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{output_text}{errors}");
    let text = std::fs::read_to_string(&file).expect("the results");
    let _ = std::fs::remove_file(&file);
    let results: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!((&results["schema"], &results["kept"]), (&1.into(), &true.into()));
    let all = ["hollow", "real", "voters"].map(|role| results[role].as_u64().unwrap_or(0));
    assert_eq!((all[0] + 6, all[1], all[2]), (nodes.parse().expect("a number"), 3, 3));
    let phases = results["phases"].as_array().expect("plays");
    let names: Vec<&str> = phases.iter().filter_map(|phase| phase["name"].as_str()).collect();
    assert_eq!(names, ["start", "rest", "configuration", "restarts", "rack", "zone", "region", "leader"]);
    // Whether budgets are kept depends on the machine; the test requires only that they were measured.
    for role in ["hollow", "real", "voter"] {
        let rest = &phases[1]["roles"][role];
        for field in [
            "bytes_sent",
            "bytes_received",
            "messages_sent",
            "messages_received",
            "processor_us",
            "memory_bytes",
        ] {
            let spread = ["least", "median", "p99", "most"].map(|of| rest[field][of].as_f64());
            assert!(spread.iter().all(Option::is_some), "{role} {field}: {rest}");
        }
    }
    // One change for all nodes, and one that half of the hollow nodes cannot apply.
    assert!(phases[2]["in_force_ms"]["most"].as_f64().is_some(), "{text}");
    let cases = |law: usize| results["laws"][law]["cases"].as_u64();
    assert_eq!((cases(2), cases(4)), (Some(2), Some(1)), "{text}");
    assert!(results["rules"][0][1].as_u64().is_some_and(|cases| cases > 0), "{text}");
}

#[test]
fn impossible_fleet_layout_is_reported_in_one_line() {
    for (arguments, why) in [
        (["--nodes", "9", "--real", "3"], "9 nodes, expected 24 to 1024"),
        (["--nodes", "24", "--real", "20"], "24 nodes leave no hollow one for each of 8 zones"),
    ] {
        let output = scale(&arguments);
        assert_eq!(output.status.code(), Some(2));
        let output_text = String::from_utf8_lossy(&output.stderr);
        assert_eq!((output_text.lines().count(), output_text.contains(why)), (1, true), "{output_text}");
    }
}

#[test]
fn hollow_process_exits_when_standard_input_closes() {
    let output = Command::new(env!("CARGO_BIN_EXE_lemoncleat"))
        .arg("hollow")
        .stdin(std::process::Stdio::null())
        .output()
        .expect("the command runs");
    assert_eq!(output.status.code(), Some(0));
}
