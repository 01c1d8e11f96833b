//! Tests of the test bed itself, without the product: links to echo servers, and this test binary started
//! again as a process.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;

use lemoncleat_faults::{fails, point};
use lemoncleat_lab::stage::{Cut, Disk, Fleet, FleetPlan, Links, Member, Process, Program, LIMIT};

/// Environment variable that makes this binary run as the process under test.
const CHILD_VARIABLE: &str = "LEMONCLEAT_STAGE_TEST_CHILD";

/// Starts a server that answers every line with its own name and the line.
fn echo(name: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || {
                stream.set_nodelay(true).unwrap();
                let mut out = stream.try_clone().unwrap();
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    if line == "close" || out.write_all(format!("{name} {line}\n").as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

struct LineClient(BufReader<TcpStream>);

impl LineClient {
    fn new(address: SocketAddr) -> LineClient {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        LineClient(BufReader::new(stream))
    }

    fn send(&mut self, text: &str) {
        // A closed connection is reported by the next read.
        let _ = self.0.get_mut().write_all(format!("{text}\n").as_bytes());
    }

    /// Returns the next line, or `None` when the connection was closed or reset.
    fn receive(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
            Err(error) if matches!(error.kind(), ErrorKind::ConnectionReset | ErrorKind::BrokenPipe) => None,
            Err(error) => panic!("{error}"),
        }
    }

    fn ask(&mut self, text: &str) -> Option<String> {
        self.send(text);
        self.receive()
    }
}

fn links(ends: &[&'static str]) -> Links {
    let links = Links::new().unwrap();
    ends.iter().for_each(|end| links.set_target(end, echo(end)).unwrap());
    links
}

fn dial(links: &Links, from: &str, to: &str) -> LineClient {
    LineClient::new(links.address(from, to).unwrap())
}

fn text(text: &str) -> Option<String> {
    Some(text.to_owned())
}

#[test]
fn delay_holds_bytes_and_keeps_order_when_it_ends() {
    let links = links(&["b"]);
    let mut line = dial(&links, "a", "b");
    let slow = links.delay(&["a"], &["b"], 150_000).unwrap();
    let started = std::time::Instant::now();
    line.send("1");
    links.wait("a", "b", |traffic| traffic.waiting > 0).unwrap();
    links.end(slow).unwrap();
    line.send("2");
    assert_eq!((line.receive(), line.receive()), (text("b 1"), text("b 2")));
    assert!(started.elapsed().as_micros() >= 150_000);
}

#[test]
fn held_bytes_wait_and_arrive_when_healed_while_reverse_direction_flows() {
    let links = links(&["b"]);
    let mut line = dial(&links, "a", "b");
    assert_eq!(line.ask("1"), text("b 1"));
    let _trouble = links.hold(&["b"], &["a"]).unwrap();
    line.send("2");
    // The request arrived, its answer did not.
    links.wait("b", "a", |traffic| traffic.waiting == 4).unwrap();
    assert_eq!(links.traffic("a", "b").unwrap().carried, 4);
    // Half open: the other side closes and this one is not informed.
    line.send("close");
    links.wait("a", "b", |traffic| traffic.carried == 10).unwrap();
    assert_eq!(links.traffic("b", "a").unwrap().standing, 1);
    links.heal().unwrap();
    assert_eq!((line.receive(), line.receive()), (text("b 2"), None));
}

#[test]
fn lossy_cut_resets_only_connections_that_lost_bytes_when_it_ends() {
    let links = links(&["b"]);
    let (mut talking, mut silent) = (dial(&links, "a", "b"), dial(&links, "a", "b"));
    assert_eq!((talking.ask("1"), silent.ask("1")), (text("b 1"), text("b 1")));
    let trouble = links.cut(&["a"], &["b"], Cut::Lost).unwrap();
    let late = links.hold(&["a"], &["b"]).unwrap();
    talking.send("2");
    links.wait("a", "b", |traffic| traffic.lost == 2 && traffic.standing == 2).unwrap();
    links.end(late).unwrap();
    assert_eq!(links.traffic("a", "b").unwrap().reset, 0, "only one of two overlapping rules has ended");
    links.end(trouble).unwrap();
    assert_eq!(talking.receive(), None);
    assert_eq!(silent.ask("3"), text("b 3"));
}

#[test]
fn partition_separates_groups_with_all_their_ports_and_no_others() {
    let links = links(&["a", "b", "b/1", "c"]);
    let pairs = [("a", "b"), ("a", "b/1"), ("b", "c"), ("a", "c"), ("x", "b"), ("x", "a")];
    let mut lines: Vec<LineClient> = pairs.iter().map(|(from, to)| dial(&links, from, to)).collect();
    let _trouble = links.partition(&[&["a"], &["b", "c"]], Cut::Late).unwrap();
    lines.iter_mut().for_each(|line| line.send("1"));
    for at in [2, 4, 5] {
        assert_eq!(lines[at].receive(), Some(format!("{} 1", pairs[at].1)));
    }
    links.wait("a", "b", |traffic| traffic.waiting == 4).unwrap();
    links.wait("a", "c", |traffic| traffic.waiting == 2).unwrap();
    // A connection opened during the partition is silent as well, and is established afterwards.
    let mut new = dial(&links, "b", "a");
    new.send("2");
    links.wait("b", "a", |traffic| traffic.opened == 1 && traffic.waiting == 2).unwrap();
    links.heal().unwrap();
    for at in [0, 1, 3] {
        assert_eq!(lines[at].receive(), Some(format!("{} 1", pairs[at].1)));
    }
    assert_eq!(new.receive(), text("a 2"));
}

#[test]
fn connections_can_be_reset_refused_moved_and_flapped() {
    let links = links(&["b", "c"]);
    let mut line = dial(&links, "a", "b");
    assert_eq!(line.ask("1"), text("b 1"));
    assert_eq!(links.reset(&["b"], &["a"]).unwrap(), 1);
    assert_eq!(line.receive(), None);
    let trouble = links.refuse(&["a"], &["b"]).unwrap();
    assert_eq!(dial(&links, "a", "b").receive(), None);
    links.end(trouble).unwrap();
    let mut line = dial(&links, "a", "b");
    assert_eq!(line.ask("2"), text("b 2"));
    links.set_target("b", echo("moved")).unwrap();
    assert_eq!(line.ask("3"), text("b 3"), "an established connection stays");
    assert_eq!(dial(&links, "a", "b").ask("4"), text("moved 4"));
    for number in 0..50 {
        let trouble = links.alone("b", number % 2 == 0, number % 3 == 0, Cut::Late).unwrap();
        line.send(&number.to_string());
        links.end(trouble).unwrap();
    }
    (0..50).for_each(|number| assert_eq!(line.receive(), Some(format!("b {number}"))));
    // Nothing listens at the target: the connection is reset, as by a machine without the process.
    let unused = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    links.set_target("c", unused).unwrap();
    assert_eq!(dial(&links, "a", "c").receive(), None);
}

#[test]
fn queued_bytes_are_bounded_and_not_lost() {
    const BYTES: usize = 32 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let links = Links::new().unwrap();
    links.set_target("b", listener.local_addr().unwrap()).unwrap();
    let address = links.address("a", "b").unwrap();
    let _trouble = links.hold(&["a"], &["b"]).unwrap();
    let writer = std::thread::spawn(move || {
        let bytes: Vec<u8> = (0..BYTES).map(|at| (at % 251) as u8).collect();
        TcpStream::connect(address).unwrap().write_all(&bytes).unwrap();
    });
    links.wait("a", "b", |traffic| traffic.waiting >= 256 * 1024).unwrap();
    assert_eq!(links.traffic("a", "b").unwrap().waiting, 256 * 1024);
    links.heal().unwrap();
    let mut all = Vec::new();
    listener.accept().unwrap().0.read_to_end(&mut all).unwrap();
    writer.join().unwrap();
    assert_eq!(all.len(), BYTES);
    assert!(all.iter().enumerate().all(|(at, byte)| *byte == (at % 251) as u8));
}

/// The process that the tests below start: this binary, running only this test. It answers lines, and stores
/// lines in a file on request.
#[test]
#[ignore = "run as a process by the other tests"]
fn child() {
    if std::env::var(CHILD_VARIABLE).is_err() {
        return;
    }
    #[cfg(feature = "faults")]
    lemoncleat_faults::attend().unwrap();
    let settings = std::fs::read_to_string("../settings").unwrap();
    if settings.starts_with("bad") {
        eprintln!("these settings are bad");
        std::process::exit(2);
    }
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    println!("\nlistening on {}", listener.local_addr().unwrap());
    for stream in listener.incoming().map_while(Result::ok) {
        let settings = settings.clone();
        std::thread::spawn(move || serve(&stream, &settings));
    }
}

fn serve(stream: &TcpStream, settings: &str) {
    stream.set_nodelay(true).unwrap();
    let mut out = stream.try_clone().unwrap();
    for line in BufReader::new(stream).lines().map_while(Result::ok) {
        point!(FLEET_HEAR);
        eprintln!("heard {line}");
        let answer = match line.split_once(' ') {
            Some(("keep", text)) => {
                point!(STORE_WRITE);
                if fails!(STORE_WRITE) {
                    "failed".to_owned()
                } else {
                    let mut file =
                        std::fs::OpenOptions::new().append(true).create(true).open("kept").unwrap();
                    writeln!(file, "{text}").unwrap();
                    "kept".to_owned()
                }
            }
            Some(("ask", other)) => {
                let address = settings.lines().find_map(|line| line.strip_prefix(&format!("{other} ")));
                let mut line = LineClient::new(address.unwrap().parse().unwrap());
                line.ask("who").unwrap_or_else(|| "nobody".to_owned())
            }
            _ if line == "who" => settings.lines().next().unwrap_or_default().to_owned(),
            _ if line == "count" => {
                std::fs::read_to_string("kept").unwrap_or_default().lines().count().to_string()
            }
            _ if line == "end" => std::process::exit(3),
            _ => line,
        };
        if out.write_all(format!("{answer}\n").as_bytes()).is_err() {
            return;
        }
    }
}

fn program() -> Program {
    Program {
        path: std::env::current_exe().unwrap(),
        arguments: ["child", "--exact", "--ignored", "--nocapture"].map(str::to_owned).to_vec(),
        environment: vec![(CHILD_VARIABLE.to_owned(), "yes".to_owned())],
        listens: 1,
        control: false,
    }
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("lemoncleat-stage-{}-{name}", std::process::id()))
}

fn plan(name: &str, count: usize) -> FleetPlan {
    FleetPlan {
        program: program(),
        members: Member::spread(count, &["north", "south", "west"]),
        folder: folder(name),
    }
}

#[test]
fn process_can_be_killed_paused_restarted_and_read() {
    let folder = folder("one");
    let mut process = Process::start("p", &program(), &folder, "p").unwrap();
    let mut line = LineClient::new(process.ready().unwrap().listening[0]);
    assert_eq!(line.ask("keep 1"), text("kept"));
    assert_eq!(process.wait_for_log(0, |line| line.contains("keep")).unwrap(), "heard keep 1");
    let mark = process.log_lines();
    process.pause().unwrap();
    line.send("after");
    process.pause().unwrap();
    assert_eq!(process.log_lines(), mark, "a stopped process does not run");
    process.resume().unwrap();
    assert_eq!(line.receive(), text("after"));
    process.wait_for_log(mark, |line| line == "heard after").unwrap();
    assert!(!process.kill().unwrap().success());
    assert_eq!(line.receive(), None);
    for (disk, kept) in [(Disk::Kept, "1"), (Disk::Lost, "0")] {
        process.restart(disk).unwrap();
        let mut line = LineClient::new(process.ready().unwrap().listening[0]);
        assert_eq!(line.ask("count"), text(kept));
    }
    process.pause().unwrap();
    assert_eq!(std::os::unix::process::ExitStatusExt::signal(&process.stop().unwrap()), Some(15));
    process.restart(Disk::Kept).unwrap();
    let mut line = LineClient::new(process.ready().unwrap().listening[0]);
    line.send("end");
    assert_eq!(process.wait_exit().unwrap().code(), Some(3));
    assert!(std::fs::read_to_string(process.log_file()).unwrap().contains("heard end"));
    process.set_settings("bad").unwrap();
    process.restart(Disk::Kept).unwrap();
    let told = process.ready().unwrap_err().to_string();
    assert!(told.contains("these settings are bad"), "{told}");
    std::fs::remove_dir_all(folder).unwrap();
}

fn settings(site: &lemoncleat_lab::stage::Site) -> std::io::Result<String> {
    let mut text = format!("{}\n", site.member.name);
    for other in site.others() {
        text += &format!("{} {}\n", other.name, site.address(&other.name)?);
    }
    Ok(text)
}

#[test]
fn nine_processes_reach_each_other_through_relay_and_after_restart_at_new_address() {
    let links = Links::new().unwrap();
    let mut fleet = Fleet::start(&links, plan("nine", 9), settings).unwrap();
    assert_eq!(fleet.of_zone("south"), ["n2", "n5", "n8"]);
    let address = |fleet: &Fleet, at: usize| fleet.ready(at).unwrap().listening[0];
    let mut first = LineClient::new(address(&fleet, 0));
    for at in 2..=9 {
        assert_eq!(first.ask(&format!("ask n{at}")), Some(format!("n{at}")));
    }
    assert_eq!(links.traffic("n1", "n9").unwrap().opened, 1);
    let before = address(&fleet, 8);
    fleet.processes[8].kill().unwrap();
    assert_eq!(first.ask("ask n9"), text("nobody"));
    fleet.restart(&links, 8, Disk::Lost).unwrap();
    assert_ne!(address(&fleet, 8), before);
    assert_eq!(first.ask("ask n9"), text("n9"));
    let ids: Vec<u32> = fleet.processes.iter().filter_map(Process::id).collect();
    drop(fleet);
    assert!(
        ids.iter().all(|id| !PathBuf::from(format!("/proc/{id}")).exists()),
        "all processes ended with the fleet"
    );
}

#[cfg(feature = "faults")]
mod points {
    use super::*;
    use lemoncleat_faults::{Fault, FLEET_HEAR, STORE_WRITE};
    use lemoncleat_lab::stage::{carry_out, Points, STAGE_VARIABLE};

    /// Carries out each fault on a real process, at each of the first three passes of a point.
    #[test]
    fn each_fault_occurs_at_the_pass_it_was_armed_for() {
        assert_eq!(STAGE_VARIABLE, lemoncleat_faults::STAGE_VARIABLE);
        let (links, points) = (Links::new().unwrap(), Points::listen().unwrap());
        let mut plan = plan("points", 1);
        plan.program.environment.push(points.variable());
        let mut fleet = Fleet::start(&links, plan, settings).unwrap();
        println!("{:<12} {:<8} {:<5} led to", "point", "fault", "skip");
        for fault in Fault::ALL {
            for skip in 0..3 {
                let point = if fault == Fault::Error { &STORE_WRITE } else { &FLEET_HEAR };
                let mut line = dial(&links, "client", "n1");
                points.arm(&fleet.processes[0], point, skip, fault).unwrap();
                for _ in 0..skip {
                    assert_eq!(line.ask("keep 1"), text("kept"));
                    assert_eq!(points.reached(&fleet.processes[0]), None);
                }
                line.send("keep 2");
                let reached = points.wait_reached(&fleet.processes[0]).unwrap();
                assert_eq!((reached.point, reached.fault), (point, fault));
                // While the fault lasts, nothing passes in a cut direction.
                let (from, to) = match fault {
                    Fault::CutOut => ("n1", "client"),
                    _ => ("client", "n1"),
                };
                let mut second = dial(&links, "client", "n1");
                let meanwhile = || match fault {
                    Fault::Cut | Fault::CutIn | Fault::CutOut => {
                        second.send("second");
                        links.wait(from, to, |traffic| traffic.waiting > 0)
                    }
                    _ => Ok(()),
                };
                let process = &mut fleet.processes[0];
                carry_out(process, fault, &points, &links, &[], meanwhile).unwrap();
                let outcome = line.receive();
                let expected = match fault {
                    Fault::Kill => None,
                    Fault::Error => text("failed"),
                    _ => text("kept"),
                };
                assert_eq!(outcome, expected, "{fault:?} {skip}");
                println!("{:<12} {:<8} {skip:<5} {outcome:?}", point.name, fault.name());
                if fault == Fault::Kill {
                    assert!(points.passes(&fleet.processes[0]).is_err());
                    fleet.restart(&links, 0, Disk::Kept).unwrap();
                } else {
                    assert!(points.passes(&fleet.processes[0]).unwrap()[point.name] > u64::from(skip));
                }
            }
        }
        let unknown = lemoncleat_faults::Point { name: "NO_SUCH", ..FLEET_HEAR };
        assert!(points.arm(&fleet.processes[0], &unknown, 0, Fault::Kill).is_err());
    }

    #[test]
    fn process_continues_when_fault_point_server_is_gone() {
        let (links, points) = (Links::new().unwrap(), Points::listen().unwrap());
        let mut plan = plan("orphan", 1);
        plan.program.environment.push(points.variable());
        let fleet = Fleet::start(&links, plan, settings).unwrap();
        points.arm(&fleet.processes[0], &FLEET_HEAR, 0, Fault::Pause).unwrap();
        let mut line = dial(&links, "client", "n1");
        line.send("1");
        points.wait_reached(&fleet.processes[0]).unwrap();
        drop(points);
        assert_eq!(line.receive(), text("1"));
    }
}

/// Measures the cost of the relay: `cargo test -p lemoncleat-lab --release --test stage -- --ignored cost
/// --nocapture`.
#[test]
#[ignore = "a measurement"]
fn cost() {
    let own = |what: &str| -> u64 {
        let status = std::fs::read_to_string("/proc/self/status").unwrap();
        let line = status.lines().find(|line| line.starts_with(what)).unwrap().to_owned();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    };
    let show = |when: &str| {
        let open = std::fs::read_dir("/proc/self/fd").unwrap().count();
        let (threads, memory) = (own("Threads:"), own("VmRSS:"));
        println!("{when}: {threads} threads, {open} descriptors, {:.1} MiB", memory as f64 / 1024.0);
    };
    show("before");
    let links = Links::new().unwrap();
    let started = std::time::Instant::now();
    let names: Vec<String> = (1..=64).map(|number| format!("n{number}")).collect();
    for from in &names {
        for to in names.iter().filter(|to| *to != from) {
            links.address(from, to).unwrap();
        }
    }
    println!("4032 listeners in {:?}", started.elapsed());
    show("all pairs listen");
    let started = std::time::Instant::now();
    let fleet = Fleet::start(&links, plan("cost", 64), settings).unwrap();
    println!("64 processes ready in {:?}", started.elapsed());
    show("64 processes");
    let mut conns = Vec::new();
    let started = std::time::Instant::now();
    for from in 0..64 {
        for to in (1..=8).map(|step| (from + step * 7) % 64) {
            let mut line = dial(&links, &names[from], &names[to]);
            assert_eq!(line.ask("1"), text("1"));
            conns.push(line);
        }
    }
    println!("512 connections with a message each in {:?}", started.elapsed());
    show("512 connections, including their dialling ends");
    let started = std::time::Instant::now();
    for round in 0..20 {
        conns.iter_mut().for_each(|line| line.send(&round.to_string()));
        conns.iter_mut().for_each(|line| assert_eq!(line.receive(), Some(round.to_string())));
    }
    println!(
        "{:.0} messages there and back per second over 512 connections",
        10_240.0 / started.elapsed().as_secs_f64()
    );
    drop(conns);
    drop(fleet);
    let echo = echo("b");
    links.set_target("b", echo).unwrap();
    let through = links.address("a", "b").unwrap();
    let round_trip = |address| {
        let mut line = LineClient::new(address);
        let mut all: Vec<_> = (0..20_000)
            .map(|_| {
                let started = std::time::Instant::now();
                line.ask("1");
                started.elapsed()
            })
            .collect();
        all.sort_unstable();
        (all[10_000], all[19_800])
    };
    println!("round trip p50, p99: {:?} direct, {:?} through", round_trip(echo), round_trip(through));
    let sink = TcpListener::bind("127.0.0.1:0").unwrap();
    links.set_target("s", sink.local_addr().unwrap()).unwrap();
    for (what, address) in
        [("direct", sink.local_addr().unwrap()), ("through", links.address("a", "s").unwrap())]
    {
        let started = std::time::Instant::now();
        let writer = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).unwrap();
            let bytes = vec![1; 1 << 20];
            (0..1024).for_each(|_| stream.write_all(&bytes).unwrap());
        });
        let mut from = sink.accept().unwrap().0;
        let mut buffer = vec![0; 1 << 18];
        while from.read(&mut buffer).unwrap() > 0 {}
        writer.join().unwrap();
        println!("1 GiB {what}: {:.2} GiB/s", 1.0 / started.elapsed().as_secs_f64());
    }
}
