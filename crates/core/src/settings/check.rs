//! Parsing and validation of a settings file; the first error is reported with its position.

use std::collections::BTreeMap;

use toml::de::{DeTable, DeValue};

use super::{Effect, Settings, SettingsError};

impl Settings {
    /// Parses and validates the text of a settings file; `file` is only used in error messages.
    ///
    /// # Errors
    /// The first error, with line and column: invalid TOML, a key that is missing, unknown or of the wrong type, or a value
    /// out of its range.
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

    /// Validates the values; the error is the path of the key at fault, such as `classes.0.effect`, and the cause.
    fn check(&self) -> Result<(), (String, String)> {
        let mut validator = Validator(Ok(()));
        validator.name("name", &self.name);
        validator.name("zone", &self.zone);
        validator.range("dispatchers", f64::from(self.dispatchers), 1.0, 65_535.0);
        self.check_listen(&mut validator);
        self.check_engines(&mut validator);
        validator.range(
            "inventory.reread_s",
            self.inventory.poll_interval_s,
            0.01,
            3600.0,
        );
        self.check_identity(&mut validator);
        validator.range("stop.within_s", self.stop.timeout_s, 0.1, 3600.0);
        self.check_requests(&mut validator);
        if let Some(cluster) = &self.cluster {
            cluster.check(&self.name, &mut validator);
        }
        self.check_rules(&mut validator);
        self.check_tables(&mut validator);
        validator.0
    }

    fn check_listen(&self, validator: &mut Validator) {
        let listen = &self.listen;
        validator.range(
            "listen.sessions",
            listen.max_sessions as f64,
            1.0,
            100_000.0,
        );
        validator.range(
            "listen.session_requests",
            listen.max_session_requests as f64,
            1.0,
            10_000.0,
        );
        validator.range(
            "listen.message_bytes",
            listen.max_message_bytes as f64,
            1024.0,
            64.0 * 1048576.0,
        );
        validator.range(
            "listen.handshake_s",
            listen.handshake_timeout_s,
            0.01,
            600.0,
        );
        validator.range("listen.idle_s", listen.idle_timeout_s, 0.1, 1e6);
        validator.range("listen.ping_s", listen.ping_interval_s, 0.05, 3600.0);
        validator.range(
            "listen.queue_messages",
            listen.max_queued_messages as f64,
            8.0,
            1e6,
        );
        validator.range(
            "listen.handshakes",
            listen.max_handshakes as f64,
            1.0,
            100_000.0,
        );
        if let Some(tls) = &listen.tls {
            if tls.client_authorities.is_none()
                && (tls.client_certificate_required || !tls.revocation_lists.is_empty())
            {
                validator.fail(
                    "listen.tls",
                    "clients_required and revoked require clients".into(),
                );
            }
        }
    }

    fn check_engines(&self, validator: &mut Validator) {
        let engines = &self.engines;
        if engines
            .tls
            .as_ref()
            .is_some_and(|t| t.certificate.is_some() != t.key.is_some())
        {
            validator.fail(
                "engines.tls",
                "certificate and key must be set together".into(),
            );
        }
        validator.range("engines.connect_s", engines.connect_timeout_s, 0.01, 60.0);
        validator.range("engines.greet_s", engines.hello_timeout_s, 0.01, 60.0);
        validator.range(
            "engines.message_bytes",
            engines.max_message_bytes as f64,
            1024.0,
            64.0 * 1048576.0,
        );
        validator.range(
            "engines.queue_messages",
            engines.max_queued_messages as f64,
            8.0,
            1e6,
        );
        validator.range("engines.ping_s", engines.ping_interval_s, 0.05, 3600.0);
    }

    fn check_identity(&self, validator: &mut Validator) {
        let listen = &self.listen;
        if let Some(identity) = &self.identity {
            if identity.keys.is_some()
                && (identity.issuer.is_empty() || identity.audience.is_empty())
            {
                validator.fail(
                    "identity.keys",
                    "tokens require an issuer and an audience".into(),
                );
            }
            let accepts_certificates = listen
                .tls
                .as_ref()
                .is_some_and(|t| t.client_authorities.is_some());
            if identity.keys.is_none() && !accepts_certificates {
                validator.fail(
                    "identity",
                    "neither identity.keys nor listen.tls.clients is set, so no client could authenticate".into(),
                );
            }
            validator.range("identity.skew_s", identity.clock_skew_s as f64, 0.0, 600.0);
            validator.range(
                "identity.refresh_s",
                identity.refresh_interval_s,
                0.05,
                86_400.0,
            );
            validator.range("identity.keep_s", identity.cache_lifetime_s, 1.0, 1e7);
        }
    }

    fn check_requests(&self, validator: &mut Validator) {
        let requests = &self.requests;
        validator.range("requests.in_hand", requests.max_requests as f64, 1.0, 1e7);
        validator.range(
            "requests.prompt_bytes",
            requests.max_prompt_bytes as f64,
            1024.0,
            1e9,
        );
        validator.range(
            "requests.prompt_bytes_in_hand",
            requests.max_total_prompt_bytes as f64,
            1024.0,
            1e12,
        );
        validator.range(
            "requests.context_bytes",
            requests.max_context_bytes as f64,
            0.0,
            1e12,
        );
        validator.range("requests.context_s", requests.context_lifetime_s, 0.0, 1e7);
        validator.range(
            "requests.keys",
            requests.max_idempotency_keys as f64,
            1.0,
            1e8,
        );
        validator.range(
            "requests.key_bytes",
            requests.max_idempotency_bytes as f64,
            0.0,
            1e12,
        );
        validator.range(
            "requests.key_s",
            requests.idempotency_key_lifetime_s,
            1.0,
            1e7,
        );
        validator.range(
            "requests.answer_margin_s",
            requests.answer_margin_s,
            0.0,
            10.0,
        );
        validator.range(
            "requests.max_output_tokens",
            f64::from(requests.max_output_tokens),
            1.0,
            1e7,
        );
    }

    fn check_rules(&self, validator: &mut Validator) {
        let (rules, slow_start, attempts) = (&self.rules, &self.rules.slow_start, &self.attempts);
        validator.range("rules.pin_limit_s", rules.kv_hold_limit_s, 0.01, 3600.0);
        validator.range("rules.drain_grace_s", rules.drain_grace_s, 0.01, 3600.0);
        validator.range(
            "rules.cold.start_capacity",
            slow_start.start_capacity,
            0.01,
            1.0,
        );
        validator.range(
            "rules.cold.overload_factor",
            slow_start.overload_factor,
            1.0,
            100.0,
        );
        validator.range("rules.cold.window_s", slow_start.window_s, 0.1, 600.0);
        validator.range(
            "rules.cold.warm_after_s",
            slow_start.warm_after_s,
            0.1,
            3600.0,
        );
        validator.range(
            "attempts.most",
            f64::from(attempts.max_attempts),
            1.0,
            100.0,
        );
        validator.range(
            "attempts.max_retry_after_s",
            attempts.max_retry_after_s,
            0.0,
            3600.0,
        );
    }

    fn check_classes(&self, validator: &mut Validator) {
        for (i, class) in self.classes.iter().enumerate() {
            let path = |key: &str| format!("classes.{i}.{key}");
            validator.range(&path("ttft_aim_s"), class.ttft_objective_s, 0.001, 3600.0);
            validator.range(
                &path("ttft_aim_ms_per_1000_tokens"),
                class.ttft_objective_ms_per_1000_tokens,
                0.0,
                1e6,
            );
            validator.range(
                &path("token_gap_aim_s"),
                class.inter_token_objective_s,
                0.0001,
                60.0,
            );
            validator.range(&path("deadline_s"), class.deadline_s, 0.05, 86_400.0);
            validator.range(&path("worth"), class.priority_weight, 0.0, 1e6);
            validator.range(&path("late_worth"), class.late_weight_fraction, 0.0, 1.0);
            validator.range(&path("key_window_s"), class.key_window_s, 0.0, 1e7);
            if class.effect == Effect::Keyed && class.key_window_s <= 0.0 {
                validator.fail(
                    &path("effect"),
                    "a keyed class needs key_window_s above 0".into(),
                );
            }
        }
    }

    fn check_tables(&self, validator: &mut Validator) {
        validator.list_length("classes", self.classes.len());
        validator.list_length("kinds", self.kinds.len());
        validator.unique_names("classes", self.classes.iter().map(|x| x.name.as_str()));
        validator.unique_names("tenants", self.tenants.iter().map(|x| x.name.as_str()));
        validator.unique_names("kinds", self.kinds.iter().map(|x| x.name.as_str()));
        self.check_classes(validator);
        for (i, tenant) in self.tenants.iter().enumerate() {
            validator.range(
                &format!("tenants.{i}.quota_rps"),
                tenant.quota_rps,
                0.0,
                1e9,
            );
            let class_exists = |name: &str| self.classes.iter().any(|c| c.name == name);
            if let Some(Err((key, cause))) =
                tenant.budget.as_ref().map(|b| b.validate(class_exists))
            {
                validator.fail(&format!("tenants.{i}.budget.{key}"), cause);
            }
        }
        for (i, kind) in self.kinds.iter().enumerate() {
            validator.range(
                &format!("kinds.{i}.memory_tokens"),
                kind.memory_tokens,
                0.0,
                1e12,
            );
        }
    }
}

/// Collects the first error of a validation: the path of the key at fault and the cause. Later errors are dropped.
pub(super) struct Validator(Result<(), (String, String)>);

impl Validator {
    /// Records an error unless there is one already.
    pub(super) fn fail(&mut self, path: &str, cause: String) {
        if self.0.is_ok() {
            self.0 = Err((path.to_string(), cause));
        }
    }

    /// Requires a value from `min` to `max`, both included; NaN is an error.
    pub(super) fn range(&mut self, path: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            self.fail(path, format!("{value} is not between {min} and {max}"));
        }
    }

    /// Requires a name of 1 to 100 bytes that is not blank.
    pub(super) fn name(&mut self, path: &str, value: &str) {
        if value.trim().is_empty() || value.len() > 100 {
            self.fail(path, "a name of 1 to 100 bytes is expected".into());
        }
    }

    /// Requires a list of 1 to 1000 entries.
    pub(super) fn list_length(&mut self, path: &str, len: usize) {
        if len == 0 || len > 1000 {
            self.fail(path, format!("{len} entries; 1 to 1000 are expected"));
        }
    }

    /// Requires the names of a list's entries to be valid and to differ from each other.
    pub(super) fn unique_names<'a>(&mut self, path: &str, names: impl Iterator<Item = &'a str>) {
        let mut positions = BTreeMap::new();
        for (i, name) in names.enumerate() {
            let name_path = format!("{path}.{i}.name");
            self.name(&name_path, name);
            if let Some(first) = positions.insert(name, i) {
                self.fail(
                    &name_path,
                    format!("'{name}' is also the name of number {}", first + 1),
                );
            }
        }
    }
}

/// Line and column of a byte offset, both from 1; the column counts characters.
fn position(text: &str, offset: usize) -> (usize, usize) {
    let before = text.get(..offset.min(text.len())).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    (line, column)
}

/// Line and column of the value at a path such as `classes.0.effect`; where a part of the path is absent, of the nearest
/// enclosing value.
fn locate(text: &str, path: &str) -> (usize, usize) {
    let Ok(root) = DeTable::parse(text) else {
        return (0, 0);
    };
    let mut value = DeValue::Table(root.into_inner());
    let mut offset = 0;
    for part in path.split('.') {
        let next = match &value {
            DeValue::Table(table) => table.get(part).cloned(),
            DeValue::Array(list) => part
                .parse::<usize>()
                .ok()
                .and_then(|i| list.get(i).cloned()),
            _ => None,
        };
        let Some(next) = next else { break };
        offset = next.span().start;
        value = next.into_inner();
    }
    position(text, offset)
}
