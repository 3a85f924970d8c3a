//! Digests of a router's actions under pseudorandom fleets and events. A change that must not
//! affect decisions leaves the digests as they are.
mod common;
#[path = "common/digest.rs"]
mod digest;

use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;
use common::{server, settings, T0};
use digest::Digest;

/// Expected result of [`digest_of_drawn_events`] for each seed.
const DRAWN_EVENTS: [u64; 12] = [
    0x9be7ddad7083915b,
    0xda518ce3b4900b5a,
    0x1195e77abeb2cf38,
    0x797d384305dc8667,
    0x68b6b4a1c87192bf,
    0xd72f17b12cd68ac9,
    0x77ff486c85e6069f,
    0x3d2ccd2e4fb09ba7,
    0x5e5600a53260a014,
    0xc4ec53c0362a14e0,
    0x0faee7b469256809,
    0x69cd5534b90a94df,
];

/// Expected result of [`digest_of_benchmark_events`] for each size of the fleet.
const BENCHMARK_EVENTS: [u64; 5] = [
    0x83D4_2871_DA95_5989,
    0x51FA_E3AB_E6EE_6F6C,
    0xE4F4_214A_56C4_588C,
    0xFBAE_0301_1466_0D89,
    0x1003_DE43_B87F_602A,
];

/// Length of an occasional pause, after which the router knows less about what servers have cached,
/// seconds.
const LONG_PAUSE_S: f64 = 70.0;

/// Memory of a server that a few requests fill, tokens.
const SMALL_MEMORY_TOKENS: f64 = 8_000.0;

/// Drives a router with pseudorandom events and adds each of its actions and explanations to a
/// digest.
struct DrivenRouter {
    router: Router,
    digest: Digest,
    /// State of the pseudorandom generator.
    draws: u64,
    now: f64,
    servers: u32,
    requests: u32,
    /// Attempts in flight: request, index of the attempt, server.
    attempts: Vec<(RequestId, u16, ServerId)>,
    /// Number of attempts sent so far, by request.
    sent: Vec<u16>,
    /// Servers with a probe in flight.
    probed: Vec<ServerId>,
    /// Timers that have not fired: clock time and label.
    timers: Vec<(f64, u64)>,
}

impl DrivenRouter {
    fn new(settings: Settings, seed: u64, servers: u32) -> DrivenRouter {
        DrivenRouter {
            router: Router::new(settings, seed),
            digest: Digest::new(),
            draws: seed << 32,
            now: T0,
            servers,
            requests: 0,
            attempts: vec![],
            sent: vec![0],
            probed: vec![],
            timers: vec![],
        }
    }

    /// Draws a whole number from 0 to `below`, exclusive.
    fn draw(&mut self, below: u64) -> u64 {
        self.draws = self.draws.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.draws ^ (self.draws >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % below
    }

    /// Draws a number from 0 to 1, exclusive.
    fn draw_fraction(&mut self) -> f64 {
        self.draw(1 << 20) as f64 / f64::from(1 << 20)
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        for action in &actions {
            self.digest.action(action);
            match *action {
                Action::Send {
                    request, server, ..
                } => {
                    let attempt = self.sent[request as usize];
                    self.sent[request as usize] += 1;
                    self.attempts.push((request, attempt, server));
                }
                Action::Probe { server } => self.probed.push(server),
                Action::SetTimer { at, label } => self.timers.push((at, label)),
                _ => {}
            }
        }
        self.digest.explanations(&self.router);
    }

    fn entry(&mut self, id: ServerId) -> ServerEntry {
        let kind = [0, 0, 0, 1, 1, 1, 1, 2][id as usize % 8];
        let status = match self.draw(12) {
            0 => ServerStatus::Draining,
            1 => ServerStatus::Removed,
            _ => ServerStatus::Ready,
        };
        let booted_at = match self.draw(6) {
            0 => self.now - self.draw_fraction() * 10.0,
            _ => 0.0,
        };
        ServerEntry {
            zone: u16::from(id.is_multiple_of(5)),
            status,
            booted_at,
            ..server(id, kind, (id / 6) as u16)
        }
    }

    fn endpoint_list(&mut self) {
        let form = [
            ListForm::Delta,
            ListForm::Delta,
            ListForm::Delta,
            ListForm::Delta,
            ListForm::Full,
            ListForm::Cached,
            ListForm::Failed,
        ][self.draw(7) as usize];
        let ids: Vec<ServerId> = match form {
            ListForm::Delta => (0..3)
                .map(|_| 1 + self.draw(self.servers.into()) as u32)
                .collect(),
            ListForm::Failed => vec![],
            ListForm::Full | ListForm::Cached => (1..=self.servers).collect(),
        };
        let entries = ids.into_iter().map(|id| self.entry(id)).collect();
        self.handle(Event::Servers { form, entries });
    }

    fn arrival(&mut self) {
        self.requests += 1;
        self.sent.push(0);
        let prompt_tokens = 50.0 + (self.draw_fraction() * 4.0).exp() * 100.0;
        let expected = ExpectedTokens {
            mean: 40.0 + 200.0 * self.draw_fraction(),
            p90: 300.0,
        };
        let request = Request {
            id: self.requests,
            class: self.draw(3) as u16,
            tenant: self.draw(3) as u32,
            session: self.draw(50),
            prefix: self.draw(12),
            prompt_tokens,
            prefix_tokens: prompt_tokens * self.draw_fraction(),
            max_output_tokens: 20.0 + 600.0 * self.draw_fraction(),
            output_tokens: Some(expected).filter(|_| self.draw(3) == 0),
            output_hint_s: None,
            time_left_s: 0.1 + 8.0 * self.draw_fraction(),
        };
        self.handle(Event::Arrival(request));
    }

    fn report(&mut self) -> Vec<f64> {
        if self.draw(5) == 0 {
            return vec![];
        }
        let (slots, queue, memory) = (
            self.draw_fraction(),
            self.draw(6) as f64,
            self.draw_fraction(),
        );
        vec![0.8 * slots, queue, 0.9 * memory]
    }

    fn attempt_end(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let at = self.draw(self.attempts.len() as u64) as usize;
        let (request, attempt, server) = self.attempts.swap_remove(at);
        let prefill = server % 8 < 3;
        let outcome = match self.draw(16) {
            0 => Outcome::Error,
            1 => Outcome::Rejected {
                state_missing: false,
            },
            2 => Outcome::Rejected {
                state_missing: true,
            },
            3 => Outcome::TimedOut,
            4 => Outcome::ConnectFailed,
            5 => Outcome::Reset,
            6 => Outcome::Cancelled,
            7 => Outcome::NotSent,
            _ if prefill => Outcome::PrefillDone,
            _ => Outcome::Served,
        };
        if outcome == Outcome::Served && self.draw(8) > 0 {
            let elapsed_s = self.draw_fraction();
            self.handle(Event::FirstToken {
                request,
                attempt,
                server,
                elapsed_s,
            });
            self.now += 0.01 * self.draw_fraction();
        }
        let end = AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            elapsed_s: 1.5 * self.draw_fraction(),
            finished: outcome == Outcome::Served,
            prefix_hit_tokens: 500.0 * self.draw_fraction(),
            output_tokens: None,
            report: self.report(),
        };
        self.handle(Event::AttemptEnded(end));
    }

    fn probe_end(&mut self) {
        let Some(server) = self.probed.pop() else {
            return;
        };
        let outcome = match self.draw(8) {
            0 => Outcome::ConnectFailed,
            1 => Outcome::TimedOut,
            2 => Outcome::Reset,
            _ => Outcome::Served,
        };
        let (elapsed_s, report) = (0.01 * self.draw_fraction(), self.report());
        self.handle(Event::ProbeEnded {
            server,
            outcome,
            elapsed_s,
            report,
        });
    }

    fn peer_report(&mut self) {
        let server = 1 + self.draw(self.servers.into()) as u32;
        let observation = [
            Observation::Failing,
            Observation::WarmingUp,
            Observation::Draining,
        ][self.draw(3) as usize];
        let (reporters, peers) = (self.draw(6) as u32, 6);
        let age_s = 4.0 * self.draw_fraction() - 0.5;
        self.handle(Event::PeerReport {
            server,
            observation,
            reporters,
            peers,
            age_s,
        });
    }

    fn due_timers(&mut self) {
        let due: Vec<(f64, u64)> = self
            .timers
            .extract_if(.., |timer| timer.0 <= self.now)
            .collect();
        for (_, label) in due {
            self.handle(Event::Timer { label });
        }
    }

    fn step(&mut self) {
        self.now += 0.02 * self.draw_fraction();
        if self.draw(1_500) == 0 {
            self.now += LONG_PAUSE_S;
        }
        self.due_timers();
        match self.draw(40) {
            0 => self.endpoint_list(),
            1 => self.peer_report(),
            2 => {
                let request = self.draw(u64::from(self.requests) + 1) as u32;
                self.handle(Event::ClientDisconnected { request });
            }
            3 if self.draw(10) == 0 => {
                let (fraction, since) = (self.draw_fraction(), self.now - self.draw_fraction());
                self.handle(Event::QuotaFraction { fraction, since });
            }
            4 => {
                let (request, server) = (self.requests, 1);
                self.handle(Event::ReservationAnswer {
                    request,
                    attempt: 0,
                    server,
                    held: true,
                });
            }
            5 => self.handle(Event::PeerMessage {
                from: 1,
                data: vec![1, 2],
            }),
            6..=15 => self.arrival(),
            16..=24 => self.probe_end(),
            _ => self.attempt_end(),
        }
    }
}

fn drawn_settings(seed: u64) -> Settings {
    let keyed = |scope| Effect::IdempotencyKey {
        scope,
        window_s: 3.0,
    };
    let scope = [KeyScope::All, KeyScope::Zone, KeyScope::Cell][seed as usize % 3];
    let mut plain = settings(Effect::Idempotent);
    if seed.is_multiple_of(2) {
        plain
            .kinds
            .iter_mut()
            .for_each(|kind| kind.memory_tokens = SMALL_MEMORY_TOKENS);
    }
    let classes = [Effect::Idempotent, Effect::NonIdempotent, keyed(scope)];
    Settings {
        dispatchers: [1, 3, 40][seed as usize % 3],
        classes: classes.into_iter().map(common::class).collect(),
        tenants: vec![
            TenantSettings { quota_rps: 4.0 },
            TenantSettings { quota_rps: 60.0 },
        ],
        report_mode: [
            ReportMode::WithResponses,
            ReportMode::OnProbe,
            ReportMode::WithResponses,
            ReportMode::Off,
        ][seed as usize % 4],
        report_fields: [
            plain.report_fields.clone(),
            vec![
                ReportField::Concurrent,
                ReportField::Other,
                ReportField::MemoryUtilization,
            ],
        ][seed as usize % 2]
            .clone(),
        limits: Limits {
            may_cancel: seed % 5 != 1,
            ..plain.limits.clone()
        },
        must_subscribe: seed.is_multiple_of(2),
        lost_prefill_may_have_run: seed % 4 == 1,
        decode_servers_prefill: seed % 3 == 2,
        ..plain
    }
}

/// Returns the digest of a router's actions under 6,000 pseudorandom events.
fn digest_of_drawn_events(seed: u64) -> u64 {
    let servers = [12, 30, 64, 4][seed as usize % 4];
    let mut driven = DrivenRouter::new(drawn_settings(seed), seed, servers);
    let entries = (1..=servers).map(|id| driven.entry(id)).collect();
    driven.handle(Event::Servers {
        form: ListForm::Full,
        entries,
    });
    (0..6_000).for_each(|_| driven.step());
    driven.digest.value()
}

#[test]
fn drawn_events_give_the_same_actions_as_before() {
    let digests: Vec<u64> = (0..12).map(digest_of_drawn_events).collect();
    assert_eq!(digests, DRAWN_EVENTS, "{digests:#018x?}");
}

/// Returns the digest of a router's actions under the events of `bitternlatch-benchmark decision`:
/// the arrival, the end of the prefill and the first token of each of 800 requests.
fn digest_of_benchmark_events(servers: u32) -> u64 {
    let plain = settings(Effect::Idempotent);
    let settings = Settings {
        dispatchers: 60,
        ..plain
    };
    let mut driven = DrivenRouter::new(settings, 7, servers);
    let entry = |id: u32| server(id, (id % 2) as u16, (id / 6) as u16);
    let entries = (0..servers).map(entry).collect();
    driven.handle(Event::Servers {
        form: ListForm::Full,
        entries,
    });
    for id in 1..=800 {
        driven.now = T0 + f64::from(id) * 0.05;
        driven.requests = id;
        driven.sent.push(0);
        let request = Request {
            id,
            session: u64::from(id / 3 + 1),
            prefix: u64::from(id % 40 + 1),
            prompt_tokens: 1800.0,
            prefix_tokens: 1200.0,
            max_output_tokens: 300.0,
            time_left_s: 6.0,
            ..Request::default()
        };
        driven.handle(Event::Arrival(request));
        while let Some(server) = driven.probed.pop() {
            let report = vec![0.2, 1.0, 0.3];
            driven.handle(Event::ProbeEnded {
                server,
                outcome: Outcome::Served,
                elapsed_s: 0.001,
                report,
            });
        }
        end_benchmark_attempts(&mut driven);
    }
    driven.digest.value()
}

/// Ends the prefill of the latest request, then its answer.
fn end_benchmark_attempts(driven: &mut DrivenRouter) {
    for outcome in [Outcome::PrefillDone, Outcome::Served] {
        let Some((request, attempt, server)) = driven.attempts.pop() else {
            return;
        };
        if outcome == Outcome::Served {
            driven.handle(Event::FirstToken {
                request,
                attempt,
                server,
                elapsed_s: 0.1,
            });
        }
        driven.handle(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            server,
            outcome,
            elapsed_s: 0.1,
            finished: outcome == Outcome::Served,
            prefix_hit_tokens: 1000.0,
            output_tokens: None,
            report: vec![0.2, 1.0, 0.3],
        }));
    }
}

#[test]
fn benchmark_events_give_the_same_actions_as_before() {
    let digests: Vec<u64> = [25, 57, 110, 200, 800]
        .into_iter()
        .map(digest_of_benchmark_events)
        .collect();
    assert_eq!(digests, BENCHMARK_EVENTS, "{digests:#018x?}");
}
