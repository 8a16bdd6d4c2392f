//! Cases of the review: `review-case NAME FOLDER`. Exits with 1 if the rule was broken, with 0 if it
//! held, and with 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod chunks;
mod fleet;
mod foreign;
mod http;
mod names;
mod record;
mod server;
mod silent_body;
mod silent_pause;
mod stop;
mod stop_late;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2).map(PathBuf::from)) else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.say(format!("case {name}, trouble: {has_trouble}"));
    let verdict = match name.as_str() {
        "foreign" => foreign::run(&record, has_trouble),
        "chunks" => chunks::run(&record, has_trouble),
        "stop" => stop::run(&record, has_trouble),
        "names" => names::run(&record, has_trouble),
        "stop-late" => stop_late::run(&record, has_trouble),
        "silent-body" => silent_body::run(&record, has_trouble),
        "silent-pause" => silent_pause::run(&record, has_trouble),
        _ => Verdict::NotRun(format!("there is no case {name}")),
    };
    let code = match verdict {
        Verdict::Broken(why) => {
            record.say(format!("the rule was broken: {why}"));
            1
        }
        Verdict::Held(why) => {
            record.say(format!("the rule held: {why}"));
            0
        }
        Verdict::NotRun(why) => {
            record.say(format!("the case couldn't run: {why}"));
            2
        }
    };
    record.write(&folder);
    ExitCode::from(code)
}
