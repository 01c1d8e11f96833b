//! Days of the operators' bench, scaled onto real nodes.
//!
//! The conversion keeps the fleet (access nodes and servers, their relative capacities), the load, the
//! classes, the list's delay, the processors' reports, and the troubles with their times. `speed` shortens
//! the day and its troubles, `size` reduces the number of nodes and the rates; the times of the protocol
//! (aims, deadlines, release, drain grace) stay unchanged. Troubles without a counterpart here are reported.

use std::fmt;

use lemoncleat_settings::{Rate, Span};
use serde::Deserialize;

use crate::day::{CallerDay, ClassDay, Day, ListDay, ProcessorDay, ServerDay, Trouble, TroubleKind};

/// Limits of the nodes and servers of a run on one machine.
const MOST_NODES: u16 = 16;
const MOST_SERVERS: usize = 24;
/// Busy share of the processors at the planned load, about the middle of what the briefs tell.
const BUSY_AT_PLAN: f64 = 0.84;

/// A reason why a bench day can't be converted.
#[derive(Debug)]
pub enum BenchDayError {
    /// The text is not the JSON of a bench day.
    Json(serde_json::Error),
    /// A trouble of an unknown kind.
    Trouble(String),
    /// Its figures don't form a valid day.
    Figures(String),
}

impl fmt::Display for BenchDayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BenchDayError::Json(error) => write!(f, "no bench day: {error}"),
            BenchDayError::Trouble(kind) => write!(f, "trouble {kind:?} is not known here"),
            BenchDayError::Figures(why) => write!(f, "{why}"),
        }
    }
}

impl std::error::Error for BenchDayError {}

/// A bench day, scaled.
#[derive(Clone, Debug)]
pub struct BenchDay {
    /// The converted day.
    pub day: Day,
    /// Parts that were left out, with the reason.
    pub notes: Vec<String>,
}

#[derive(Deserialize)]
struct Json {
    site: String,
    #[serde(default)]
    kind: String,
    length: f64,
    noise: u64,
    zones: Vec<String>,
    balancers: Vec<serde_json::Value>,
    servers: Vec<JsonServer>,
    classes: Vec<JsonClass>,
    traffic: JsonTraffic,
    clients: JsonClients,
    discovery: JsonDiscovery,
    allow: JsonAllow,
    drain_grace: i64,
    fall_multiple: f64,
    fall_for: i64,
    tiers: Vec<JsonTier>,
    troubles: Vec<JsonTrouble>,
    fam: JsonFamily,
}

#[derive(Deserialize)]
struct JsonServer {
    zone: usize,
    speed: f64,
    #[serde(default = "yes")]
    up: bool,
}

fn yes() -> bool {
    true
}

#[derive(Deserialize)]
struct JsonClass {
    name: String,
    share: f64,
    aim: i64,
    deadline: i64,
    worth: f64,
    late_worth: f64,
}

#[derive(Deserialize)]
struct JsonTraffic {
    load: f64,
}

#[derive(Deserialize)]
struct JsonClients {
    retries: u32,
    try_share: f64,
    backoff_us: f64,
    impatient: f64,
}

#[derive(Deserialize)]
struct JsonDiscovery {
    notice: i64,
    spread: i64,
}

#[derive(Deserialize)]
struct JsonAllow {
    max_attempts: u32,
}

#[derive(Deserialize)]
struct JsonTier {
    kinds: Vec<JsonKind>,
    #[serde(default)]
    report_fields: Vec<String>,
    stated_cold_from: f64,
    stated_cold: i64,
}

#[derive(Deserialize)]
struct JsonKind {
    cold_from: f64,
    cold: i64,
}

#[derive(Deserialize)]
struct JsonTrouble {
    kind: String,
    at: i64,
    len: i64,
    size: f64,
    #[serde(default)]
    extra: f64,
    #[serde(default)]
    on: Vec<usize>,
    #[serde(default)]
    which: usize,
    #[serde(default)]
    steps: Vec<JsonStep>,
}

#[derive(Deserialize)]
struct JsonStep {
    #[serde(default)]
    stop: Vec<usize>,
}

#[derive(Deserialize)]
struct JsonFamily {
    capacity: f64,
    hold: Vec<f64>,
    queue: f64,
    reject: f64,
    resend: i64,
    release: i64,
    finish_first: bool,
    cancel_drops: bool,
    tells_wait: bool,
    size: Vec<f64>,
}

/// Reads a bench day's JSON and scales it: `speed` times faster, `size` times as large.
///
/// # Errors
///
/// Fails if the text is not a bench day or contains an unknown trouble.
pub fn bench_day(text: &str, speed: f64, size: f64) -> Result<BenchDay, BenchDayError> {
    let json: Json = serde_json::from_str(text).map_err(BenchDayError::Json)?;
    if !(speed > 0.0 && size > 0.0 && speed.is_finite() && size.is_finite()) {
        return Err(BenchDayError::Figures("speed and size must be above zero".to_owned()));
    }
    let mut notes = Vec::new();
    // Machines that start during the day replace others; only the initial ones are kept.
    let up: Vec<usize> =
        (0..json.servers.len()).filter(|index| json.servers[*index].up).take(MOST_SERVERS).collect();
    let total: f64 = up.iter().map(|index| json.servers[*index].speed).sum();
    if up.is_empty() || total <= 0.0 {
        return Err(BenchDayError::Figures("the day has no servers".to_owned()));
    }
    let capacity = json.fam.capacity * size / BUSY_AT_PLAN;
    let servers = up.iter().map(|index| {
        let server = &json.servers[*index];
        let lines = json.fam.size.get(*index).copied().unwrap_or(1e5) * size;
        ServerDay {
            capacity: Rate(capacity * server.speed / total),
            lines: (lines.ceil() as u32).max(4),
            zone: json.zones.get(server.zone).cloned().unwrap_or_default(),
        }
    });
    let servers: Vec<ServerDay> = servers.collect();
    let nodes = ((json.balancers.len() as f64 * size).round() as u16).clamp(1, MOST_NODES);
    let tier = json.tiers.first().ok_or_else(|| BenchDayError::Figures("the day has no tier".to_owned()))?;
    let kind = tier.kinds.first().ok_or_else(|| BenchDayError::Figures("the day has no kind".to_owned()))?;
    let (true_from, stated) = (kind.cold_from, tier.stated_cold_from);
    if true_from < stated {
        notes.push(format!("servers start with {true_from:.2} of their capacity, {stated:.2} is stated"));
    }
    let scaled = |us: f64| Span((us / speed) as i64);
    let classes = json.classes.iter().enumerate().map(|(index, class)| ClassDay {
        name: class.name.clone(),
        share: class.share,
        aim: Span(class.aim),
        deadline: Span(class.deadline),
        worth: class.worth,
        late_worth: class.late_worth,
        length: scaled(json.fam.hold.get(index).copied().unwrap_or(8e6)),
    });
    let reports = |name: &str| tier.report_fields.iter().any(|field| field == name);
    let mut day = Day {
        name: format!("{} {}", json.site, json.kind),
        length: scaled(json.length),
        tail: Span(4_000_000),
        seed: json.noise,
        nodes,
        fronts: 2,
        rate: Rate(json.fam.capacity * json.traffic.load * size),
        servers,
        classes: classes.collect(),
        callers: CallerDay {
            try_share: json.clients.try_share,
            redials: json.clients.retries,
            backoff: Span(json.clients.backoff_us as i64),
            impatient: json.clients.impatient,
            drift: 0.2,
        },
        processor: ProcessorDay {
            queue: Span(json.fam.queue as i64),
            reject: json.fam.reject,
            repeat: Span(json.fam.resend),
            finish_first: json.fam.finish_first,
            drops_given_up: json.fam.cancel_drops,
            tells_wait: json.fam.tells_wait,
            reports_wait: reports("latency_ms") || reports("queue"),
            reports_lines: reports("x0"),
            cold_from: stated.min(true_from),
            cold_span: scaled(tier.stated_cold.max(kind.cold) as f64),
            fall_multiple: json.fall_multiple,
            fall_span: Span(json.fall_for),
        },
        list: ListDay {
            delay: scaled(json.discovery.notice as f64),
            spread: scaled(json.discovery.spread as f64),
        },
        circuits: None,
        certificates: None,
        harmless: false,
        watchdog: Span(1_000_000),
        answer_margin: Span(30_000),
        attempts: json.allow.max_attempts,
        drain_grace: Span(json.drain_grace),
        release: Span(json.fam.release),
        troubles: Vec::new(),
    };
    for trouble in &json.troubles {
        let (at, length) = (scaled(trouble.at as f64), scaled(trouble.len as f64));
        let place = |index: &usize| up.iter().position(|known| known == index).map(|place| place as u16);
        let on: Vec<u16> = trouble.on.iter().filter_map(place).collect();
        let simple =
            |kind, size| Trouble { kind, at, length, size, on: on.clone(), node: 0, pause: Trouble::PAUSE };
        match trouble.kind.as_str() {
            "burst" => day.troubles.push(simple(TroubleKind::Surge, trouble.size)),
            "crash" | "mass_restart" | "vanish" => day.troubles.push(simple(TroubleKind::Crash, 1.0)),
            "hang" => day.troubles.push(simple(TroubleKind::Hang, 1.0)),
            "slow" => day.troubles.push(simple(TroubleKind::Slow, trouble.size)),
            "ageing" => day.troubles.push(simple(TroubleKind::Ageing, trouble.size)),
            "reconnect" => {
                day.troubles.push(Trouble { on: Vec::new(), ..simple(TroubleKind::Cut, trouble.size) })
            }
            "origin_slow" => {
                let zone = json.zones.get(trouble.which).cloned().unwrap_or_default();
                let of_zone = (0..day.servers.len()).filter(|index| day.servers[*index].zone == zone);
                let on: Vec<u16> = of_zone.map(|index| index as u16).collect();
                if on.is_empty() {
                    notes.push(format!("origin_slow: zone {zone:?} has no server, left out"));
                } else {
                    // A share of 1/sqrt(size) of the lines remains.
                    let keep = 1.0 / trouble.size.max(1.0).sqrt();
                    day.troubles.push(Trouble { on, ..simple(TroubleKind::Lines, keep) });
                }
            }
            "discovery_stale" => {
                let lag = trouble.size / speed;
                day.troubles.push(Trouble { on: Vec::new(), ..simple(TroubleKind::ListLag, lag) });
            }
            "deploy" => {
                let stopped: Vec<u16> =
                    trouble.steps.iter().flat_map(|step| &step.stop).filter_map(place).collect();
                if stopped.is_empty() {
                    notes.push("deploy: replaces no server that is kept, left out".to_owned());
                } else {
                    day.troubles.push(Trouble { on: stopped, ..simple(TroubleKind::Drain, 1.0) });
                }
            }
            "balancer_stall" => {
                // The same share of the nodes as in the bench day.
                let part = trouble.on.len() as f64 / json.balancers.len().max(1) as f64;
                let stalled = ((f64::from(nodes) * part).round() as u16).clamp(1, nodes);
                for node in 0..stalled {
                    let stall = simple(TroubleKind::Stall, trouble.size / 1e3 / speed);
                    let at = Span(at.0 + i64::from(node) * 150_000);
                    // The bench day states the mean pause in seconds.
                    let pause =
                        if trouble.extra > 0.0 { scaled(trouble.extra * 1e6) } else { Trouble::PAUSE };
                    day.troubles.push(Trouble { at, on: Vec::new(), node, pause, ..stall });
                }
            }
            "peer_down" => {
                notes.push("peer_down: nodes send each other no messages, nothing to lose".to_owned())
            }
            other => return Err(BenchDayError::Trouble(other.to_owned())),
        }
    }
    day.check().map_err(|error| BenchDayError::Figures(error.to_string()))?;
    Ok(BenchDay { day, notes })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Returns a day in the bench's JSON format with the given troubles.
    fn bench_json(troubles: &str) -> String {
        format!(
            r#"{{"site":"test","kind":"trouble","length":40000000,"noise":5,"zones":["a","b"],
            "balancers":[{{}},{{}},{{}},{{}},{{}},{{}},{{}},{{}},{{}},{{}}],
            "servers":[{{"zone":0,"speed":0.3}},{{"zone":1,"speed":0.1}},{{"zone":1,"speed":0.1,"up":false}}],
            "classes":[{{"name":"browse","share":9,"aim":1500000,"deadline":9000000,"worth":1,"late_worth":0.2}}],
            "traffic":{{"load":0.9}},
            "clients":{{"retries":2,"try_share":0.35,"backoff_us":1e6,"impatient":0.01}},
            "discovery":{{"notice":2000000,"spread":400000}},"allow":{{"max_attempts":4}},
            "drain_grace":250000,"fall_multiple":3.0,"fall_for":1000000,
            "tiers":[{{"kinds":[{{"cold_from":0.4,"cold":12000000}}],"report_fields":["x0","latency_ms"],
              "stated_cold_from":0.3,"stated_cold":15000000}}],
            "troubles":[{troubles}],
            "fam":{{"capacity":300,"hold":[8e6],"queue":3e6,"reject":0.2,"resend":400000,"release":300000,
              "finish_first":false,"cancel_drops":false,"tells_wait":true,"size":[500,200,100]}}}}"#
        )
    }

    #[test]
    fn scales_fleet_rates_and_times() {
        let trouble = r#"{"kind":"slow","at":10000000,"len":8000000,"size":2.5,"on":[1]}"#;
        let converted = bench_day(&bench_json(trouble), 2.0, 0.2).expect("a bench day");
        let day = converted.day;
        assert_eq!((day.nodes, day.servers.len()), (2, 2));
        assert!((day.rate.0 - 54.0).abs() < 1e-9);
        assert_eq!((day.length.0, day.processor.cold_span.0), (20_000_000, 7_500_000));
        let expected = Trouble {
            kind: TroubleKind::Slow,
            at: Span(5_000_000),
            length: Span(4_000_000),
            size: 2.5,
            on: vec![1],
            node: 0,
            pause: Trouble::PAUSE,
        };
        assert_eq!(day.troubles, [expected]);
        assert!(day.processor.reports_wait && day.processor.reports_lines);
    }

    #[test]
    fn stall_keeps_its_length_and_mean_pause() {
        let trouble =
            r#"{"kind":"balancer_stall","at":1000000,"len":8000000,"size":1900,"extra":3.5,"on":[0]}"#;
        let day = bench_day(&bench_json(trouble), 2.0, 1.0).expect("a bench day").day;
        let stall = &day.troubles[0];
        assert_eq!((stall.kind, stall.size, stall.pause), (TroubleKind::Stall, 0.95, Span(1_750_000)));
    }

    #[test]
    fn converts_or_notes_every_trouble_kind_and_refuses_unknown_ones() {
        let kinds = [
            ("burst", 1),
            ("crash", 1),
            ("mass_restart", 1),
            ("hang", 1),
            ("slow", 1),
            ("ageing", 1),
            ("reconnect", 1),
            ("origin_slow", 1),
            ("discovery_stale", 1),
            ("balancer_stall", 1),
            ("peer_down", 0),
        ];
        for (kind, count) in kinds {
            let trouble =
                format!(r#"{{"kind":"{kind}","at":1,"len":2000000,"size":1.5,"on":[1],"which":1}}"#);
            let converted =
                bench_day(&bench_json(&trouble), 1.0, 0.1).unwrap_or_else(|e| panic!("{kind}: {e}"));
            assert_eq!(converted.day.troubles.len(), count, "{kind}");
            assert_eq!(converted.notes.len(), 1 - count, "{kind}: a kind that is left out is noted");
        }
        let deploy = r#"{"kind":"deploy","at":1,"len":2000000,"size":0.1,"steps":[{"stop":[0]}]}"#;
        assert_eq!(bench_day(&bench_json(deploy), 1.0, 0.1).expect("a day").day.troubles[0].on, [0]);
        let unknown = r#"{"kind":"no_such_kind","at":1,"len":2,"size":1}"#;
        let error =
            bench_day(&bench_json(unknown), 1.0, 0.1).expect_err("an unknown kind is refused").to_string();
        assert!(error.contains("no_such_kind"), "{error}");
    }
}
