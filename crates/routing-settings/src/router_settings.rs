//! The decision module's settings.

use bitternlatch_policy::interface::{
    ClassSettings, Effect, KeyScope, KindSettings, Limits, ReportField, ReportMode, Role, Settings,
    SlowStart, TenantSettings,
};

use crate::bounds::connect_timeout_s;
use crate::error::{Result, SettingsError};
use crate::facts::RawSettings;

/// The settings give what 1,000 prompt tokens add to an objective in microseconds.
const MICROSECONDS_PER_1000_TOKENS: f64 = 1e9;

/// The decision module's settings; keys that are not known are skipped.
///
/// # Errors
/// A key that is missing, or a value that cannot be read.
pub fn read_settings(facts: &RawSettings) -> Result<Settings> {
    Ok(Settings {
        dispatchers: facts.count("balancers")?.max(1),
        zone: facts.count("locality")? as u16,
        classes: read_classes(facts)?,
        tenants: read_tenants(facts)?,
        kinds: read_kinds(facts)?,
        report_fields: read_report_fields(facts),
        report_mode: read_report_mode(facts)?,
        slow_start: read_slow_start(facts)?,
        limits: read_limits(facts)?,
        kv_hold_limit_s: facts.number("extra.pinLimitS")?,
        over_quota_weight_fraction: facts.number_or("overShareWorth", 1.0)?,
        must_subscribe: facts.text("membershipMode")? == "on_request",
        lost_prefill_may_have_run: facts.flag_or("extra.unseenReadsRun", false)?,
        decode_servers_prefill: facts.flag_or("extra.localRead", false)?,
        tick_s: facts.number_or("tickS", 0.001)?,
    })
}

fn read_slow_start(facts: &RawSettings) -> Result<SlowStart> {
    Ok(SlowStart {
        start_capacity: facts.number("contract.startCapacity")?,
        overload_factor: facts.number("contract.overloadFactor")?,
        window_s: facts.number("contract.fallS")?,
        warm_after_s: facts.number("contract.warmAfterS")?,
    })
}

fn read_limits(facts: &RawSettings) -> Result<Limits> {
    Ok(Limits {
        max_attempts: facts.count("limits.maxAttempts")?,
        may_cancel: facts.flag_or("limits.cancel", false)?,
        may_probe: facts.flag_or("limits.probing", false)?,
        max_retry_after_s: facts.number_or("limits.maxRetryAfterS", 0.0)?,
        connect_timeout_s: connect_timeout_s(facts)?,
    })
}

fn read_report_mode(facts: &RawSettings) -> Result<ReportMode> {
    const KEY: &str = "report.how";
    match facts.text(KEY)? {
        "inline" => Ok(ReportMode::WithResponses),
        "on_probe" => Ok(ReportMode::OnProbe),
        "off" => Ok(ReportMode::Off),
        value => Err(SettingsError::unknown_value(KEY, value)),
    }
}

fn read_report_fields(facts: &RawSettings) -> Vec<ReportField> {
    let names = facts.list("report.fields").into_iter();
    names.map(|name| report_field(name, facts)).collect()
}

/// The meaning of the site's own fields is in the text that describes them.
fn report_field(name: &str, facts: &RawSettings) -> ReportField {
    let described_by = |key: &str, word: &str| facts.get(key).is_some_and(|v| v.contains(word));
    match name {
        "concurrent" => ReportField::Concurrent,
        "depth" => ReportField::Queue,
        "load_share" => ReportField::SlotUtilization,
        "x0" if described_by("extra.reportX0", "memory") => ReportField::MemoryUtilization,
        "x1" if described_by("extra.reportX1", "tokens") => ReportField::QueuedKiloTokens,
        _ => ReportField::Other,
    }
}

fn read_classes(facts: &RawSettings) -> Result<Vec<ClassSettings>> {
    const KEY: &str = "classes.count";
    let objectives_us = facts.numbers("extra.aimUsPer1000PromptTokens")?;
    let token_gaps_s = facts.numbers("extra.tokenAimS")?;
    let count = facts.count(KEY)?;
    if count == 0 {
        return Err(SettingsError::Zero {
            key: KEY.to_string(),
        });
    }
    let mut classes = Vec::new();
    for index in 0..count as usize {
        let objective_us = objectives_us.get(index).copied().unwrap_or(0.0);
        let key = |name: &str| format!("classes.{index}.{name}");
        classes.push(ClassSettings {
            effect: read_effect(facts, index)?,
            ttft_objective_s: facts.number(&key("aimS"))?,
            ttft_objective_per_token_s: objective_us / MICROSECONDS_PER_1000_TOKENS,
            inter_token_objective_s: token_gaps_s.get(index).copied().unwrap_or(0.0),
            deadline_s: facts.number(&key("deadlineS"))?,
            priority_weight: facts.number_or(&key("worth"), 1.0)?,
            late_weight_fraction: facts.number_or(&key("lateWorth"), 0.0)?,
        });
    }
    Ok(classes)
}

fn read_effect(facts: &RawSettings, class: usize) -> Result<Effect> {
    let key = |name: &str| format!("classes.{class}.{name}");
    let window_s = facts.number_or(&key("repeatWindowS"), 0.0)?;
    let scope = match facts.get(&key("keyScope")) {
        None | Some("all") => KeyScope::All,
        Some("zone") => KeyScope::Zone,
        Some("cell") => KeyScope::Cell,
        Some(value) => return Err(SettingsError::unknown_value(key("keyScope"), value)),
    };
    match facts.text(&key("effect"))? {
        "free" => Ok(Effect::Idempotent),
        "guarded" => Ok(Effect::IdempotencyKey { scope, window_s }),
        "single_shot" => Ok(Effect::NonIdempotent),
        value => Err(SettingsError::unknown_value(key("effect"), value)),
    }
}

fn read_tenants(facts: &RawSettings) -> Result<Vec<TenantSettings>> {
    let count = facts.count_or_zero("customers.count")?;
    let tenant = |index: u32| {
        let quota_rps = facts.number(&format!("customers.{index}.quotaRps"))?;
        Ok(TenantSettings { quota_rps })
    };
    (0..count).map(tenant).collect()
}

fn read_kinds(facts: &RawSettings) -> Result<Vec<KindSettings>> {
    const KEY: &str = "extra.kindRole";
    let memory_tokens = facts.numbers("extra.kindMemoryTokens")?;
    let mut kinds = Vec::new();
    for (index, role) in facts.text(KEY)?.split(',').enumerate() {
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
