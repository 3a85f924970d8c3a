//! What stand-ins are made from.

use bitternlatch_engine::Constants;
use serde::Deserialize;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Reader,
    Writer,
    Mixed,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostConfig {
    pub name: String,
    /// Address to listen on; port 0 takes a free one.
    pub listen: String,
    pub role: Role,
    /// Answers written at once.
    #[serde(default = "slots")]
    pub slots: usize,
    /// Requests that may wait.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Tokens of read state that fit.
    #[serde(default = "memory")]
    pub memory_tokens: u64,
    #[serde(default = "read_rate")]
    pub read_tokens_per_s: f64,
    #[serde(default = "gap")]
    pub token_gap_s: f64,
    #[serde(default = "transfer")]
    pub transfer_tokens_per_s: f64,
    /// Prompt tokens that stay for prompts that begin alike, in all; as much as `memory_tokens`: in the memory that is free.
    #[serde(default = "cache")]
    pub prefix_cache_tokens: u64,
    /// Seconds that each running answer adds to a token's step.
    #[serde(default)]
    pub sequence_step_s: f64,
}

/// Tokens of a block of memory, and of a prompt that is kept or not.
pub(crate) const BLOCK_TOKENS: u64 = 64;

impl HostConfig {
    /// What its engine is made of: a read alone takes its tokens by the rate, an answer alone one gap a token.
    pub fn constants(&self) -> Constants {
        Constants {
            slots: self.slots,
            queue: self.queue,
            memory_tokens: self.memory_tokens,
            block_tokens: BLOCK_TOKENS,
            cache_tokens: self.prefix_cache_tokens,
            write_step_s: self.token_gap_s,
            sequence_s: self.sequence_step_s,
            read_tokens_per_s: self.read_tokens_per_s,
            transfer_tokens_per_s: self.transfer_tokens_per_s,
            ..Constants::default()
        }
    }

    /// Seconds of the whole host that one token of an answer stands for when all slots are in use.
    pub fn token_share_s(&self) -> f64 {
        self.token_gap_s / self.slots as f64 + self.sequence_step_s
    }
}

fn slots() -> usize {
    64
}
fn queue() -> usize {
    40
}
fn memory() -> u64 {
    200_000
}
fn read_rate() -> f64 {
    18_000.0
}
fn gap() -> f64 {
    0.02
}
fn transfer() -> f64 {
    250_000.0
}
fn cache() -> u64 {
    6_400_000
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    pub start_capacity: f64,
    pub warm_after_s: f64,
    pub overload_factor: f64,
    pub window_s: f64,
}

impl Default for Cold {
    fn default() -> Self {
        Cold {
            start_capacity: 0.25,
            warm_after_s: 14.0,
            overload_factor: 2.5,
            window_s: 3.0,
        }
    }
}

/// What goes wrong. `strength` is a share of requests, a factor or seconds, as said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// A share of requests fail at once.
    FastErrors,
    /// The engine does nothing; its sockets stay.
    Pause,
    /// All takes `strength` times as long.
    Slow,
    /// Greetings come `strength` seconds late.
    SlowHandshake,
    /// Accepts links and says nothing.
    Mute,
    /// A share of requests run but are never answered.
    LostAnswers,
    /// Kept prefixes are forgotten at the begin.
    Flush,
    /// Read states are forgotten at the begin.
    LoseStates,
    /// Fetches of states do not come to an end while it lasts.
    HangFetch,
    /// Streams of a share of requests break with the link after the last token.
    Reset,
    /// A share of answers is preceded by messages that make no sense.
    Garbage,
    /// Loads are absent or negative.
    BadLoad,
    /// Loads are those of a host without work, whatever it does.
    LowLoad,
    /// Answers' ends tell `strength` tokens, whatever was written.
    OddUsage,
    /// Drains for the time, then starts anew, cold.
    Deploy,
    /// Dies at the begin and starts anew, cold, at the end.
    Crash,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds after the start.
    pub at_s: f64,
    pub for_s: f64,
    pub trouble: Trouble,
    #[serde(default = "one")]
    pub strength: f64,
    pub hosts: Vec<String>,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    pub hosts: Vec<HostConfig>,
    #[serde(default)]
    pub cold: Cold,
    #[serde(default)]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub seed: u64,
    /// Folder of `authority.pem` and each host's `NAME.pem` and `NAME.key`; without one links are plain.
    pub tls: Option<std::path::PathBuf>,
}

impl Config {
    /// Reads a config text.
    ///
    /// # Errors
    /// The first fault, with its place where it has one; also a fault of a host that is not there.
    pub fn parse(text: &str) -> Result<Config, String> {
        let config: Config = toml::from_str(text).map_err(|e| e.to_string())?;
        for host in &config.hosts {
            let advice = |e: bitternlatch_engine::EngineError| {
                format!("host '{}': {e}; {}", host.name, e.advice())
            };
            host.constants().check().map_err(advice)?;
        }
        for fault in &config.faults {
            for name in &fault.hosts {
                if !config.hosts.iter().any(|h| h.name == *name) {
                    return Err(format!("a fault names host '{name}', which is not there"));
                }
            }
        }
        Ok(config)
    }
}
