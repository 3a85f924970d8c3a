//! Structured logs: JSON lines on standard error.

/// Starts them for a program; `BITTERNLATCH_LOG` sets the level (`info` by default) in tracing's filter form.
pub fn start() {
    let filter = tracing_subscriber::EnvFilter::try_from_env("BITTERNLATCH_LOG")
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"));
    tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
}
