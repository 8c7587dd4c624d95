//! The scenarios.

mod deadly;
mod foreign_refusal;
mod late_copy;
mod partition;
mod run_refusal;

use self::partition::PartitionKind;
use crate::{Stage, Verdict};

/// Plays both scenarios with an entry of another writer.
fn play_foreign(stage: &Stage) -> Verdict {
    let verdicts = [
        foreign_refusal::play(stage),
        partition::play(stage, PartitionKind::ForeignEntry),
    ];
    match verdicts {
        _ if verdicts.contains(&Verdict::Broken) => Verdict::Broken,
        _ if verdicts.contains(&Verdict::NotPlayed) => Verdict::NotPlayed,
        _ => Verdict::Held,
    }
}

/// Plays the scenario `name`.
pub fn play(name: &str, stage: &Stage) -> Verdict {
    match name {
        "foreign" => play_foreign(stage),
        "foreign-entry" => partition::play(stage, PartitionKind::ForeignEntry),
        "foreign-refusal" => foreign_refusal::play(stage),
        "deadly" => deadly::play(stage),
        "run-refusal" => run_refusal::play(stage),
        "stale-seeds" => partition::play(stage, PartitionKind::StaleSeeds),
        "late-copy" => late_copy::play(stage),
        _ => Verdict::NotPlayed,
    }
}
