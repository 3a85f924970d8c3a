//! Reads the settings of the decision module.

use bitternlatch_policy::interface::{
    ClassSettings, Effect, KeyScope, KindSettings, Limits, ReportField, ReportMode, Role, Settings,
    SlowStart, TenantSettings,
};

use crate::bounds::connect_timeout_s;
use crate::error::{Result, SettingsError};
use crate::facts::RawSettings;

/// Divisor that converts microseconds per 1,000 prompt tokens, the unit of the settings, to seconds
/// per token.
const MICROSECONDS_PER_1000_TOKENS: f64 = 1e9;
/// Shortest time between two batches of events, in seconds, unless configured.
const DEFAULT_TICK_S: f64 = 0.001;

/// Reads the settings of the decision module; unknown keys are ignored.
///
/// # Errors
/// Fails on a missing required key and on a value that cannot be parsed.
pub fn read_settings(settings: &RawSettings) -> Result<Settings> {
    Ok(Settings {
        dispatchers: settings.count("balancers")?.max(1),
        zone: settings.count("locality")? as u16,
        classes: read_classes(settings)?,
        tenants: read_tenants(settings)?,
        kinds: read_kinds(settings)?,
        report_fields: read_report_fields(settings),
        report_mode: read_report_mode(settings)?,
        slow_start: read_slow_start(settings)?,
        limits: read_limits(settings)?,
        kv_hold_limit_s: settings.number("extra.pinLimitS")?,
        over_quota_weight_fraction: settings.number_or("overShareWorth", 1.0)?,
        must_subscribe: settings.text("membershipMode")? == "on_request",
        lost_prefill_may_have_run: settings.flag_or("extra.unseenReadsRun", false)?,
        decode_servers_prefill: settings.flag_or("extra.localRead", false)?,
        tick_s: settings.number_or("tickS", DEFAULT_TICK_S)?,
    })
}

fn read_slow_start(settings: &RawSettings) -> Result<SlowStart> {
    Ok(SlowStart {
        start_capacity: settings.number("contract.startCapacity")?,
        overload_factor: settings.number("contract.overloadFactor")?,
        window_s: settings.number("contract.fallS")?,
        warm_after_s: settings.number("contract.warmAfterS")?,
    })
}

fn read_limits(settings: &RawSettings) -> Result<Limits> {
    Ok(Limits {
        max_attempts: settings.count("limits.maxAttempts")?,
        may_cancel: settings.flag_or("limits.cancel", false)?,
        may_probe: settings.flag_or("limits.probing", false)?,
        max_retry_after_s: settings.number_or("limits.maxRetryAfterS", 0.0)?,
        connect_timeout_s: connect_timeout_s(settings)?,
    })
}

fn read_report_mode(settings: &RawSettings) -> Result<ReportMode> {
    const KEY: &str = "report.how";
    match settings.text(KEY)? {
        "inline" => Ok(ReportMode::WithResponses),
        "on_probe" => Ok(ReportMode::OnProbe),
        "off" => Ok(ReportMode::Off),
        value => Err(SettingsError::unknown_value(KEY, value)),
    }
}

fn read_report_fields(settings: &RawSettings) -> Vec<ReportField> {
    let names = settings.list("report.fields").into_iter();
    names.map(|name| report_field(name, settings)).collect()
}

/// Finds the meaning of a load report field. The fields `x0` and `x1` are defined per deployment,
/// so their meaning is taken from the setting that describes them.
fn report_field(name: &str, settings: &RawSettings) -> ReportField {
    let description_has =
        |key: &str, word: &str| settings.get(key).is_some_and(|v| v.contains(word));
    match name {
        "concurrent" => ReportField::Concurrent,
        "depth" => ReportField::Queue,
        "load_share" => ReportField::SlotUtilization,
        "x0" if description_has("extra.reportX0", "memory") => ReportField::MemoryUtilization,
        "x1" if description_has("extra.reportX1", "tokens") => ReportField::QueuedKiloTokens,
        _ => ReportField::Other,
    }
}

fn read_classes(settings: &RawSettings) -> Result<Vec<ClassSettings>> {
    const KEY: &str = "classes.count";
    let per_1000_tokens_us = settings.numbers("extra.aimUsPer1000PromptTokens")?;
    let inter_token_objectives_s = settings.numbers("extra.tokenAimS")?;
    let count = settings.count(KEY)?;
    if count == 0 {
        return Err(SettingsError::Zero {
            key: KEY.to_string(),
        });
    }
    let mut classes = Vec::new();
    for index in 0..count as usize {
        let objective_us = per_1000_tokens_us.get(index).copied().unwrap_or(0.0);
        let key = |name: &str| format!("classes.{index}.{name}");
        classes.push(ClassSettings {
            effect: read_effect(settings, index)?,
            ttft_objective_s: settings.number(&key("aimS"))?,
            ttft_objective_per_token_s: objective_us / MICROSECONDS_PER_1000_TOKENS,
            inter_token_objective_s: inter_token_objectives_s.get(index).copied().unwrap_or(0.0),
            deadline_s: settings.number(&key("deadlineS"))?,
            priority_weight: settings.number_or(&key("worth"), 1.0)?,
            late_weight_fraction: settings.number_or(&key("lateWorth"), 0.0)?,
        });
    }
    Ok(classes)
}

fn read_effect(settings: &RawSettings, class: usize) -> Result<Effect> {
    let key = |name: &str| format!("classes.{class}.{name}");
    let window_s = settings.number_or(&key("repeatWindowS"), 0.0)?;
    let scope = match settings.get(&key("keyScope")) {
        None | Some("all") => KeyScope::All,
        Some("zone") => KeyScope::Zone,
        Some("cell") => KeyScope::Cell,
        Some(value) => return Err(SettingsError::unknown_value(key("keyScope"), value)),
    };
    match settings.text(&key("effect"))? {
        "free" => Ok(Effect::Idempotent),
        "guarded" => Ok(Effect::IdempotencyKey { scope, window_s }),
        "single_shot" => Ok(Effect::NonIdempotent),
        value => Err(SettingsError::unknown_value(key("effect"), value)),
    }
}

fn read_tenants(settings: &RawSettings) -> Result<Vec<TenantSettings>> {
    let count = settings.count_or_zero("customers.count")?;
    let tenant = |index: u32| {
        let quota_rps = settings.number(&format!("customers.{index}.quotaRps"))?;
        Ok(TenantSettings { quota_rps })
    };
    (0..count).map(tenant).collect()
}

fn read_kinds(settings: &RawSettings) -> Result<Vec<KindSettings>> {
    const KEY: &str = "extra.kindRole";
    let memory_tokens = settings.numbers("extra.kindMemoryTokens")?;
    let mut kinds = Vec::new();
    for (index, role) in settings.text(KEY)?.split(',').enumerate() {
        let role = match role {
            "read" => Role::Prefill,
            "write" => Role::Decode,
            "both" => Role::Mixed,
            value => return Err(SettingsError::unknown_value(KEY, value)),
        };
        kinds.push(KindSettings {
            role,
            memory_tokens: memory_tokens.get(index).copied().unwrap_or(0.0),
        });
    }
    Ok(kinds)
}
