//! Fields of JSON objects, with messages that name them.

use serde_json::Value;

pub type Decoded<T> = Result<T, String>;

pub fn field<'a, T>(
    object: &'a Value,
    name: &str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Decoded<T> {
    match object.get(name) {
        None => Err(format!("field '{name}' is missing")),
        Some(value) => read(value).ok_or_else(|| format!("field '{name}' has the wrong type")),
    }
}

pub fn optional<'a, T>(
    object: &'a Value,
    name: &str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Decoded<Option<T>> {
    match object.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(_) => field(object, name, read).map(Some),
    }
}

pub fn whole(object: &Value, name: &str) -> Decoded<u64> {
    field(object, name, Value::as_u64)
}
pub fn number(object: &Value, name: &str) -> Decoded<f64> {
    field(object, name, Value::as_f64)
}
pub fn text<'a>(object: &'a Value, name: &str) -> Decoded<&'a str> {
    field(object, name, Value::as_str)
}
pub fn list<'a>(object: &'a Value, name: &str) -> Decoded<&'a Vec<Value>> {
    field(object, name, Value::as_array)
}
pub fn flag(object: &Value, name: &str) -> Decoded<bool> {
    Ok(optional(object, name, Value::as_bool)?.unwrap_or(false))
}
pub fn part<'a>(object: &'a Value, name: &str) -> Decoded<&'a Value> {
    field(object, name, |value| value.is_object().then_some(value))
}
pub fn count(object: &Value, name: &str) -> Decoded<usize> {
    usize::try_from(whole(object, name)?).map_err(|_| format!("field '{name}' is too large"))
}
