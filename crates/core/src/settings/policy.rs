//! Conversion of the settings for the decision module.

use bitternlatch_policy::interface as policy;

use super::{Class, Effect, KeyScope, Kind, LoadMetric, ReportMode, Settings};

impl Settings {
    /// The settings with which the decision module is created.
    pub fn policy(&self) -> policy::Settings {
        policy::Settings {
            dispatchers: self.dispatchers,
            zone: 0,
            classes: self.classes.iter().map(Class::policy).collect(),
            tenants: self
                .tenants
                .iter()
                .map(|t| policy::TenantSettings {
                    quota_rps: t.quota_rps,
                })
                .collect(),
            kinds: self.kinds.iter().map(Kind::policy).collect(),
            report_fields: self
                .reports
                .fields
                .iter()
                .map(|f| f.metric.policy())
                .collect(),
            report_mode: match self.reports.mode {
                ReportMode::WithAnswers => policy::ReportMode::WithResponses,
                ReportMode::OnProbe => policy::ReportMode::OnProbe,
                ReportMode::Off => policy::ReportMode::Off,
            },
            slow_start: policy::SlowStart {
                start_capacity: self.rules.slow_start.start_capacity,
                overload_factor: self.rules.slow_start.overload_factor,
                window_s: self.rules.slow_start.window_s,
                warm_after_s: self.rules.slow_start.warm_after_s,
            },
            limits: policy::Limits {
                max_attempts: self.attempts.max_attempts,
                may_cancel: self.attempts.may_cancel,
                may_probe: self.attempts.may_probe,
                max_retry_after_s: self.attempts.max_retry_after_s,
                // Links to servers are persistent, and nothing is sent on one that is not connected: no attempt waits for a
                // connection.
                connect_timeout_s: 0.0,
            },
            kv_hold_limit_s: self.rules.kv_hold_limit_s,
            over_quota_weight_fraction: 1.0,
            must_subscribe: false,
            lost_prefill_may_have_run: false,
            decode_servers_prefill: self.attempts.decode_servers_prefill,
            tick_s: crate::machine::TICK_S,
        }
    }
}

impl Class {
    fn policy(&self) -> policy::ClassSettings {
        let scope = match self.key_scope {
            KeyScope::All => policy::KeyScope::All,
            KeyScope::Zone => policy::KeyScope::Zone,
            KeyScope::Cell => policy::KeyScope::Cell,
        };
        policy::ClassSettings {
            effect: match self.effect {
                Effect::Safe => policy::Effect::Idempotent,
                Effect::Keyed => policy::Effect::IdempotencyKey {
                    scope,
                    window_s: self.key_window_s,
                },
                Effect::Unsafe => policy::Effect::NonIdempotent,
            },
            ttft_objective_s: self.ttft_objective_s,
            ttft_objective_per_token_s: self.ttft_objective_ms_per_1000_tokens / 1e6,
            inter_token_objective_s: self.inter_token_objective_s,
            deadline_s: self.deadline_s,
            priority_weight: self.priority_weight,
            late_weight_fraction: self.late_weight_fraction,
        }
    }
}

impl Kind {
    fn policy(&self) -> policy::KindSettings {
        policy::KindSettings {
            role: self.role,
            memory_tokens: self.memory_tokens,
        }
    }
}

impl LoadMetric {
    fn policy(self) -> policy::ReportField {
        match self {
            LoadMetric::Concurrent => policy::ReportField::Concurrent,
            LoadMetric::Queue => policy::ReportField::Queue,
            LoadMetric::SlotUtilization => policy::ReportField::SlotUtilization,
            LoadMetric::MemoryUtilization => policy::ReportField::MemoryUtilization,
            LoadMetric::QueuedKiloTokens => policy::ReportField::QueuedKiloTokens,
            LoadMetric::Other => policy::ReportField::Other,
        }
    }
}
