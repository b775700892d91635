//! The request classes since the start. The policy knows classes by their index, so a reload never
//! changes the index of a class: classes are retired and come back.

use pinefront_policy::{Idempotency, IdempotencyScope, RequestClass};

use super::error::ConfigError;

/// Classes since the start, at most.
const MAX_CLASSES: usize = 64;

/// A class of the present settings or of earlier ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownClass {
    /// Its name.
    pub name: String,
    /// Its idempotency when it was first configured.
    pub idempotency: Idempotency,
}

/// The classes since the start, by their index at the policy.
pub(super) struct ClassTable {
    /// As they were first configured.
    pub known: Vec<KnownClass>,
    /// As the policy uses them.
    pub classes: Vec<RequestClass>,
    /// Names that clients may use; blank for a retired class.
    pub names: Vec<String>,
}

impl ClassTable {
    /// Merges the classes of new settings into the known ones. A class that is configured as before
    /// is found again, so that going back and forth between two configurations adds none.
    ///
    /// # Errors
    ///
    /// Fails when there were too many classes since the start.
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

    /// All known classes, retired. Requests of a retired class may be in flight: if a class of that
    /// name is configured differently now, their retries satisfy both.
    fn retired(
        known: &[KnownClass],
        old: &[RequestClass],
        new_names: &[String],
        new: &[RequestClass],
    ) -> Self {
        let retire = |(class, known): (&RequestClass, &KnownClass)| {
            let mut named = new_names.iter().zip(new);
            let namesake = named.find(|(name, _)| **name == known.name);
            let idempotency = namesake.map_or(known.idempotency, |(_, class)| {
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

/// Returns what holds for a request that was received under one idempotency and may be retried
/// under another. Neither of two scopes need contain the other, so a request with both may not be
/// retried.
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
