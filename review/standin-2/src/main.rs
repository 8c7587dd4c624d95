//! Scenarios of the second independent review. `review-standin-2 NAME FOLDER` plays one and writes
//! `record.txt` into the folder; it exits with 1 if the rule was broken, 0 if it held, and 2 if the scenario
//! could not be played. `TROUBLE=0` leaves the disruption out.

mod daemon;
mod http;
mod json;
mod record;
mod replica;
mod scenario;
mod store;

use std::{
    env,
    path::{Path, PathBuf},
    process::exit,
};

use record::Record;

/// What a scenario needs.
pub struct Stage {
    pub record: Record,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// The value of `TROUBLE`, `1` if it is not set.
    pub trouble: String,
}

/// How a scenario ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Held = 0,
    Broken = 1,
    NotPlayed = 2,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin-2 SCENARIO FOLDER");
        exit(2);
    };
    let temporary = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        exit(2);
    }
    let stage = Stage {
        record: Record::create(&Path::new(folder).join("record.txt")),
        folder: temporary.clone(),
        trouble: env::var("TROUBLE").unwrap_or("1".into()),
    };
    let verdict = scenario::play(name, &stage);
    stage.record.say(&format!("verdict: {verdict:?}"));
    if env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    exit(verdict as i32);
}
