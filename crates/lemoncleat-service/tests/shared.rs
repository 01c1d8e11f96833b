//! Configuration texts of a fleet, merged with a node's own settings file.

use lemoncleat_service::{fits_in_place, read_config, read_config_with, read_shared, LONGEST_TEXT};

const NODE: &str = "(plain yes) (host n1.example) (realm example) (listen 127.0.0.1:0)
(servers (server (host s.example) (address 127.0.0.1:4000)))
(clients c.example) (limits (duplicates 500) (calls 1000))
(classes (class (name browse) (aim 1500ms) (deadline 9s) (worth 1)))
(plan (prefix (digits 351) (class browse) (place 2)))
(fleet (members (member (host n1.example) (address 127.0.0.1:3868) (zone z1))
  (member (host n2.example) (address 127.0.0.1:3869) (zone z2))
  (member (host n3.example) (address 127.0.0.1:3870) (zone z3)))
 (voters n1.example n2.example n3.example) (store \"ledger\") (configuration (store \"kept\")))
";

#[test]
fn agreed_text_takes_precedence_for_its_fields() {
    let text = "(nodes 7) (limits (calls 9)) (cold (from 0.5))
(classes (class (name buy) (aim 1s) (deadline 6s) (worth 8)) (class (name browse) (aim 1500ms) (deadline 9s) (worth 2)))
(members (member (host n3.example) (address 127.0.0.1:3871) (zone z3))
 (member (host n1.example) (address 127.0.0.1:3868) (zone z1))
 (member (host n4.example) (address 127.0.0.1:3999)) (member (host n2.example) (address 127.0.0.1:3869) (zone z2)))";
    let config = read_config_with(NODE, text).expect("good texts");
    assert_eq!(config.differs, ["classes", "nodes", "cold", "limits", "members"]);
    let node = &config.service.node;
    assert_eq!((node.max_calls, node.max_duplicates, node.module.balancers), (9, 500, 7));
    assert_eq!((node.module.cold_from, node.module.cold_span), (0.5, 15_000_000));
    assert_eq!(node.class_names.iter().map(|name| &**name).collect::<Vec<_>>(), ["buy", "browse"]);
    assert_eq!(
        node.plan.find("3511").map(|route| route.class),
        Some(1),
        "the file's plan, by the class's name"
    );
    let plain = read_config(NODE).expect("a good file");
    assert!(plain.differs.is_empty());
    fits_in_place(&plain.service, &config.service).expect("it fits");
    let fleet = config.service.fleet.expect("a fleet");
    assert_eq!((fleet.members.len(), fleet.members[0].address.port()), (4, 3871));
    assert_eq!(fleet.configuration.as_deref(), Some(std::path::Path::new("kept")));
    assert_eq!(config.service.servers.len(), 1);
}

#[test]
fn values_equal_to_the_file_are_no_difference() {
    let text = "(clients c.example) (limits (calls 1000)) (nodes 1)
(plan (prefix (digits 351) (class browse) (place 2)))";
    let config = read_config_with(NODE, text).expect("good texts");
    assert!(config.differs.is_empty());
    assert_eq!(config.service.rules.version(), read_config(NODE).expect("good").service.rules.version());
}

#[test]
fn errors_have_position_and_field() {
    let cases = [
        ("(nodes 2)\n(host other.example)", "text:2:2: unknown field `host`"),
        ("(nodes 2)\n  (realm x)", "text:2:4: unknown field `realm`"),
        ("(timing (drain 1s))", "text:1:2: unknown field `timing`"),
        ("(limits (duplicates 7))", "unknown field `duplicates`"),
        ("(nodes\n many)", "text:2:2: nodes: \"many\", expected a whole number"),
        ("(nodes 2) (nodes 3)", "duplicate field `nodes`"),
        ("(nodes 0)", "text:1:1: number: 0, expected less than nodes (0)"),
        ("(cold (from 0))", "cold servers must be above zero"),
        ("(limits (calls 1)\n (message 16KiB))", "text:2:2: limits.message: below 36KiB beside a fleet"),
        ("(plan (prefix (digits 35) (class browse))\n\n (prefix (digits 44) (class buy)))",
            "text:3:22: plan[1].class: \"buy\", expected one of the classes browse"),
        ("(plan (prefix (digits \"3-5\") (class browse)))", "text:1:15: plan[0].digits: '-' is no digit"),
        ("(classes (class (name buy) (aim 1s) (deadline 6s) (worth 8)))", "plan[0].class: \"browse\", expected"),
        ("(members (member (host n2.example) (address 127.0.0.1:3869)))", "n1.example\" is missing"),
        ("(members (member (host n1.example) (address 127.0.0.1:9)) (member (host n2.example) (address 127.0.0.1:3869)))",
            "members[0].address: 127.0.0.1:9, but this node listens at 127.0.0.1:3868"),
        ("(members (member (host n1.example) (address 127.0.0.1:3868)) (member (host n2.example) (address 127.0.0.1:3869)))",
            "fleet.voters[2]: \"n3.example\" is no member"),
        ("(members (member (host n1.example) (address 127.0.0.1:3868))\n(member (host c.example) (address 127.0.0.1:1)) (member (host n2.example) (address 127.0.0.1:3869)) (member (host n3.example) (address 127.0.0.1:3870)))",
            "text:2:9: members[1].host: \"c.example\" stands under clients too"),
        ("(nodes 2", "text:1:"),
    ];
    for (text, expected) in cases {
        let message =
            read_config_with(NODE, text).err().map(|error| error.in_file("text")).unwrap_or_default();
        assert!(message.contains(expected), "{text}: got {message:?}, expected {expected:?}");
        assert!(!message.contains('\n'), "one line: {message:?}");
    }
    let long = format!("{};{}", NODE, "x".repeat(LONGEST_TEXT));
    let message = read_shared(&long).err().expect("too long").to_string();
    assert!(message.contains("expected 262144 at the most"), "{message}");
}

#[test]
fn members_are_rejected_outside_a_fleet() {
    let alone = &NODE[..NODE.find("(fleet").expect("a fleet")];
    let message = read_config_with(alone, "(nodes 1)\n(members)").expect_err("no fleet").in_file("text");
    assert_eq!(message, "text:2:1: members: this node is in no fleet");
}

#[test]
fn common_configuration_requires_voters() {
    let text = NODE.replace("(voters n1.example n2.example n3.example) (store \"ledger\") ", "");
    let message = read_config(&text).expect_err("no voters").to_string();
    assert!(message.contains("fleet.configuration: given, but this fleet has no voters"), "{message}");
}

#[test]
fn duplicate_class_name_is_rejected() {
    let class = "(class (name browse) (aim 1s) (deadline 6s) (worth 8))";
    let message =
        read_config_with(NODE, &format!("(classes {class}\n {class})")).expect_err("twice").in_file("t");
    assert_eq!(message, "t:2:9: classes[1].name: \"browse\" is listed twice");
}
