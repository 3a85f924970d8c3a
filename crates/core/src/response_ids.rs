//! Response ids. They contain the number of the dispatcher's run and of the request, and an authentication tag, so that
//! clients can neither forge nor guess one.

use bitternlatch_policy::interface::RequestId;

/// Bytes of the authentication tag in a response id; 16 bytes cannot be guessed.
const TAG_BYTES: usize = 16;

/// Makes and verifies the response ids of one run of a dispatcher, from its start to its end. The secret is derived
/// from the run's seed, which no id reveals: the run's number and the tags are keyed BLAKE3 hashes.
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

    /// Number of this run of the dispatcher, as it appears in ids.
    pub(crate) fn instance(&self) -> u64 {
        self.instance
    }

    /// The id of a request's response, as clients see it.
    pub(crate) fn response_id(&self, request: RequestId) -> String {
        let tag = blake3::keyed_hash(&self.secret, &request.to_le_bytes()).to_hex();
        format!(
            "resp_{:016x}{request:08x}{}",
            self.instance,
            &tag[..2 * TAG_BYTES]
        )
    }

    /// The request that a response id of this run belongs to; `None` for any other text.
    pub(crate) fn parse_response_id(&self, id: &str) -> Option<RequestId> {
        let number = id.strip_prefix("resp_")?.get(16..24)?;
        let request = u32::from_str_radix(number, 16).ok()?;
        (self.response_id(request) == id).then_some(request)
    }
}

#[cfg(test)]
mod tests;
