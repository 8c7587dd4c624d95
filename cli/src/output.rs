//! Output to standard output, as tables or as JSON.

use std::io::{
    self,
    Write, //
};

use comfy_table::{
    presets,
    Table, //
};
use serde::Serialize;

use crate::cli_error::CliError;

/// A table without borders that has the columns `header` and no rows.
pub(crate) fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header.to_vec());
    table
}

/// Prints a table to standard output, without trailing spaces.
pub(crate) fn print_table(table: &Table) -> Result<(), CliError> {
    for line in table.lines() {
        print_line(line.trim_end())?;
    }
    Ok(())
}

/// Prints a line to standard output.
pub(crate) fn print_line(line: &str) -> Result<(), CliError> {
    writeln!(io::stdout(), "{line}")?;
    Ok(())
}

/// Prints a value to standard output as indented JSON.
pub(crate) fn print_json(value: &impl Serialize) -> Result<(), CliError> {
    let mut stdout = io::stdout().lock();
    serde_json::to_writer_pretty(&mut stdout, value)?;
    writeln!(stdout)?;
    Ok(())
}

/// Formats a share in millionths as a percentage.
pub(crate) fn format_percent(ppm: u32) -> String {
    format!("{:.2} %", f64::from(ppm) / 10_000.0)
}

/// Formats microseconds as milliseconds.
pub(crate) fn format_millis(micros: u64) -> String {
    format!("{:.2} ms", micros as f64 / 1000.0)
}
