//! Ids that clients see: they tell their run and request to this dispatcher, and cannot be made by anybody else.

use bitternlatch_policy::interface::RequestId;

/// Bytes of the tag that makes an id's guess hopeless.
const TAG_BYTES: usize = 16;

/// Makes and reads the ids of one run. Its secret comes of the run's seed, which is no part of any id: the run's
/// number and the tags are both keyed hashes (BLAKE3) of it.
pub(crate) struct ResponseIds {
    secret: [u8; 32],
    instance: u64,
}

impl ResponseIds {
    pub(crate) fn new(name: &str, seed: u64) -> ResponseIds {
        let derive = |context| {
            let mut hash = blake3::Hasher::new_derive_key(context);
            hash.update(&seed.to_le_bytes()).update(name.as_bytes());
            *hash.finalize().as_bytes()
        };
        let number = derive("bitternlatch 2026 number of a run");
        let instance = u64::from_le_bytes(std::array::from_fn(|i| number[i]));
        ResponseIds {
            secret: derive("bitternlatch 2026 ids of responses"),
            instance,
        }
    }

    /// Number of the run.
    pub(crate) fn instance(&self) -> u64 {
        self.instance
    }

    /// Id of a response, as clients see it.
    pub(crate) fn response_id(&self, request: RequestId) -> String {
        let tag = blake3::keyed_hash(&self.secret, &request.to_le_bytes()).to_hex();
        format!(
            "resp_{:016x}{request:08x}{}",
            self.instance,
            &tag[..2 * TAG_BYTES]
        )
    }

    /// The request of an id that this run made; `None` for any other text.
    pub(crate) fn parse_response_id(&self, id: &str) -> Option<RequestId> {
        let number = id.strip_prefix("resp_")?.get(16..24)?;
        let request = u32::from_str_radix(number, 16).ok()?;
        (self.response_id(request) == id).then_some(request)
    }
}

#[cfg(test)]
mod tests;
