//! Runs one case of the second review.
//!
//! `review-case CASE RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
//! run. With `TROUBLE=0` it does the same without the disruption.

mod cases;
mod client;
mod fleet;
mod http;
mod record;
mod server;
mod store;

use std::io;
use std::path::Path;
use std::process::ExitCode;

use crate::record::Record;

const HELD: u8 = 0;
const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let run = match case.as_str() {
        "tenant-name" => cases::tenant_name,
        "priority" => cases::priority,
        "grace" => cases::grace,
        "store-moved" => cases::store_moved,
        "slow-reader" => cases::slow_reader,
        "upload-given-up" => cases::upload_given_up,
        _ => {
            eprintln!("review-case: no case {case}");
            return ExitCode::from(NOT_RUN);
        }
    };
    // A panic of a stand-in says nothing of the rule.
    let run = std::panic::catch_unwind(|| run(has_trouble, &record));
    let run = run.unwrap_or_else(|_| Err(io::Error::other("a stand-in panicked")));
    let code = match run {
        Ok(Some(seen)) => {
            record.add(format!("the rule was broken: {seen}"));
            println!("broken: {seen}");
            BROKEN
        }
        Ok(None) => {
            record.add("the rule held");
            println!("held");
            HELD
        }
        Err(error) => {
            record.add(format!("the case could not run: {error}"));
            eprintln!("review-case: {error}");
            NOT_RUN
        }
    };
    if let Err(error) = record.write(Path::new(path)) {
        eprintln!("review-case: {path}: {error}");
        return ExitCode::from(NOT_RUN);
    }
    ExitCode::from(code)
}
