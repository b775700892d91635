//! Decodes a scenario file and reports everything that is wrong with it, each problem with file,
//! line and field.

mod faults;
mod values;

use crate::scenario::{Fault, FaultKind, Scenario};
use crate::{Micros, SECOND};

/// The longest scenario.
const MAX_LENGTH: Micros = 24 * 3600 * SECOND;
/// Limits of what one machine can simulate.
const MAX_SERVERS: usize = 5_000;
const MAX_BALANCERS: usize = 64;
const MAX_REQUESTS_PER_SECOND: f64 = 200_000.0;
const MAX_KEYS: usize = 1_000_000;
const MAX_DISCOVERY_CALLS_PER_SECOND: f64 = 100_000.0;
const MAX_ATTEMPTS: usize = 5;
const MAX_CURVE_MULTIPLE: f64 = 100.0;

/// One thing that is wrong with a scenario file.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {field}: {reason}")]
pub struct ScenarioError {
    /// The file, as the caller named it.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The field, with its table.
    pub field: String,
    /// What is wrong with the value.
    pub reason: String,
}

/// Why a number of balancers does not fit a scenario.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum BalancerCountError {
    /// Zero, or more than one machine can run.
    #[error("must be 1 to {max}")]
    OutOfRange {
        /// The largest valid number.
        max: usize,
    },
    /// A fault names a balancer that would not exist.
    #[error("a fault of the day names balancer {named}, and there would be {count}")]
    NamedByFault {
        /// The balancer's number, from 0.
        named: usize,
        /// The number of balancers asked for.
        count: usize,
    },
}

/// Why a single fault cannot be injected.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultError {
    /// The text is not the TOML of a fault.
    #[error("{0}")]
    Malformed(String),
    /// A field has an invalid value.
    #[error("{field}: {reason}")]
    Invalid {
        /// The field, with its table.
        field: String,
        /// What is wrong with the value.
        reason: String,
    },
    /// The fault affects clients or balancers, of which there are none.
    #[error("kind: {0:?} needs clients or balancers, which are not here")]
    NotAvailable(FaultKind),
}

/// Decodes and checks a scenario; `file` is named in errors.
///
/// # Errors
/// All errors of the scenario; only the first where the text cannot be decoded.
pub fn decode_scenario(text: &str, file: &str) -> Result<Scenario, Vec<ScenarioError>> {
    let mut errors = Validator::new(text, file);
    let scenario: Scenario = match toml::from_str(text) {
        Ok(scenario) => scenario,
        Err(problem) => {
            let offset = problem.span().map_or(0, |span| span.start);
            let field = key_at(text, offset);
            errors.add(offset, &field, problem.message().replace('\n', " "));
            return Err(errors.errors);
        }
    };
    errors.check_values(&scenario);
    if errors.errors.is_empty() {
        errors.check_faults(&scenario);
    }
    if errors.errors.is_empty() {
        Ok(scenario)
    } else {
        Err(errors.errors)
    }
}

/// Replaces the number of balancers of a scenario.
///
/// # Errors
/// Where the number is out of range or a fault names a balancer beyond it; the scenario is then unchanged.
pub fn set_balancer_count(scenario: &mut Scenario, count: usize) -> Result<(), BalancerCountError> {
    if count == 0 || count > MAX_BALANCERS {
        return Err(BalancerCountError::OutOfRange { max: MAX_BALANCERS });
    }
    let mut named = scenario
        .faults
        .iter()
        .flat_map(|fault| fault.get_ref().balancers.iter().flatten());
    if let Some(&named) = named.find(|number| **number >= count) {
        return Err(BalancerCountError::NamedByFault { named, count });
    }
    *scenario.balancers.as_mut() = count;
    Ok(())
}

/// Decodes and checks one fault that is injected while a scenario runs; its `at` counts from `now`.
///
/// # Errors
/// Where the text is no fault, a value is invalid, or its kind needs clients or balancers.
pub fn decode_fault(scenario: &Scenario, text: &str, now: Micros) -> Result<Fault, FaultError> {
    let mut fault: Fault = toml::from_str(text)
        .map_err(|problem| FaultError::Malformed(problem.message().replace('\n', " ")))?;
    let mut errors = Validator::new(text, "fault");
    errors.check_fault(scenario, 0, &fault);
    if let Some(problem) = errors.errors.into_iter().next() {
        let ScenarioError { field, reason, .. } = problem;
        return Err(FaultError::Invalid { field, reason });
    }
    let is_available = fault.kind.affects_servers()
        || matches!(
            fault.kind,
            FaultKind::Grow | FaultKind::DiscoveryUnreachable | FaultKind::DiscoveryStale
        );
    if !is_available {
        return Err(FaultError::NotAvailable(fault.kind));
    }
    fault.at.0 += now;
    Ok(fault)
}

/// The key on the line that contains a byte offset.
fn key_at(text: &str, offset: usize) -> String {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let line_start = text[..offset].rfind('\n').map_or(0, |end| end + 1);
    let line = text[line_start..].lines().next().unwrap_or("");
    line.split('=').next().unwrap_or("").trim().to_owned()
}

/// Validator errors so far in one file.
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

    /// Adds a problem at a byte offset of the file.
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

    /// Adds a problem with a field whose offset is unknown, at the first line of its table that
    /// sets it.
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

    /// Adds a problem where a value is no fraction.
    fn check_fraction(&mut self, table: &str, field: &str, value: f64) {
        if !(0.0..=1.0).contains(&value) {
            self.add_for_key(table, field, format!("{value} is no part of 1"));
        }
    }
}

#[cfg(test)]
mod tests;
