//! Rejects JSON in which an object at any depth has two members of the same name, because parsers differ in which of
//! the two they use (RFC 8725, section 2.4; RFC 7519, section 4).

use std::collections::BTreeSet;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};

/// Visits a JSON value and fails on a duplicate member name.
struct UniqueMembers;

impl<'de> DeserializeSeed<'de> for UniqueMembers {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for UniqueMembers {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("JSON")
    }
    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }
    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }
    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }
    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }
    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }
    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        while list.next_element_seed(UniqueMembers)?.is_some() {}
        Ok(())
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut names = BTreeSet::new();
        while let Some(name) = map.next_key::<String>()? {
            if names.contains(&name) {
                return Err(A::Error::custom(format!("duplicate member '{name}'")));
            }
            names.insert(name);
            map.next_value_seed(UniqueMembers)?;
        }
        Ok(())
    }
}

/// Checks that `text` is JSON without duplicate member names.
pub(crate) fn check(text: &[u8]) -> Result<(), serde_json::Error> {
    let mut from = serde_json::Deserializer::from_slice(text);
    UniqueMembers.deserialize(&mut from)?;
    from.end()
}
