//! Reads the settings file.

use std::{
    fs,
    path::Path, //
};

use schema::{
    parse_yaml,
    settings::DaemonSettings,
    SchemaError, //
};

use crate::DaemonError;

use super::DaemonConfig;

/// Reads and parses the settings file at `path`; `apply_overrides` changes the parsed settings
/// before they are checked.
///
/// # Errors
///
/// [`DaemonError::SettingsUnreadable`] and [`DaemonError::SettingsBad`].
pub fn read_settings(
    path: &Path,
    apply_overrides: impl FnOnce(&mut DaemonSettings),
) -> Result<DaemonConfig, DaemonError> {
    let text = fs::read_to_string(path).map_err(|error| DaemonError::SettingsUnreadable {
        path: path.to_owned(),
        error,
    })?;
    Ok(parse_settings(
        &path.display().to_string(),
        &text,
        apply_overrides,
    )?)
}

/// Parses and checks settings. Each error contains the file, the line, the field and the expected
/// value.
///
/// # Errors
///
/// [`SchemaError::BadText`].
pub fn parse_settings(
    file: &str,
    text: &str,
    apply_overrides: impl FnOnce(&mut DaemonSettings),
) -> Result<DaemonConfig, SchemaError> {
    let mut settings: DaemonSettings = parse_yaml(file, text)?;
    apply_overrides(&mut settings);
    DaemonConfig::from_settings(&settings).map_err(|error| locate_error(file, text, error))
}

fn locate_error(file: &str, text: &str, error: SchemaError) -> SchemaError {
    let SchemaError::BadField {
        field,
        value,
        expected,
    } = error
    else {
        return error;
    };
    SchemaError::BadText {
        file: file.into(),
        line: find_line(text, &field),
        field,
        problem: format!("`{value}` is not allowed, expected {expected}"),
    }
}

/// Returns the line number of `field`, counted from 1. Looks for each key of its path in turn;
/// where a key is missing, returns the line of the last one found, or 0 for none.
fn find_line(text: &str, field: &str) -> usize {
    let lines: Vec<&str> = text.lines().collect();
    let mut start = 0;
    let mut line_number = 0;
    for segment in field.split('.') {
        let (key, index) = split_index(segment);
        let Some(line) = find_key(&lines, start, key) else {
            return line_number;
        };
        line_number = line + 1;
        start = line + 1;
        let Some(item) = index.and_then(|index| find_item(&lines, start, index)) else {
            continue;
        };
        line_number = item + 1;
        start = item;
    }
    line_number
}

fn split_index(segment: &str) -> (&str, Option<usize>) {
    let Some((key, rest)) = segment.split_once('[') else {
        return (segment, None);
    };
    (key, rest.trim_end_matches(']').parse().ok())
}

fn find_key(lines: &[&str], start: usize, key: &str) -> Option<usize> {
    let has_key = |line: &&str| {
        let line = line.trim_start().trim_start_matches("- ").trim_start();
        line.strip_prefix(key)
            .is_some_and(|rest| rest.starts_with(':'))
    };
    lines
        .iter()
        .skip(start)
        .position(has_key)
        .map(|offset| offset + start)
}

fn find_item(lines: &[&str], start: usize, index: usize) -> Option<usize> {
    let numbered_lines = lines.iter().enumerate().skip(start);
    let mut items = numbered_lines.filter(|(_, line)| line.trim_start().starts_with("- "));
    items.nth(index).map(|(line_index, _)| line_index)
}
