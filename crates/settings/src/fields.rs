//! Reads fields of JSON objects. Errors contain the name of the field.

use serde_json::Value;
use thiserror::Error;

/// The reason why a field of a JSON object could not be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FieldError {
    /// The object has no such field.
    #[error("field '{field}' is missing")]
    Missing {
        /// Name of the field.
        field: String,
    },
    /// The value has another JSON type than expected, or is out of the range of the type.
    #[error("field '{field}' has the wrong type")]
    WrongType {
        /// Name of the field.
        field: String,
    },
    /// The number exceeds the range of `usize`.
    #[error("field '{field}' is too large")]
    TooLarge {
        /// Name of the field.
        field: String,
    },
    /// The string is not one of the known values.
    #[error("field '{field}' holds unknown '{value}'")]
    Unknown {
        /// Name of the field.
        field: String,
        /// Value of the field.
        value: String,
    },
}

impl FieldError {
    /// Creates the error for a field that the object does not have.
    #[must_use]
    pub fn missing(field: &str) -> Self {
        let field = field.to_owned();
        Self::Missing { field }
    }

    /// Creates the error for a string that is not one of the known values.
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
/// The field is missing or is not an unsigned integer.
pub fn unsigned(object: &Value, name: &str) -> Result<u64, FieldError> {
    field(object, name, Value::as_u64)
}

/// Reads a required number.
///
/// # Errors
///
/// The field is missing or is not a number.
pub fn number(object: &Value, name: &str) -> Result<f64, FieldError> {
    field(object, name, Value::as_f64)
}

/// Reads a required string.
///
/// # Errors
///
/// The field is missing or is not a string.
pub fn text<'a>(object: &'a Value, name: &str) -> Result<&'a str, FieldError> {
    field(object, name, Value::as_str)
}

/// Reads a required array.
///
/// # Errors
///
/// The field is missing or is not an array.
pub fn list<'a>(object: &'a Value, name: &str) -> Result<&'a Vec<Value>, FieldError> {
    field(object, name, Value::as_array)
}

/// Reads an optional boolean. A missing or null field counts as `false`.
///
/// # Errors
///
/// The field is not a boolean.
pub fn flag(object: &Value, name: &str) -> Result<bool, FieldError> {
    Ok(optional(object, name, Value::as_bool)?.unwrap_or(false))
}

/// Reads a required object.
///
/// # Errors
///
/// The field is missing or is not an object.
pub fn object<'a>(parent: &'a Value, name: &str) -> Result<&'a Value, FieldError> {
    field(parent, name, |value| value.is_object().then_some(value))
}

/// Reads a required count.
///
/// # Errors
///
/// The field is missing, is not an unsigned integer or exceeds the range of `usize`.
pub fn count(object: &Value, name: &str) -> Result<usize, FieldError> {
    usize::try_from(unsigned(object, name)?).map_err(|_| FieldError::TooLarge {
        field: name.to_owned(),
    })
}
