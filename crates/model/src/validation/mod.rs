//! Decodes and validates scenario files. All errors of a file are reported, each with file, line
//! and field.

mod faults;
mod values;

use crate::scenario::{Fault, FaultKind, Scenario};
use crate::{Micros, SECOND};

/// Maximum length of a scenario, in microseconds (24 hours).
const MAX_LENGTH_US: Micros = 24 * 3600 * SECOND;
// The following limits bound a scenario to the size that one host can simulate.
const MAX_SERVERS: usize = 5_000;
const MAX_BALANCERS: usize = 64;
const MAX_REQUESTS_PER_SECOND: f64 = 200_000.0;
const MAX_KEYS: usize = 1_000_000;
const MAX_DISCOVERY_CALLS_PER_SECOND: f64 = 100_000.0;
const MAX_ATTEMPTS: usize = 5;
const MAX_CURVE_MULTIPLE: f64 = 100.0;

/// One error in a scenario file.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {field}: {reason}")]
pub struct ScenarioError {
    /// Name of the file, as passed by the caller.
    pub file: String,
    /// Number of the line, starting at 1.
    pub line: usize,
    /// Name of the field, with its table.
    pub field: String,
    /// The reason why the value is invalid.
    pub reason: String,
}

/// The reason why a number of balancers is invalid for a scenario.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum BalancerCountError {
    /// The number is zero, or more than one host can run.
    #[error("must be 1 to {max}, but is {count}")]
    OutOfRange {
        /// The requested number of balancers.
        count: usize,
        /// The largest valid number.
        max: usize,
    },
    /// A fault selects a balancer that would not exist.
    #[error("a fault of the scenario selects balancer {selected}: expected a number below {count}")]
    SelectedByFault {
        /// Number of the selected balancer, starting at 0.
        selected: usize,
        /// The requested number of balancers.
        count: usize,
    },
}

/// The reason why a single fault cannot be injected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultError {
    /// The text is not the TOML of a fault.
    #[error("{0}")]
    Malformed(String),
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Invalid {
        /// Name of the field, with its table.
        field: String,
        /// The reason why the value is invalid.
        reason: String,
    },
    /// The fault affects clients or balancers, which the caller does not run.
    #[error("kind: '{0}' requires clients or balancers, which do not run here")]
    NotSupported(FaultKind),
}

/// Decodes and validates a scenario. Errors contain `file` as the name of the file.
///
/// # Errors
/// All errors of the scenario, or only the first one if the text cannot be decoded.
pub fn decode_scenario(text: &str, file: &str) -> Result<Scenario, Vec<ScenarioError>> {
    let mut validator = Validator::new(text, file);
    let scenario: Scenario = match toml::from_str(text) {
        Ok(scenario) => scenario,
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            let field = key_at(text, offset);
            validator.add(offset, &field, error.message().replace('\n', " "));
            return Err(validator.errors);
        }
    };
    validator.check_values(&scenario);
    if validator.errors.is_empty() {
        validator.check_faults(&scenario);
    }
    if validator.errors.is_empty() {
        Ok(scenario)
    } else {
        Err(validator.errors)
    }
}

/// Replaces the number of balancers of a scenario.
///
/// # Errors
/// The number is out of range, or a fault selects a balancer that would not exist. The scenario is
/// unchanged then.
pub fn set_balancer_count(scenario: &mut Scenario, count: usize) -> Result<(), BalancerCountError> {
    if count == 0 || count > MAX_BALANCERS {
        let max = MAX_BALANCERS;
        return Err(BalancerCountError::OutOfRange { count, max });
    }
    let mut selected = scenario
        .faults
        .iter()
        .flat_map(|fault| fault.get_ref().balancers.iter().flatten());
    if let Some(&selected) = selected.find(|number| **number >= count) {
        return Err(BalancerCountError::SelectedByFault { selected, count });
    }
    *scenario.balancers.as_mut() = count;
    Ok(())
}

/// Decodes and validates one fault that is injected while a scenario runs. Its `at` is relative to
/// `now`.
///
/// # Errors
/// The text is not a fault, a value is invalid, or the kind of fault requires clients or balancers.
pub fn decode_fault(scenario: &Scenario, text: &str, now: Micros) -> Result<Fault, FaultError> {
    let mut fault: Fault = toml::from_str(text)
        .map_err(|error| FaultError::Malformed(error.message().replace('\n', " ")))?;
    let mut validator = Validator::new(text, "fault");
    validator.check_fault(scenario, 0, &fault);
    if let Some(error) = validator.errors.into_iter().next() {
        let ScenarioError { field, reason, .. } = error;
        return Err(FaultError::Invalid { field, reason });
    }
    let is_supported = fault.kind.affects_servers()
        || matches!(
            fault.kind,
            FaultKind::Grow | FaultKind::DiscoveryUnreachable | FaultKind::DiscoveryStale
        );
    if !is_supported {
        return Err(FaultError::NotSupported(fault.kind));
    }
    fault.at.0 += now;
    Ok(fault)
}

/// Returns the key on the line that contains a byte offset.
fn key_at(text: &str, offset: usize) -> String {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let line_start = text[..offset].rfind('\n').map_or(0, |end| end + 1);
    let line = text[line_start..].lines().next().unwrap_or("");
    line.split('=').next().unwrap_or("").trim().to_owned()
}

/// Validates one file and collects its errors.
struct Validator<'a> {
    text: &'a str,
    file: &'a str,
    errors: Vec<ScenarioError>,
}

impl<'a> Validator<'a> {
    fn new(text: &'a str, file: &'a str) -> Self {
        Self {
            text,
            file,
            errors: Vec::new(),
        }
    }

    /// Adds an error at a byte offset of the file.
    fn add(&mut self, offset: usize, field: &str, reason: impl Into<String>) {
        let line_ends = self.text.bytes().take(offset);
        let line = line_ends.filter(|byte| *byte == b'\n').count() + 1;
        self.errors.push(ScenarioError {
            file: self.file.to_owned(),
            line,
            field: field.to_owned(),
            reason: reason.into(),
        });
    }

    /// Adds an error of a field whose offset is unknown. Its line is the first one of the table
    /// that sets the field, or the first line of the table.
    fn add_for_key(&mut self, table: &str, field: &str, reason: impl Into<String>) {
        let table_start = self.text.find(&format!("[{table}]")).unwrap_or(0);
        let mut offset = table_start;
        for line in self.text[table_start..].split_inclusive('\n') {
            let key = line.split('=').next();
            if key.is_some_and(|key| key.trim() == field) {
                return self.add(offset, &format!("{table}.{field}"), reason);
            }
            offset += line.len();
        }
        self.add(table_start, &format!("{table}.{field}"), reason);
    }

    /// Adds an error if a value is not a fraction of 1.
    fn check_fraction(&mut self, table: &str, field: &str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            self.add_for_key(table, field, format!("must be 0 to 1, but is {value}"));
        }
    }
}

#[cfg(test)]
mod tests;
