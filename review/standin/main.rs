//! Stand-ins and cases of the review: `standin CASE FOLDER`, run from the project's root.

mod cases;
mod entries;
mod http;
mod json;
mod record;
mod store;
mod workers;
mod world;

use std::path::Path;
use std::process::ExitCode;

use world::Verdict;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = args.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let dir = Path::new(dir);
    let verdict = match case.as_str() {
        "resend" => cases::resend::run(dir),
        "taken" => cases::taken::run(dir),
        "chained" => cases::chained::run(dir),
        "starved" => cases::starved::run(dir),
        "crashes" => cases::crashes::run(dir),
        _ => Verdict::CannotRun,
    };
    match verdict {
        Verdict::Held => println!("held"),
        Verdict::Broken => println!("broken"),
        Verdict::CannotRun => println!("the case could not run"),
    }
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CannotRun => 2,
    })
}
