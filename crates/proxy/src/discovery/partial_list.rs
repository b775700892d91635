//! Reads what has come of an endpoint list that is incomplete, or stays so.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;

#[cfg(test)]
mod tests;

/// An entry as far as it was received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartialEntry {
    /// The id of the endpoint.
    pub id: String,
    /// Its state; none where the text ends before it.
    pub state: Option<String>,
}

/// A list as far as it was received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartialList {
    /// Its version, once that is known.
    pub version: Option<u64>,
    /// Whether it is the complete list and not only what changed, once that is known.
    pub is_complete: Option<bool>,
    /// Entries of which at least the id was received.
    pub entries: Vec<PartialEntry>,
}

impl PartialList {
    /// Reads a list from its beginning up to where the text ends or is malformed.
    pub fn read(text: &[u8]) -> Self {
        let mut list = Self::default();
        let mut open = Open::default();
        // An error is the end of what can be read.
        let read = ListSeed {
            list: &mut list,
            open: &mut open,
        }
        .deserialize(&mut serde_json::Deserializer::from_slice(text));
        if read.is_err() {
            list.entries.extend(open.take());
        }
        list
    }
}

/// The entry that is being read.
#[derive(Default)]
struct Open {
    id: Option<String>,
    state: Option<String>,
}

impl Open {
    /// Takes what was read of it, if that includes its id.
    fn take(&mut self) -> Option<PartialEntry> {
        let state = self.state.take();
        self.id.take().map(|id| PartialEntry { id, state })
    }
}

struct ListSeed<'a> {
    list: &'a mut PartialList,
    open: &'a mut Open,
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
        out.write_str("a list of servers")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "rev" => self.list.version = map.next_value::<Value>()?.as_u64(),
                "all" => self.list.is_complete = map.next_value::<Value>()?.as_bool(),
                "targets" => {
                    let (entries, open) = (&mut self.list.entries, &mut *self.open);
                    map.next_value_seed(EntriesSeed { entries, open })?;
                }
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        Ok(())
    }
}

struct EntriesSeed<'a> {
    entries: &'a mut Vec<PartialEntry>,
    open: &'a mut Open,
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
        out.write_str("entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        while seq.next_element_seed(EntrySeed(self.open))?.is_some() {
            self.entries.extend(self.open.take());
        }
        Ok(())
    }
}

struct EntrySeed<'a>(&'a mut Open);

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
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        Ok(())
    }
}
