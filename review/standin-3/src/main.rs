//! Cases of the third review: `review-3 CASE FOLDER`, with `TROUBLE=0` for the run without the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod crash;
mod cut;
mod early;
mod frozen;
mod gateway;
mod http;
mod record;
mod server;
mod site;
mod slow;
mod store;
mod tenant;

use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&Path::new(&folder).join("record.txt")) else {
        return ExitCode::from(2);
    };
    record
        .line(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "crash" => crash::run(&record, trouble),
        "cut" => cut::run(&record, trouble),
        "early" => early::run(&record, trouble),
        "frozen" => frozen::run(&record, trouble),
        "slow" => slow::run(&record, trouble),
        "tenant" => tenant::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::NotRun => ("the case couldn't run", 2),
    };
    record.line(text);
    println!("{case}: {text}");
    ExitCode::from(status)
}
