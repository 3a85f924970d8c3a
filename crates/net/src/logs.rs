//! Structured logging: one JSON object per line on standard error.

/// Installs the process's log subscriber. The environment variable `BITTERNLATCH_LOG` sets the level (default `info`) in
/// the filter syntax of `tracing`.
pub fn init() {
    let filter = tracing_subscriber::EnvFilter::try_from_env("BITTERNLATCH_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}
