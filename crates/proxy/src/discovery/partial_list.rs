//! Parses endpoint lists that are incomplete: still arriving, or truncated.

use std::fmt;
use std::net::SocketAddr;

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;

#[cfg(test)]
mod tests;

/// The received part of an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartialEntry {
    /// Id of the endpoint.
    pub id: String,
    /// State of the endpoint; `None` where the text ends before it.
    pub state: Option<String>,
    /// Address of the endpoint; `None` where the text ends before it, or if it is malformed.
    pub address: Option<SocketAddr>,
}

/// The received part of an endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartialList {
    /// Version of the list; `None` before it was received.
    pub version: Option<u64>,
    /// Whether this is the complete list rather than a list of changes; `None` before that field
    /// was received.
    pub is_complete: Option<bool>,
    /// The entries whose id was received.
    pub entries: Vec<PartialEntry>,
}

impl PartialList {
    /// Parses a list from its beginning to the point where the text ends or is malformed.
    pub fn read(text: &[u8]) -> Self {
        let mut list = Self::default();
        let mut incomplete = IncompleteEntry::default();
        // Parsing stops at the first error; everything before it was stored.
        let read = ListSeed {
            list: &mut list,
            incomplete: &mut incomplete,
        }
        .deserialize(&mut serde_json::Deserializer::from_slice(text));
        if read.is_err() {
            list.entries.extend(incomplete.take());
        }
        list
    }
}

/// The entry that is being parsed.
#[derive(Default)]
struct IncompleteEntry {
    id: Option<String>,
    state: Option<String>,
    address: Option<SocketAddr>,
}

impl IncompleteEntry {
    /// Takes the fields that were parsed, if they include the id.
    fn take(&mut self) -> Option<PartialEntry> {
        let (state, address) = (self.state.take(), self.address.take());
        self.id.take().map(|id| PartialEntry { id, state, address })
    }
}

struct ListSeed<'a> {
    list: &'a mut PartialList,
    incomplete: &'a mut IncompleteEntry,
}

impl<'de> DeserializeSeed<'de> for ListSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ListSeed<'_> {
    type Value = ();

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("an endpoint list")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "rev" => self.list.version = map.next_value::<Value>()?.as_u64(),
                "all" => self.list.is_complete = map.next_value::<Value>()?.as_bool(),
                "targets" => {
                    let (entries, incomplete) = (&mut self.list.entries, &mut *self.incomplete);
                    map.next_value_seed(EntriesSeed {
                        entries,
                        incomplete,
                    })?;
                }
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        Ok(())
    }
}

struct EntriesSeed<'a> {
    entries: &'a mut Vec<PartialEntry>,
    incomplete: &'a mut IncompleteEntry,
}

impl<'de> DeserializeSeed<'de> for EntriesSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesSeed<'_> {
    type Value = ();

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("a list of entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element_seed(EntrySeed(self.incomplete))?.is_some() {
            self.entries.extend(self.incomplete.take());
        }
        Ok(())
    }
}

struct EntrySeed<'a>(&'a mut IncompleteEntry);

impl<'de> DeserializeSeed<'de> for EntrySeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for EntrySeed<'_> {
    type Value = ();

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("an entry")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let text = |value: Value| value.as_str().map(str::to_owned);
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "uid" => self.0.id = text(map.next_value()?),
                "state" => self.0.state = text(map.next_value()?),
                "endpoint" => {
                    let address = text(map.next_value()?);
                    self.0.address = address.and_then(|address| address.parse().ok());
                }
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        Ok(())
    }
}
