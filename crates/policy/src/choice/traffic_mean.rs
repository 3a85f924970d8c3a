//! Mean lengths of the requests that arrive at this router.

use crate::interface::{Request, Role};

/// Lowest weight of the newest request in the mean lengths. Until as many requests have arrived,
/// the means are plain averages.
const MIN_LENGTH_WEIGHT: f64 = 0.02;
/// Most that one request counts, in requests of mean work.
const MAX_RELATIVE_WORK: f64 = 100.0;

/// Mean lengths of the requests that arrive at this router.
#[derive(Debug, Default)]
pub(super) struct TrafficMean {
    requests: f64,
    prompt_tokens: f64,
    output_tokens: f64,
}

fn output_tokens(request: &Request) -> f64 {
    request
        .output_tokens
        .map_or(request.max_output_tokens, |expected| expected.mean)
}

impl TrafficMean {
    /// Counts a request that arrives.
    pub fn record_arrival(&mut self, request: &Request) {
        self.requests += 1.0;
        let weight = MIN_LENGTH_WEIGHT.max(1.0 / self.requests);
        self.prompt_tokens += weight * (request.prompt_tokens - self.prompt_tokens);
        self.output_tokens += weight * (output_tokens(request) - self.output_tokens);
    }

    /// Work of a request at servers of a role, in requests of mean work.
    pub fn relative_work(&self, request: &Request, role: Role) -> f64 {
        let relative = |tokens: f64, mean: f64| {
            if mean > 0.0 {
                tokens / mean
            } else {
                1.0
            }
        };
        let prefill = relative(request.prompt_tokens, self.prompt_tokens);
        let decode = relative(output_tokens(request), self.output_tokens);
        let work = match role {
            Role::Prefill => prefill,
            Role::Decode => decode,
            Role::Mixed => prefill.max(decode),
        };
        work.clamp(0.0, MAX_RELATIVE_WORK)
    }
}
