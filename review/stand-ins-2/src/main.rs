//! The cases of the second review. Exits with 1 if the rule was broken, with 0 if it held, and with
//! 2 if the case could not run. TROUBLE=0 leaves out the disruptions, other values all but one.

mod deployment;
mod http;
mod outlived;
mod record;
mod relabelled;
mod shrunk;
mod store;
mod worker;

use std::process::ExitCode;

use record::Record;
use tokio::task::LocalSet;

const USAGE: &str = "usage: review-stand-ins-2 outlived|shrunk|relabelled RECORD";

/// The broken rule, if it was broken.
type Verdict = Result<Option<String>, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let (Ok(record), Ok(runtime)) = (
        Record::create(path),
        tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build(),
    ) else {
        return ExitCode::from(2);
    };
    let verdict = LocalSet::new().block_on(&runtime, async {
        match case.as_str() {
            "outlived" => outlived::run(&record, &trouble).await,
            "shrunk" => shrunk::run(&record, &trouble).await,
            "relabelled" => relabelled::run(&record, &trouble).await,
            _ => Err(USAGE.to_owned()),
        }
    });
    match verdict {
        Ok(None) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(breach)) => {
            record.say(&format!("BROKEN: {breach}"));
            ExitCode::from(1)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
