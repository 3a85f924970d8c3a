//! The recent conversations that a request may continue with `previous_response_id`, limited in bytes and age.

use std::collections::BTreeMap;

use crate::types::Micros;

/// A finished response that a later request may continue.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Context {
    pub tenant: u32,
    /// Who may continue the conversation, as for [`crate::idempotency::Key`].
    pub owner: String,
    /// Key of the conversation, the same for all its turns.
    pub conversation: u64,
    /// The prompt, which contains all earlier turns, and the answer.
    pub text: String,
    pub created_at: Micros,
}

/// A stored context with its place in the order of eviction.
struct CachedContext {
    /// Position of the context in the order of insertion.
    insertion_order: u64,
    context: Context,
}

/// Contexts by response id, limited in bytes and age. The oldest is evicted first; a request that continues an evicted
/// one gets the error `previous_response_not_found`.
pub(crate) struct Contexts {
    /// Limit on bytes of stored conversation text.
    max_bytes: usize,
    /// Bytes of stored conversation text now.
    bytes: usize,
    cached: BTreeMap<String, CachedContext>,
    /// Response ids, oldest first.
    by_insertion_order: BTreeMap<u64, String>,
    last_order: u64,
}

impl Contexts {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Contexts {
            max_bytes,
            bytes: 0,
            cached: BTreeMap::new(),
            by_insertion_order: BTreeMap::new(),
            last_order: 0,
        }
    }

    /// The context of a response, if it belongs to this tenant and owner.
    pub(crate) fn find(&self, id: &str, tenant: u32, owner: &str) -> Option<&Context> {
        self.cached
            .get(id)
            .map(|c| &c.context)
            .filter(|c| c.tenant == tenant && c.owner == owner)
    }

    /// Stores a context and evicts the oldest ones beyond the byte limit. A context larger than the limit is not
    /// stored.
    pub(crate) fn insert(&mut self, id: &str, context: Context) {
        if context.text.len() > self.max_bytes {
            return;
        }
        self.bytes += context.text.len();
        self.last_order += 1;
        self.by_insertion_order
            .insert(self.last_order, id.to_string());
        let entry = CachedContext {
            insertion_order: self.last_order,
            context,
        };
        if let Some(old) = self.cached.insert(id.to_string(), entry) {
            self.bytes -= old.context.text.len();
            self.by_insertion_order.remove(&old.insertion_order);
        }
        while self.bytes > self.max_bytes && self.evict_oldest() {}
    }

    /// Evicts the contexts that were created before a time.
    pub(crate) fn sweep(&mut self, before: Micros) {
        let has_expired = |c: &Self| {
            let oldest = c
                .by_insertion_order
                .first_key_value()
                .and_then(|(_, id)| c.cached.get(id));
            oldest.is_some_and(|entry| entry.context.created_at < before)
        };
        while has_expired(self) && self.evict_oldest() {}
    }

    /// Evicts the oldest context; false where there is none.
    fn evict_oldest(&mut self) -> bool {
        let Some((_, id)) = self.by_insertion_order.pop_first() else {
            return false;
        };
        if let Some(old) = self.cached.remove(&id) {
            self.bytes -= old.context.text.len();
        }
        true
    }
}

#[cfg(test)]
mod tests;
