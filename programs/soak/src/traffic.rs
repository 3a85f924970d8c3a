//! How the requests of a day are dealt out: their rate over time and processes, their sizes and their prefixes.

use crate::draw::Chance;
use crate::faults::Fault;

/// Prompt and output tokens of a request of mean work.
pub const MEAN_PROMPT_TOKENS: f64 = 500.0;
pub const MEAN_OUTPUT_TOKENS: f64 = 100.0;
/// Mean work of an answer of each class where ceilings tell nothing, as a multiple of the mean of all requests.
const HIDDEN_SAFE_WORK: f64 = 0.5;
const HIDDEN_UNSAFE_WORK: f64 = 1.75;
/// Ceiling of every request there, tokens.
const HIDDEN_CEILING_TOKENS: f64 = 800.0;
/// Headers that tell the mock servers alone how long an answer is, and what the rule on cold servers weighs it as, tokens.
const OUTPUT_HEADER: &str = "mock-output-tokens";
const WEIGHED_HEADER: &str = "mock-weighed-tokens";
/// Fraction of the requests that have the hot prefix, and its tokens.
const HOT_FRACTION: f64 = 0.6;
const HOT_PREFIX_TOKENS: f64 = 300.0;
/// Rate in a lull and in a burst, as multiples of the usual one.
const LULL_RATE: f64 = 0.05;
const BURST_RATE: f64 = 3.0;
/// Rates of the first process and of all others under skewed traffic, as multiples of an even share.
const SKEWED_REST: f64 = 0.1;
/// Begin and end of the lull in which servers start, seconds of the day.
const QUIET_LULL_S: (f64, f64) = (2.0, 11.0);
/// Shortest and longest lull and burst, seconds.
const LULL_S: (f64, f64) = (5.0, 9.0);
const BURST_S: (f64, f64) = (2.0, 4.0);

/// A lull that ends in a burst; seconds from the day's begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Burst {
    pub lull_from_s: f64,
    pub from_s: f64,
    pub to_s: f64,
}

/// What a seed draws of the traffic.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Traffic {
    pub bursts: Vec<Burst>,
    pub heavy_requests: bool,
    pub hot_prefix: bool,
    pub hidden_lengths: bool,
    pub client_retries: u32,
    pub skewed: bool,
}

/// Size of one request, and its prefix if it shares one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    pub prompt_tokens: f64,
    pub output_tokens: f64,
    /// The most that the request may produce, as its client says.
    pub ceiling_tokens: f64,
    /// What the rule weighs the answer as: on a cold server each request weighs as the mean work of its class, where its
    /// own is told to nobody.
    pub weighed_tokens: f64,
    pub prefix: Option<u64>,
}

impl Traffic {
    pub fn draw(faults: &[Fault], length_s: f64, chance: &mut Chance) -> Traffic {
        let mut bursts = Vec::new();
        if faults.contains(&Fault::Burst) {
            let lull_from_s = chance.between(1.5, 0.25 * length_s);
            let from_s = lull_from_s + chance.between(LULL_S.0, LULL_S.1);
            let to_s = from_s + chance.between(BURST_S.0, BURST_S.1);
            bursts.push(Burst {
                lull_from_s,
                from_s,
                to_s,
            });
        }
        if faults.contains(&Fault::QuietStart) {
            bursts.push(Burst {
                lull_from_s: QUIET_LULL_S.0,
                from_s: QUIET_LULL_S.1,
                to_s: length_s,
            });
        }
        Traffic {
            bursts,
            heavy_requests: faults.contains(&Fault::HeavyRequests),
            hidden_lengths: faults.contains(&Fault::HiddenLengths),
            hot_prefix: faults.contains(&Fault::HotPrefix),
            client_retries: 2 * u32::from(faults.contains(&Fault::ClientRetry)),
            skewed: faults.contains(&Fault::Skew),
        }
    }

    /// Rate at a process and time, as a multiple of the usual one.
    pub fn rate(&self, process: usize, processes: usize, at_s: f64) -> f64 {
        let mut rate = 1.0;
        for burst in &self.bursts {
            if (burst.lull_from_s..burst.from_s).contains(&at_s) {
                rate = LULL_RATE;
            } else if (burst.from_s..burst.to_s).contains(&at_s) {
                rate = BURST_RATE;
            }
        }
        if self.skewed && processes > 1 {
            let others = SKEWED_REST * (processes - 1) as f64;
            rate *= if process == 0 {
                processes as f64 - others
            } else {
                SKEWED_REST
            };
        }
        rate
    }

    /// Size of the next request; `None` if all requests of the day are alike.
    pub fn size(&self, is_unsafe: bool, chance: &mut Chance) -> Option<Size> {
        if !self.heavy_requests && !self.hot_prefix && !self.hidden_lengths {
            return None;
        }
        let class_work = match is_unsafe {
            _ if !self.hidden_lengths => 1.0,
            true => HIDDEN_UNSAFE_WORK,
            false => HIDDEN_SAFE_WORK,
        };
        let mut relative = || {
            if self.heavy_requests {
                // An exponential draw of mean 1.
                -(1.0 - chance.share()).ln()
            } else {
                1.0
            }
        };
        let prompt_tokens = (MEAN_PROMPT_TOKENS * relative()).max(1.0);
        let output_tokens = (MEAN_OUTPUT_TOKENS * class_work * relative()).max(1.0);
        let (ceiling_tokens, weighed_tokens) = if self.hidden_lengths {
            (HIDDEN_CEILING_TOKENS, MEAN_OUTPUT_TOKENS * class_work)
        } else {
            (output_tokens, output_tokens)
        };
        let is_hot = chance.happens(HOT_FRACTION);
        let prefix = self.hot_prefix.then(|| {
            if is_hot {
                1
            } else {
                2 + chance.below(20) as u64
            }
        });
        Some(Size {
            prompt_tokens,
            output_tokens,
            ceiling_tokens,
            weighed_tokens,
            prefix,
        })
    }
}

impl Size {
    /// The headers that tell it: to the dispatcher as on the platform, and the length of the answer to the mock servers.
    pub fn header(&self) -> String {
        let (prompt, output, ceiling) =
            (self.prompt_tokens, self.output_tokens, self.ceiling_tokens);
        let prefix = self.prefix.map_or(String::new(), |prefix| {
            let tokens = HOT_PREFIX_TOKENS.min(prompt - 1.0).max(0.0);
            format!("prefix={prefix:016x},prefix_len={tokens:.0},")
        });
        format!(
            "Req-Extra: {prefix}prompt_len={prompt:.0},max_out={ceiling:.0}\r\n{OUTPUT_HEADER}: {output:.0}\r\n\
             {WEIGHED_HEADER}: {:.0}\r\n",
            self.weighed_tokens
        )
    }
}

/// What a request tells a mock server of its size, tokens; `None` if it is of mean work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    pub prompt_tokens: Option<f64>,
    pub output_tokens: Option<f64>,
    pub weighed_tokens: Option<f64>,
}

impl Work {
    /// Reads it from the fields of a request's head.
    pub fn read(field: impl Fn(&str) -> Option<String>) -> Work {
        let extra = field("req-extra:").unwrap_or_default();
        let prompt = extra
            .split(',')
            .find_map(|part| part.trim().strip_prefix("prompt_len="));
        let told = |name: &str| field(&format!("{name}:")).and_then(|text| text.parse().ok());
        Work {
            prompt_tokens: prompt.and_then(|text| text.parse().ok()),
            output_tokens: told(OUTPUT_HEADER),
            weighed_tokens: told(WEIGHED_HEADER),
        }
    }

    /// Work at a server of a role, in requests of mean work.
    pub fn at(&self, decode: bool) -> f64 {
        if decode {
            relative(self.output_tokens, MEAN_OUTPUT_TOKENS)
        } else {
            relative(self.prompt_tokens, MEAN_PROMPT_TOKENS)
        }
    }

    /// What the rule on cold servers weighs it as, in requests of mean work.
    pub fn weight(&self, decode: bool) -> f64 {
        if decode {
            relative(self.weighed_tokens, MEAN_OUTPUT_TOKENS)
        } else {
            self.at(decode)
        }
    }
}

fn relative(tokens: Option<f64>, mean: f64) -> f64 {
    tokens.map_or(1.0, |tokens| tokens / mean)
}
