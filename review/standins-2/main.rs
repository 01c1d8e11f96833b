//! Plays one case of the review against access nodes that run as processes, and judges what clients, call servers
//! and the platform see. Usage: `world CASE RECORD FOLDER`; `TROUBLE=0` leaves the disruption out.
//!
//! Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod caller;
mod cases;
mod journal;
mod platform;
mod record;
mod server;
mod sip;

/// Ends the program because the case can't run.
pub fn unable(why: &str) -> ! {
    record::say(format!("could not run: {why}"));
    std::process::exit(2);
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file, folder] = arguments.as_slice() else { unable("usage: world CASE RECORD FOLDER") };
    record::begin(file);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::say(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let Some(play) = cases::named(case) else { unable("no such case") };
    let broken = play(folder, trouble);
    match broken.as_slice() {
        [] => record::say("the rule held"),
        broken => {
            for line in broken.iter().take(12) {
                record::say(line);
            }
            record::say(format!("the rule was broken: {} times", broken.len()));
        }
    }
    std::process::exit(i32::from(!broken.is_empty()));
}
