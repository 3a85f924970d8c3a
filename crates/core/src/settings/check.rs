//! Reading a settings text whole, with the first fault's place and cause.

use std::collections::BTreeMap;

use toml::de::{DeTable, DeValue};

use super::{Effect, Settings, SettingsError};

impl Settings {
    /// Reads and checks a settings text; `file` is for messages alone.
    ///
    /// # Errors
    /// The first fault: broken TOML, a key that is missing, unknown or of the wrong type, or a value out of its bounds,
    /// with line and column.
    pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
        let fail = |(line, column), cause| SettingsError {
            file: file.to_string(),
            line,
            column,
            cause,
        };
        let parsed: Result<Settings, toml::de::Error> = toml::from_str(text);
        let settings = parsed.map_err(|e| {
            let at = e.span().map_or((0, 0), |s| position(text, s.start));
            fail(at, e.message().replace('\n', " ").trim().to_string())
        })?;
        match settings.check() {
            Ok(()) => Ok(settings),
            Err((path, cause)) => Err(fail(locate(text, &path), format!("{path}: {cause}"))),
        }
    }

    fn check(&self) -> Result<(), (String, String)> {
        let mut c = Check(Ok(()));
        c.name("name", &self.name);
        c.name("zone", &self.zone);
        c.within("dispatchers", f64::from(self.dispatchers), 1.0, 65_535.0);
        self.check_listen(&mut c);
        self.check_engines(&mut c);
        c.within(
            "inventory.reread_s",
            self.inventory.poll_interval_s,
            0.01,
            3600.0,
        );
        self.check_identity(&mut c);
        c.within("stop.within_s", self.stop.timeout_s, 0.1, 3600.0);
        self.check_requests(&mut c);
        if let Some(cluster) = &self.cluster {
            cluster.check(&self.name, &mut c);
        }
        self.check_rules(&mut c);
        self.check_tables(&mut c);
        c.0
    }

    fn check_listen(&self, c: &mut Check) {
        let l = &self.listen;
        c.within("listen.sessions", l.max_sessions as f64, 1.0, 100_000.0);
        c.within(
            "listen.session_requests",
            l.max_session_requests as f64,
            1.0,
            10_000.0,
        );
        c.within(
            "listen.message_bytes",
            l.max_message_bytes as f64,
            1024.0,
            64.0 * 1048576.0,
        );
        c.within("listen.handshake_s", l.handshake_timeout_s, 0.01, 600.0);
        c.within("listen.idle_s", l.idle_timeout_s, 0.1, 1e6);
        c.within("listen.ping_s", l.ping_interval_s, 0.05, 3600.0);
        c.within(
            "listen.queue_messages",
            l.max_queued_messages as f64,
            8.0,
            1e6,
        );
        c.within("listen.handshakes", l.max_handshakes as f64, 1.0, 100_000.0);
        if let Some(tls) = &l.tls {
            if tls.client_authorities.is_none()
                && (tls.client_certificate_required || !tls.revocation_lists.is_empty())
            {
                c.fail(
                    "listen.tls",
                    "clients_required and revoked need clients".into(),
                );
            }
        }
    }

    fn check_engines(&self, c: &mut Check) {
        let e = &self.engines;
        if e.tls
            .as_ref()
            .is_some_and(|t| t.certificate.is_some() != t.key.is_some())
        {
            c.fail("engines.tls", "certificate and key come together".into());
        }
        c.within("engines.connect_s", e.connect_timeout_s, 0.01, 60.0);
        c.within("engines.greet_s", e.hello_timeout_s, 0.01, 60.0);
        c.within(
            "engines.message_bytes",
            e.max_message_bytes as f64,
            1024.0,
            64.0 * 1048576.0,
        );
        c.within(
            "engines.queue_messages",
            e.max_queued_messages as f64,
            8.0,
            1e6,
        );
        c.within("engines.ping_s", e.ping_interval_s, 0.05, 3600.0);
    }

    fn check_identity(&self, c: &mut Check) {
        let l = &self.listen;
        if let Some(identity) = &self.identity {
            if identity.keys.is_some()
                && (identity.issuer.is_empty() || identity.audience.is_empty())
            {
                c.fail(
                    "identity.keys",
                    "tokens need an issuer and an audience".into(),
                );
            }
            let by_certificate = l
                .tls
                .as_ref()
                .is_some_and(|t| t.client_authorities.is_some());
            if identity.keys.is_none() && !by_certificate {
                c.fail(
                    "identity",
                    "neither keys of tokens nor listen.tls.clients: nobody could call".into(),
                );
            }
            c.within("identity.skew_s", identity.clock_skew_s as f64, 0.0, 600.0);
            c.within(
                "identity.refresh_s",
                identity.refresh_interval_s,
                0.05,
                86_400.0,
            );
            c.within("identity.keep_s", identity.cache_lifetime_s, 1.0, 1e7);
        }
    }

    fn check_requests(&self, c: &mut Check) {
        let r = &self.requests;
        c.within("requests.in_hand", r.max_requests as f64, 1.0, 1e7);
        c.within(
            "requests.prompt_bytes",
            r.max_prompt_bytes as f64,
            1024.0,
            1e9,
        );
        c.within(
            "requests.prompt_bytes_in_hand",
            r.max_total_prompt_bytes as f64,
            1024.0,
            1e12,
        );
        c.within(
            "requests.context_bytes",
            r.max_context_bytes as f64,
            0.0,
            1e12,
        );
        c.within("requests.context_s", r.context_lifetime_s, 0.0, 1e7);
        c.within("requests.keys", r.max_idempotency_keys as f64, 1.0, 1e8);
        c.within(
            "requests.key_bytes",
            r.max_idempotency_bytes as f64,
            0.0,
            1e12,
        );
        c.within("requests.key_s", r.idempotency_key_lifetime_s, 1.0, 1e7);
        c.within("requests.answer_margin_s", r.answer_margin_s, 0.0, 10.0);
        c.within(
            "requests.max_output_tokens",
            f64::from(r.max_output_tokens),
            1.0,
            1e7,
        );
    }

    fn check_rules(&self, c: &mut Check) {
        let (rules, cold, a) = (&self.rules, &self.rules.slow_start, &self.attempts);
        c.within("rules.pin_limit_s", rules.kv_hold_limit_s, 0.01, 3600.0);
        c.within("rules.drain_grace_s", rules.drain_grace_s, 0.01, 3600.0);
        c.within("rules.cold.start_capacity", cold.start_capacity, 0.01, 1.0);
        c.within(
            "rules.cold.overload_factor",
            cold.overload_factor,
            1.0,
            100.0,
        );
        c.within("rules.cold.window_s", cold.window_s, 0.1, 600.0);
        c.within("rules.cold.warm_after_s", cold.warm_after_s, 0.1, 3600.0);
        c.within("attempts.most", f64::from(a.max_attempts), 1.0, 100.0);
        c.within(
            "attempts.max_retry_after_s",
            a.max_retry_after_s,
            0.0,
            3600.0,
        );
    }

    fn check_classes(&self, c: &mut Check) {
        for (i, class) in self.classes.iter().enumerate() {
            let at = |key: &str| format!("classes.{i}.{key}");
            c.within(&at("ttft_aim_s"), class.ttft_objective_s, 0.001, 3600.0);
            c.within(
                &at("ttft_aim_ms_per_1000_tokens"),
                class.ttft_objective_ms_per_1000_tokens,
                0.0,
                1e6,
            );
            c.within(
                &at("token_gap_aim_s"),
                class.inter_token_objective_s,
                0.0001,
                60.0,
            );
            c.within(&at("deadline_s"), class.deadline_s, 0.05, 86_400.0);
            c.within(&at("worth"), class.priority_weight, 0.0, 1e6);
            c.within(&at("late_worth"), class.late_weight_fraction, 0.0, 1.0);
            c.within(&at("key_window_s"), class.key_window_s, 0.0, 1e7);
            if class.effect == Effect::Keyed && class.key_window_s <= 0.0 {
                c.fail(
                    &at("effect"),
                    "a keyed class needs key_window_s above 0".into(),
                );
            }
        }
    }

    fn check_tables(&self, c: &mut Check) {
        c.some("classes", self.classes.len());
        c.some("kinds", self.kinds.len());
        c.unique("classes", self.classes.iter().map(|x| x.name.as_str()));
        c.unique("tenants", self.tenants.iter().map(|x| x.name.as_str()));
        c.unique("kinds", self.kinds.iter().map(|x| x.name.as_str()));
        self.check_classes(c);
        for (i, tenant) in self.tenants.iter().enumerate() {
            c.within(
                &format!("tenants.{i}.quota_rps"),
                tenant.quota_rps,
                0.0,
                1e9,
            );
            let known = |name: &str| self.classes.iter().any(|c| c.name == name);
            if let Some(Err((key, why))) = tenant.budget.as_ref().map(|b| b.check(known)) {
                c.fail(&format!("tenants.{i}.budget.{key}"), why);
            }
        }
        for (i, kind) in self.kinds.iter().enumerate() {
            c.within(
                &format!("kinds.{i}.memory_tokens"),
                kind.memory_tokens,
                0.0,
                1e12,
            );
        }
    }
}

/// Keeps the first fault found: the key's path and the cause.
pub(super) struct Check(Result<(), (String, String)>);

impl Check {
    pub(super) fn fail(&mut self, path: &str, cause: String) {
        if self.0.is_ok() {
            self.0 = Err((path.to_string(), cause));
        }
    }

    pub(super) fn within(&mut self, path: &str, value: f64, least: f64, most: f64) {
        if !(least..=most).contains(&value) {
            self.fail(path, format!("{value} is not between {least} and {most}"));
        }
    }

    pub(super) fn name(&mut self, path: &str, value: &str) {
        if value.trim().is_empty() || value.len() > 100 {
            self.fail(path, "a name of 1 to 100 bytes is expected".into());
        }
    }

    pub(super) fn some(&mut self, path: &str, len: usize) {
        if len == 0 || len > 1000 {
            self.fail(path, format!("{len} entries; 1 to 1000 are expected"));
        }
    }

    pub(super) fn unique<'a>(&mut self, path: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeMap::new();
        for (i, name) in names.enumerate() {
            let at = format!("{path}.{i}.name");
            self.name(&at, name);
            if let Some(first) = seen.insert(name, i) {
                self.fail(
                    &at,
                    format!("'{name}' is also the name of number {}", first + 1),
                );
            }
        }
    }
}

/// Line and column, from 1, of a byte.
fn position(text: &str, at: usize) -> (usize, usize) {
    let before = text.get(..at.min(text.len())).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

/// Where a key given by its path stands, or the nearest table above it.
fn locate(text: &str, path: &str) -> (usize, usize) {
    let Ok(root) = DeTable::parse(text) else {
        return (0, 0);
    };
    let mut here = DeValue::Table(root.into_inner());
    let mut at = 0;
    for part in path.split('.') {
        let next = match &here {
            DeValue::Table(table) => table.get(part).cloned(),
            DeValue::Array(list) => part
                .parse::<usize>()
                .ok()
                .and_then(|i| list.get(i).cloned()),
            _ => None,
        };
        let Some(next) = next else { break };
        at = next.span().start;
        here = next.into_inner();
    }
    position(text, at)
}
