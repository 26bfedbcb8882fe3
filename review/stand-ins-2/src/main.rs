//! The cases of the second review that need a script. Exits with 1 if the rule was broken, with 0
//! if it held, and with 2 if the case could not run.

mod cancelled;
mod deployment;
mod http;
mod record;
mod relabelled;
mod store;
mod worker;

use std::process::ExitCode;

use record::Record;
use tokio::task::LocalSet;

const USAGE: &str = "usage: review-case relabelled|cancelled RECORD [--calm]";

/// The broken rule, if it was broken.
type Verdict = Result<Option<String>, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path, rest @ ..] = arguments.as_slice() else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let has_trouble = !rest.iter().any(|argument| argument == "--calm");
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
            "relabelled" => relabelled::run(&record, has_trouble).await,
            "cancelled" => cancelled::run(&record, has_trouble).await,
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
