//! What the settings mean.

use bitternlatch_policy::interface::*;

use crate::facts::{bad, Facts, Result};

/// The decision module's settings; keys that are not known are skipped.
///
/// # Errors
/// A key that is missing, or a value that cannot be read.
pub fn read_settings(f: &Facts) -> Result<Settings> {
    Ok(Settings {
        dispatchers: f.count("balancers")?.max(1),
        zone: f.count("locality")? as u16,
        classes: parse_classes(f)?,
        tenants: parse_tenants(f)?,
        kinds: parse_kinds(f)?,
        report_fields: f
            .list("report.fields")
            .into_iter()
            .map(|w| report_field(w, f))
            .collect(),
        report_mode: match f.text("report.how")? {
            "inline" => ReportMode::WithResponses,
            "on_probe" => ReportMode::OnProbe,
            "off" => ReportMode::Off,
            v => return bad(format!("setting report.how is not known: {v}")),
        },
        slow_start: SlowStart {
            start_capacity: f.number("contract.startCapacity")?,
            overload_factor: f.number("contract.overloadFactor")?,
            window_s: f.number("contract.fallS")?,
            warm_after_s: f.number("contract.warmAfterS")?,
        },
        limits: Limits {
            max_attempts: f.count("limits.maxAttempts")?,
            may_cancel: f.flag_or("limits.cancel", false)?,
            may_probe: f.flag_or("limits.probing", false)?,
            max_retry_after_s: f.number_or("limits.maxRetryAfterS", 0.0)?,
            connect_timeout_s: connect_timeout_s(f)?,
        },
        kv_hold_limit_s: f.number("extra.pinLimitS")?,
        over_quota_weight_fraction: f.number_or("overShareWorth", 1.0)?,
        must_subscribe: f.text("membershipMode")? == "on_request",
        lost_prefill_may_have_run: f.flag_or("extra.unseenReadsRun", false)?,
        decode_servers_prefill: f.flag_or("extra.localRead", false)?,
        tick_s: f.number_or("tickS", 0.001)?,
    })
}

fn connect_timeout_s(f: &Facts) -> Result<f64> {
    f.number_or("limits.connectTimeoutS", 0.25)
}

fn report_field(word: &str, f: &Facts) -> ReportField {
    match word {
        "concurrent" => ReportField::Concurrent,
        "depth" => ReportField::Queue,
        "load_share" => ReportField::SlotUtilization,
        "x0" if f
            .get("extra.reportX0")
            .is_some_and(|v| v.contains("memory")) =>
        {
            ReportField::MemoryUtilization
        }
        "x1" if f
            .get("extra.reportX1")
            .is_some_and(|v| v.contains("tokens")) =>
        {
            ReportField::QueuedKiloTokens
        }
        _ => ReportField::Other,
    }
}

fn parse_classes(f: &Facts) -> Result<Vec<ClassSettings>> {
    let per_k = f.numbers("extra.aimUsPer1000PromptTokens")?;
    let gaps = f.numbers("extra.tokenAimS")?;
    let count = f.count("classes.count")?;
    if count == 0 {
        return bad("setting classes.count is 0");
    }
    (0..count)
        .map(|i| parse_class(f, i as usize, &per_k, &gaps))
        .collect()
}

fn parse_class(f: &Facts, i: usize, per_k: &[f64], gaps: &[f64]) -> Result<ClassSettings> {
    let key = |name: &str| format!("classes.{i}.{name}");
    let window_s = f.number_or(&key("repeatWindowS"), 0.0)?;
    let scope = match f.get(&key("keyScope")) {
        None | Some("all") => KeyScope::All,
        Some("zone") => KeyScope::Zone,
        Some("cell") => KeyScope::Cell,
        Some(v) => return bad(format!("setting {} is not known: {v}", key("keyScope"))),
    };
    Ok(ClassSettings {
        effect: match f.text(&key("effect"))? {
            "free" => Effect::Idempotent,
            "guarded" => Effect::IdempotencyKey { scope, window_s },
            "single_shot" => Effect::NonIdempotent,
            v => return bad(format!("setting {} is not known: {v}", key("effect"))),
        },
        ttft_objective_s: f.number(&key("aimS"))?,
        ttft_objective_per_token_s: per_k.get(i).copied().unwrap_or(0.0) / 1e9,
        inter_token_objective_s: gaps.get(i).copied().unwrap_or(0.0),
        deadline_s: f.number(&key("deadlineS"))?,
        priority_weight: f.number_or(&key("worth"), 1.0)?,
        late_weight_fraction: f.number_or(&key("lateWorth"), 0.0)?,
    })
}

fn parse_tenants(f: &Facts) -> Result<Vec<TenantSettings>> {
    let n = if f.get("customers.count").is_some() {
        f.count("customers.count")?
    } else {
        0
    };
    (0..n)
        .map(|i| {
            Ok(TenantSettings {
                quota_rps: f.number(&format!("customers.{i}.quotaRps"))?,
            })
        })
        .collect()
}

fn parse_kinds(f: &Facts) -> Result<Vec<KindSettings>> {
    let memory = f.numbers("extra.kindMemoryTokens")?;
    let role = |(i, word): (usize, &str)| {
        let role = match word {
            "read" => Role::Prefill,
            "write" => Role::Decode,
            "both" => Role::Mixed,
            v => return bad(format!("setting extra.kindRole is not known: {v}")),
        };
        Ok(KindSettings {
            role,
            memory_tokens: memory.get(i).copied().unwrap_or(0.0),
        })
    };
    f.text("extra.kindRole")?
        .split(',')
        .enumerate()
        .map(role)
        .collect()
}

/// The names behind the indexes that the module is given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    pub classes: Vec<String>,
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    pub report_fields: Vec<String>,
    pub tenants: Vec<String>,
}

/// The names of classes, kinds of server, zones, report fields and tenants, each in the order of its index.
///
/// # Errors
/// A class without a name.
pub fn read_names(f: &Facts) -> Result<Names> {
    let owned = |key: &str| f.list(key).into_iter().map(str::to_string).collect();
    let named = |list: &str, n: u32| -> Result<Vec<String>> {
        (0..n)
            .map(|i| Ok(f.text(&format!("{list}.{i}.name"))?.to_string()))
            .collect()
    };
    let tenants = if f.get("customers.count").is_some() {
        f.count("customers.count")?
    } else {
        0
    };
    Ok(Names {
        classes: named("classes", f.count("classes.count")?)?,
        kinds: owned("kinds"),
        zones: owned("zones"),
        report_fields: owned("report.fields"),
        tenants: named("customers", tenants)?,
    })
}

/// Bounds and permissions that the sockets' side keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// A connection that has not come up after this never does, seconds.
    pub connect_timeout_s: f64,
    /// A connection idle for this is closed by the other side, seconds.
    pub idle_s: f64,
    /// Requests open at once.
    pub most_held: usize,
    /// Clients may be told when to come back.
    pub retry_after: bool,
    /// Dispatchers may tell each other things.
    pub peers: bool,
    /// Clients ask for the rest of a stream that broke.
    pub resumes: bool,
    /// This dispatcher's number among them.
    pub me: usize,
}

/// The bounds of the sockets' side.
///
/// # Errors
/// A value that cannot be read.
pub fn read_bounds(f: &Facts) -> Result<Bounds> {
    Ok(Bounds {
        connect_timeout_s: connect_timeout_s(f)?,
        idle_s: f.number_or("limits.connIdleS", 15.0)?,
        most_held: f.number_or("limits.mostHeld", 20_000.0)?.clamp(1.0, 1e6) as usize,
        retry_after: f.flag_or("limits.retryAfter", false)?,
        peers: f.flag_or("limits.peers", false)?,
        resumes: f.flag_or("extra.resume", false)?,
        me: if f.get("me").is_some() {
            f.count("me")? as usize
        } else {
            0
        },
    })
}
