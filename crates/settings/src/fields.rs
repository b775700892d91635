//! Fields of JSON objects, with errors that name them.

use serde_json::Value;
use thiserror::Error;

/// Why a field of a JSON object could not be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FieldError {
    /// The object has no such field.
    #[error("field '{field}' is missing")]
    Missing {
        /// Name of the field.
        field: String,
    },
    /// The value is of another JSON type, or not in the range of the type.
    #[error("field '{field}' has the wrong type")]
    WrongType {
        /// Name of the field.
        field: String,
    },
    /// The number does not fit into the machine's word.
    #[error("field '{field}' is too large")]
    TooLarge {
        /// Name of the field.
        field: String,
    },
    /// The text is none of the known values.
    #[error("field '{field}' holds unknown '{value}'")]
    Unknown {
        /// Name of the field.
        field: String,
        /// Its value.
        value: String,
    },
}

impl FieldError {
    /// The error for a field that the object does not have.
    #[must_use]
    pub fn missing(field: &str) -> Self {
        let field = field.to_owned();
        Self::Missing { field }
    }

    /// The error for a text that is none of the known values.
    #[must_use]
    pub fn unknown(field: &str, value: &str) -> Self {
        Self::Unknown {
            field: field.to_owned(),
            value: value.to_owned(),
        }
    }
}

/// Reads a required field.
///
/// # Errors
///
/// The field is missing, or `read` does not accept its value.
pub fn field<'a, T>(
    object: &'a Value,
    name: &str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Result<T, FieldError> {
    let value = object.get(name).ok_or_else(|| FieldError::missing(name))?;
    read(value).ok_or_else(|| FieldError::WrongType {
        field: name.to_owned(),
    })
}

/// Reads a field that may be missing or null.
///
/// # Errors
///
/// `read` does not accept its value.
pub fn optional<'a, T>(
    object: &'a Value,
    name: &str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Result<Option<T>, FieldError> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(_) => field(object, name, read).map(Some),
    }
}

/// Reads a required unsigned integer.
///
/// # Errors
///
/// The field is missing or no unsigned integer.
pub fn unsigned(object: &Value, name: &str) -> Result<u64, FieldError> {
    field(object, name, Value::as_u64)
}

/// Reads a required number.
///
/// # Errors
///
/// The field is missing or no number.
pub fn number(object: &Value, name: &str) -> Result<f64, FieldError> {
    field(object, name, Value::as_f64)
}

/// Reads a required string.
///
/// # Errors
///
/// The field is missing or no string.
pub fn text<'a>(object: &'a Value, name: &str) -> Result<&'a str, FieldError> {
    field(object, name, Value::as_str)
}

/// Reads a required array.
///
/// # Errors
///
/// The field is missing or no array.
pub fn list<'a>(object: &'a Value, name: &str) -> Result<&'a Vec<Value>, FieldError> {
    field(object, name, Value::as_array)
}

/// Reads an optional boolean; `false` without it.
///
/// # Errors
///
/// The field is no boolean.
pub fn flag(object: &Value, name: &str) -> Result<bool, FieldError> {
    Ok(optional(object, name, Value::as_bool)?.unwrap_or(false))
}

/// Reads a required object.
///
/// # Errors
///
/// The field is missing or no object.
pub fn object<'a>(parent: &'a Value, name: &str) -> Result<&'a Value, FieldError> {
    field(parent, name, |value| value.is_object().then_some(value))
}

/// Reads a required count.
///
/// # Errors
///
/// The field is missing, no unsigned integer, or too large.
pub fn count(object: &Value, name: &str) -> Result<usize, FieldError> {
    usize::try_from(unsigned(object, name)?).map_err(|_| FieldError::TooLarge {
        field: name.to_owned(),
    })
}
