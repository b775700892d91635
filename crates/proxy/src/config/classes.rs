//! All request classes since the start of the process. The policy identifies classes by their
//! index, so a reload never changes the index of a class. Removed classes are retired, and
//! reactivated if they are configured again.

use pinefront_policy::{Idempotency, IdempotencyScope, RequestClass};

use super::error::ConfigError;

/// Maximum number of request classes since the start of the process.
const MAX_CLASSES: usize = 64;

/// A request class of the current settings or of earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownClass {
    /// Name of the class.
    pub name: String,
    /// Idempotency of the class when it was first configured.
    pub idempotency: Idempotency,
}

/// All request classes since the start of the process, by the index that the policy uses.
pub(super) struct ClassTable {
    /// The classes as they were first configured.
    pub known: Vec<KnownClass>,
    /// The classes as the policy uses them.
    pub classes: Vec<RequestClass>,
    /// The names that clients may use; empty for a retired class.
    pub names: Vec<String>,
}

impl ClassTable {
    /// Merges the classes of new settings into the known ones. A class that is configured as before
    /// reuses its index, so that switching between two configurations repeatedly adds no classes.
    ///
    /// # Errors
    ///
    /// Fails when there were too many classes since the start of the process.
    pub fn merge(
        known: &[KnownClass],
        old: &[RequestClass],
        new_names: &[String],
        new: Vec<RequestClass>,
    ) -> Result<Self, ConfigError> {
        let mut table = Self::retired(known, old, new_names, &new);
        for (name, class) in new_names.iter().zip(new) {
            table.add(name, class);
        }
        if table.known.len() > MAX_CLASSES {
            return Err(ConfigError::TooManyClasses(MAX_CLASSES));
        }
        Ok(table)
    }

    /// Returns the table with all known classes retired. Requests of a retired class may be in
    /// flight. If a class of the same name has another idempotency now, their retries comply with
    /// both.
    fn retired(
        known: &[KnownClass],
        old: &[RequestClass],
        new_names: &[String],
        new: &[RequestClass],
    ) -> Self {
        let retire = |(class, known): (&RequestClass, &KnownClass)| {
            let mut named = new_names.iter().zip(new);
            let same_name = named.find(|(name, _)| **name == known.name);
            let idempotency = same_name.map_or(known.idempotency, |(_, class)| {
                stricter(known.idempotency, class.idempotency)
            });
            RequestClass {
                idempotency,
                priority_weight: 0.0,
                ..class.clone()
            }
        };
        Self {
            known: known.to_vec(),
            classes: old.iter().zip(known).map(retire).collect(),
            names: vec![String::new(); known.len()],
        }
    }

    fn add(&mut self, name: &str, class: RequestClass) {
        let known = KnownClass {
            name: name.to_owned(),
            idempotency: class.idempotency,
        };
        if let Some(index) = self.known.iter().position(|other| *other == known) {
            self.classes[index] = class;
            name.clone_into(&mut self.names[index]);
        } else {
            self.known.push(known);
            self.classes.push(class);
            self.names.push(name.to_owned());
        }
    }
}

/// Returns the idempotency of a request that was received under one idempotency and may be retried
/// under another. Neither of two different scopes is known to contain the other, so a request to
/// which both apply is not retried.
pub(super) fn stricter(one: Idempotency, other: Idempotency) -> Idempotency {
    match (one, other) {
        (Idempotency::Idempotent, other) | (other, Idempotency::Idempotent) => other,
        (
            Idempotency::IdempotencyKey { scope, window },
            Idempotency::IdempotencyKey {
                scope: other_scope,
                window: other_window,
            },
        ) => {
            let window = window.min(other_window);
            match (scope, other_scope) {
                (IdempotencyScope::All, scope) | (scope, IdempotencyScope::All) => {
                    Idempotency::IdempotencyKey { scope, window }
                }
                (scope, other) if scope == other => Idempotency::IdempotencyKey { scope, window },
                _ => Idempotency::NonIdempotent,
            }
        }
        _ => Idempotency::NonIdempotent,
    }
}
