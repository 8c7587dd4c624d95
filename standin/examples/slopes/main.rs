//! Measures how the cost of the production code grows with size:
//! `cargo run --release --example slopes -- --help`.

mod charge_slopes;
mod engine_slopes;
mod message_slopes;
mod peer_slopes;
#[path = "../../../policy/tests/peers_kit/mod.rs"]
mod peers_kit;
mod slope_fit;

use std::alloc::System;

use bpaf::Bpaf;
use stats_alloc::{
    StatsAlloc,
    INSTRUMENTED_SYSTEM, //
};

/// Counts the bytes allocated on the heap.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Measures how cost grows with size and prints a line fitted to the points of each quantity.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct SlopeFlags {
    /// Print JSON lines instead of a table.
    json: bool,
    /// Part to measure: engine, message, peer or charge; may be given more than once.
    /// Default: all.
    #[bpaf(argument("NAME"))]
    part: Vec<String>,
}

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SlopeError {
    #[error(transparent)]
    Schema(#[from] schema::SchemaError),
    #[error(transparent)]
    Bundle(#[from] policy::bundle::BundleError),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Postcard(#[from] postcard::Error),
    #[error("a query was not answered")]
    NotAnswered,
    #[error("a change did not reach every daemon within the timeout")]
    NotPropagated,
    #[error("a decoded message or a count of charges is not the expected one")]
    UnexpectedResult,
}

type PartMeasure = fn() -> Result<Vec<slope_fit::SlopeFit>, SlopeError>;

const PARTS: [(&str, PartMeasure); 4] = [
    ("engine", engine_slopes::measure),
    ("message", message_slopes::measure),
    ("peer", peer_slopes::measure),
    ("charge", charge_slopes::measure),
];

fn main() -> Result<(), SlopeError> {
    let flags = slope_flags().run();
    if !flags.json {
        println!(
            "{:<44} {:<12} {:>12} {:>12} {:>7}   size:value",
            "quantity", "against", "base", "slope", "fit"
        );
    }
    for (name, part) in PARTS {
        if !flags.part.is_empty() && !flags.part.iter().any(|wanted| wanted == name) {
            continue;
        }
        for fit in part()? {
            if flags.json {
                println!("{}", serde_json::to_string(&fit)?);
            } else {
                println!("{fit}");
            }
        }
    }
    Ok(())
}

/// Heap in use, in bytes.
pub(crate) fn heap_use() -> f64 {
    let stats = HEAP.stats();
    stats.bytes_allocated as f64 - stats.bytes_deallocated as f64
}
