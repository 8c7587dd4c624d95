//! Parses YAML into messages and finds the line of a field for error messages.

use std::fmt;

use serde::de::{
    DeserializeOwned,
    DeserializeSeed,
    Deserializer,
    Error,
    IgnoredAny,
    MapAccess,
    SeqAccess,
    Visitor, //
};

use crate::SchemaError;

/// Parses `text`, the content of the file named `file`. Unknown keys are errors.
///
/// # Errors
///
/// [`SchemaError::BadText`] with the line and the path of the invalid field.
pub fn parse_yaml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SchemaError> {
    let parser = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(parser).map_err(|error| {
        let field = error.path().to_string();
        let inner = error.into_inner();
        let line = inner.location().map_or(0, |location| location.line());
        let message = inner.to_string();
        let problem = message.split(" at line ").next().unwrap_or(&message);
        let problem = problem
            .strip_prefix(&format!("{field}: "))
            .unwrap_or(problem);
        SchemaError::BadText {
            file: file.into(),
            line,
            field,
            problem: problem.into(),
        }
    })
}

/// Adds the file and the line to an error about a field of `text`. Errors that name no field are
/// returned unchanged.
pub fn locate_error(file: &str, text: &str, error: SchemaError) -> SchemaError {
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
        problem: format!("{value:?} is not allowed, expected {expected}"),
        field,
    }
}

/// Finds the line of the field at `path`, as in `groups[2].name`. If the text does not contain the
/// field, this is the line of its closest ancestor in the text; 0 if the text is empty.
pub fn find_line(text: &str, path: &str) -> usize {
    let segments: Vec<&str> = path
        .split(['.', '[', ']'])
        .filter(|segment| !segment.is_empty())
        .collect();
    for depth in (0..=segments.len()).rev() {
        let parser = serde_yaml_ng::Deserializer::from_str(text);
        let locator = FieldLocator {
            segments: &segments[..depth],
        };
        let Err(error) = locator.deserialize(parser) else {
            continue;
        };
        if let Some(location) = error.location() {
            return location.line();
        }
    }
    0
}

/// Deserializes up to a field and fails there on purpose: only the errors of the YAML parser carry
/// a position.
#[derive(Clone, Copy)]
struct FieldLocator<'a> {
    segments: &'a [&'a str],
}

impl<'de> DeserializeSeed<'de> for FieldLocator<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, parser: D) -> Result<(), D::Error> {
        parser.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for FieldLocator<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a mapping or a sequence that contains the field")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let Some((segment, rest)) = self.segments.split_first() else {
            return Err(A::Error::custom("found"));
        };
        while let Some(key) = map.next_key::<String>()? {
            if key == *segment {
                return map.next_value_seed(FieldLocator { segments: rest });
            }
            map.next_value::<IgnoredAny>()?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        let Some((segment, rest)) = self.segments.split_first() else {
            return Err(A::Error::custom("found"));
        };
        let Ok(index) = segment.parse::<usize>() else {
            return Ok(());
        };
        for _ in 0..index {
            if seq.next_element::<IgnoredAny>()?.is_none() {
                return Ok(());
            }
        }
        seq.next_element_seed(FieldLocator { segments: rest })?;
        Ok(())
    }
}
