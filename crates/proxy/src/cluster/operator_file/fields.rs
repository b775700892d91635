//! Conversion of single fields of the operator file.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;

use pinefront_cluster::datagram::Key;
use pinefront_cluster::messages::is_valid_name;
use pinefront_cluster::{Incarnation, Micros};
use toml::Spanned;

use super::FileReader;
use super::error::{FieldError, OperatorFileError, Result};

/// The shortest duration that is useful between processes.
const MIN_DURATION_US: Micros = 5_000;
/// The longest duration that is useful between processes.
const MAX_DURATION_US: Micros = 60_000_000;

impl FileReader<'_> {
    pub(super) fn error(
        &self,
        at: Range<usize>,
        field: &str,
        reason: FieldError,
    ) -> OperatorFileError {
        let newlines = self
            .text
            .bytes()
            .take(at.start)
            .filter(|byte| *byte == b'\n')
            .count();
        OperatorFileError::Field {
            path: self.path.to_owned(),
            line: newlines + 1,
            field: field.to_owned(),
            reason,
        }
    }

    pub(super) fn address(&self, value: &Spanned<String>, field: &str) -> Result<SocketAddr> {
        let text = value.get_ref();
        match text.parse::<SocketAddr>() {
            Ok(address) if address.is_ipv4() => Ok(address),
            _ => {
                let reason = FieldError::InvalidAddress(text.clone());
                Err(self.error(value.span(), field, reason))
            }
        }
    }

    /// Reads an address to which other members can send.
    pub(super) fn reachable_address(
        &self,
        value: &Spanned<String>,
        field: &str,
    ) -> Result<SocketAddr> {
        let address = self.address(value, field)?;
        if address.ip().is_unspecified() || address.port() == 0 {
            let reason = FieldError::UnreachableAddress(address);
            return Err(self.error(value.span(), field, reason));
        }
        Ok(address)
    }

    pub(super) fn name(&self, value: &Spanned<String>, field: &str) -> Result<String> {
        let text = value.get_ref();
        if is_valid_name(text) && !text.contains('"') {
            return Ok(text.clone());
        }
        Err(self.error(value.span(), field, FieldError::InvalidName(text.clone())))
    }

    /// Reads a duration in microseconds, or returns the default if none is given.
    pub(super) fn duration(
        &self,
        value: Option<&Spanned<String>>,
        field: &str,
        default: Micros,
    ) -> Result<Micros> {
        let Some(value) = value else {
            return Ok(default);
        };
        let text = value.get_ref();
        humantime::parse_duration(text)
            .ok()
            .and_then(|duration| Micros::try_from(duration.as_micros()).ok())
            .filter(|duration| (MIN_DURATION_US..=MAX_DURATION_US).contains(duration))
            .ok_or_else(|| {
                self.error(
                    value.span(),
                    field,
                    FieldError::InvalidDuration(text.clone()),
                )
            })
    }

    /// Reads the name and incarnation of a process, as shown by `/fleet`.
    pub(super) fn process(
        &self,
        value: &Spanned<String>,
        field: &str,
    ) -> Result<(Rc<str>, Incarnation)> {
        let text = value.get_ref();
        let parts = text.split_once(' ');
        let Some((name, incarnation)) = parts.filter(|(name, _)| is_valid_name(name)) else {
            let reason = FieldError::InvalidProcess(text.clone());
            return Err(self.error(value.span(), field, reason));
        };
        let parsed = incarnation.parse().map_err(|source| {
            let text = incarnation.to_owned();
            let reason = FieldError::InvalidIncarnation { text, source };
            self.error(value.span(), field, reason)
        })?;
        Ok((name.into(), parsed))
    }

    /// Reads the key from the file at the given path.
    pub(super) fn key(&self, path: &Spanned<String>) -> Result<Key> {
        let field = "fleet.key_file";
        let name = path.get_ref();
        let bytes = std::fs::read(name).map_err(|source| {
            let path_text = name.clone();
            let reason = FieldError::UnreadableKey {
                path: path_text,
                source,
            };
            self.error(path.span(), field, reason)
        })?;
        Key::new(&bytes).map_err(|source| {
            let reason = FieldError::ShortKey {
                path: name.clone(),
                source,
            };
            self.error(path.span(), field, reason)
        })
    }

    pub(super) fn check_count(
        &self,
        values: &[Spanned<String>],
        max: usize,
        field: &str,
    ) -> Result<()> {
        match values.get(max) {
            Some(first_too_many) => {
                let count = values.len();
                let reason = FieldError::TooMany { count, max };
                Err(self.error(first_too_many.span(), field, reason))
            }
            None => Ok(()),
        }
    }
}
