//! JSON in which no object names a member twice, at any depth: two readers of such a text may see two texts
//! (RFC 8725, 2.4; RFC 7519, 4).

use std::collections::BTreeSet;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};

struct Unique;

impl<'de> DeserializeSeed<'de> for Unique {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Unique {
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
        while list.next_element_seed(Unique)?.is_some() {}
        Ok(())
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut names = BTreeSet::new();
        while let Some(name) = map.next_key::<String>()? {
            if names.contains(&name) {
                return Err(A::Error::custom(format!("member '{name}' stands twice")));
            }
            names.insert(name);
            map.next_value_seed(Unique)?;
        }
        Ok(())
    }
}

/// Whether a text is JSON without doubled members.
pub(crate) fn check(text: &[u8]) -> Result<(), serde_json::Error> {
    let mut from = serde_json::Deserializer::from_slice(text);
    Unique.deserialize(&mut from)?;
    from.end()
}
