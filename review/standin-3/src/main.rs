//! Stand-ins of the platform, workers and callers for the scripts of the third review, and the cases themselves.
//!
//! Usage: `standin3 CASE RECORD FOLDER`; `TROUBLE=0` leaves the disruption out. Exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

mod cases;
mod explore;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(115);

/// Verdict of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = &args[..] else {
        eprintln!("usage: standin3 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match record::Record::new(&PathBuf::from(record)) {
        Ok(record) => std::sync::Arc::new(record),
        Err(e) => {
            eprintln!("record: {e}");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        println!("not run: the case takes too long");
        std::process::exit(2);
    });
    let verdict = cases::run(case, has_trouble, &record, &PathBuf::from(folder));
    let (text, code) = match verdict {
        Verdict::Held => ("held".to_owned(), 0),
        Verdict::Broken(what) => (format!("broken: {what}"), 1),
        Verdict::NotRun(why) => (format!("not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
