//! Routing decisions for an inference service that runs prefill and decode on separate servers.
//!
//! A dispatcher owns one [`choice::Router`], passes events to it and carries out the actions that
//! it returns:
//!
//! ```
//! use bitternlatch_policy::choice::Router;
//! use bitternlatch_policy::interface::*;
//!
//! let class = ClassSettings {
//!     effect: Effect::Idempotent,
//!     ttft_objective_s: 1.0,
//!     ttft_objective_per_token_s: 4e-5,
//!     inter_token_objective_s: 0.05,
//!     deadline_s: 5.0,
//!     priority_weight: 1.0,
//!     late_weight_fraction: 0.3,
//! };
//! let kind = |role| KindSettings { role, memory_tokens: 150_000.0 };
//! let settings = Settings {
//!     dispatchers: 1,
//!     zone: 0,
//!     classes: vec![class],
//!     tenants: vec![],
//!     kinds: vec![kind(Role::Prefill), kind(Role::Decode)],
//!     report_fields: vec![],
//!     report_mode: ReportMode::Off,
//!     slow_start: SlowStart { start_capacity: 0.25, overload_factor: 2.5, window_s: 3.0, warm_after_s: 14.0 },
//!     limits: Limits { max_attempts: 4, may_cancel: true, may_probe: false, max_retry_after_s: 1.0, connect_timeout_s: 0.25 },
//!     kv_hold_limit_s: 1.0,
//!     over_quota_weight_fraction: 1.0,
//!     must_subscribe: false,
//!     lost_prefill_may_have_run: false,
//!     decode_servers_prefill: false,
//!     tick_s: 0.001,
//! };
//! let server = |id, kind| ServerEntry {
//!     id, status: ServerStatus::Ready, kind, cell: 0, zone: 0, weight: 1.0, booted_at: 0.0,
//! };
//! let mut router = Router::new(settings, 42);
//! let mut actions = Vec::new();
//! let entries = vec![server(1, 0), server(2, 1)];
//! router.handle(0.0, Event::Servers { form: ListForm::Full, entries }, &mut actions);
//! let request = Request { id: 7, prompt_tokens: 900.0, max_output_tokens: 200.0, time_left_s: 5.0,
//!     ..Request::default() };
//! router.handle(0.1, Event::Arrival(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { request: 7, server: 1, .. })));
//! ```

pub mod choice;
pub mod interface;
