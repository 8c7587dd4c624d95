//! Errors in messages, bundles and settings.

use thiserror::Error;

/// Why a message, a bundle or settings can't be converted to domain types.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum SchemaError {
    /// A name that is empty.
    #[error("the {kind} is empty")]
    EmptyText {
        /// Kind of the name, as in `zone name`.
        kind: &'static str,
    },
    /// A name that is too long.
    #[error("the {kind} is longer than {max} bytes")]
    LongText {
        /// Kind of the name, as in `zone name`.
        kind: &'static str,
        /// Maximum length, in bytes.
        max: usize,
    },
    /// A name with a space, a control character or anything outside ASCII.
    #[error("the {kind} has a character outside printable ASCII")]
    UnprintableText {
        /// Kind of the name, as in `zone name`.
        kind: &'static str,
    },
    /// A key range that is empty or ends outside the key space.
    #[error("{start}..{end} is not a key range within 0..65536")]
    BadSpan {
        /// First key of the range.
        start: u32,
        /// Key after the last key of the range.
        end: u32,
    },
    /// Text that is not hexadecimal or has the wrong length.
    #[error("the {kind} is not {bytes} bytes of hex")]
    BadHex {
        /// Kind of the value, as in `digest`.
        kind: &'static str,
        /// Expected length after decoding, in bytes.
        bytes: usize,
    },
    /// A field of a bundle or of settings with an invalid value.
    #[error("{field}: {value:?} is not allowed, expected {expected}")]
    BadField {
        /// Path of the field, as in `groups[2].policy.budget_pct`.
        field: String,
        /// The rejected value.
        value: String,
        /// Description of the allowed values.
        expected: &'static str,
    },
    /// YAML or JSON that does not parse, or an unknown key.
    #[error("{file}:{line}: {field}: {problem}")]
    BadText {
        /// Name of the file.
        file: String,
        /// Line, counted from 1; 0 if unknown.
        line: usize,
        /// Path of the field.
        field: String,
        /// Error message of the parser.
        problem: String,
    },
}

impl SchemaError {
    /// Creates a [`SchemaError::BadField`].
    pub fn bad_field(
        field: impl Into<String>,
        value: impl ToString,
        expected: &'static str,
    ) -> Self {
        Self::BadField {
            field: field.into(),
            value: value.to_string(),
            expected,
        }
    }

    /// Converts an error about a value to a [`SchemaError::BadField`] with the path of its field.
    /// Errors that already name a field are returned unchanged.
    pub fn at(self, field: &str, value: &str) -> Self {
        let expected = match self {
            Self::EmptyText { .. } => "a text that is not empty",
            Self::LongText { .. } => "a shorter text",
            Self::UnprintableText { .. } => "printable ASCII without spaces",
            Self::BadSpan { .. } => "a key range within 0..65536",
            Self::BadHex { .. } => "hex of the right length",
            other => return other,
        };
        Self::bad_field(field, value, expected)
    }
}
