//! Time of one decision of the module: an arrival, its read's end and its first token, over fleets of some sizes.

use std::time::Instant;

use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;

use crate::rig::quantile;

/// Requests for a fleet of up to so many hosts; larger ones are asked fewer, as each decision takes longer.
const REQUESTS: u32 = 20_000;
const SMALL_FLEET: u32 = 110;
const REQUESTS_OF_LARGE: u32 = 2_000;
/// Hosts whose state changes at once, and how often that is timed.
const CHANGED: u32 = 16;
const CHANGES: u32 = 200;
/// A load report, by the fields of the settings.
const REPORT: [f64; 3] = [0.2, 1.0, 0.3];

fn settings() -> Settings {
    let class = ClassSettings {
        effect: Effect::Idempotent,
        ttft_objective_s: 1.5,
        ttft_objective_per_token_s: 4e-5,
        inter_token_objective_s: 0.07,
        deadline_s: 6.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.3,
    };
    let kind = |role| KindSettings {
        role,
        memory_tokens: 200_000.0,
    };
    Settings {
        dispatchers: 60,
        zone: 0,
        classes: vec![class],
        tenants: vec![],
        kinds: vec![kind(Role::Prefill), kind(Role::Decode)],
        report_fields: vec![
            ReportField::SlotUtilization,
            ReportField::Queue,
            ReportField::MemoryUtilization,
        ],
        report_mode: ReportMode::WithResponses,
        slow_start: SlowStart {
            start_capacity: 0.25,
            overload_factor: 2.5,
            window_s: 3.0,
            warm_after_s: 14.0,
        },
        limits: Limits {
            max_attempts: 4,
            may_cancel: true,
            may_probe: true,
            max_retry_after_s: 1.0,
            connect_timeout_s: 0.25,
        },
        kv_hold_limit_s: 1.0,
        over_quota_weight_fraction: 1.0,
        must_subscribe: false,
        lost_prefill_may_have_run: false,
        decode_servers_prefill: false,
        tick_s: 0.002,
    }
}

/// Prints microseconds for fleets of 25 to 3,200 hosts.
pub fn measure() {
    println!(
        "microseconds of one event handled, by the clock of one thread; a change is one of {CHANGED} hosts"
    );
    println!(
        "{:>6} {:>16} {:>16} {:>16} {:>16}",
        "hosts", "arrival p50/p99", "read end p50/p99", "request mean", "change p50/p99"
    );
    for hosts in [25, 57, 110, 200, 800, 3200] {
        one(hosts);
    }
}

fn one(hosts: u32) {
    let mut router = Router::new(settings(), 7);
    let mut out = Vec::new();
    let entry = |id: u32| ServerEntry {
        id,
        status: ServerStatus::Ready,
        kind: (id % 2) as u16,
        cell: (id / 6) as u16,
        zone: 0,
        weight: 1.0,
        booted_at: 0.0,
    };
    let entries = (0..hosts).map(entry).collect();
    router.handle(
        1.0,
        Event::Servers {
            form: ListForm::Full,
            entries,
        },
        &mut out,
    );
    let requests = if hosts > SMALL_FLEET {
        REQUESTS_OF_LARGE
    } else {
        REQUESTS
    };
    let (mut arrival, mut read_end, mut total) = (Vec::new(), Vec::new(), 0.0);
    for id in 1..=requests {
        let now = 1.0 + f64::from(id) * 0.05;
        let mut timed = |event: Event, out: &mut Vec<Action>| {
            out.clear();
            let start = Instant::now();
            router.handle(now, event, out);
            start.elapsed().as_secs_f64() * 1e6
        };
        let ask = Request {
            id,
            session: u64::from(id / 3 + 1),
            prefix: u64::from(id % 40 + 1),
            prompt_tokens: 1800.0,
            prefix_tokens: 1200.0,
            max_output_tokens: 300.0,
            time_left_s: 6.0,
            ..Request::default()
        };
        let took = timed(Event::Arrival(ask), &mut out);
        arrival.push(took);
        total += took;
        // Probes are answered at once, which places the request.
        let probed: Vec<ServerId> = out.iter().filter_map(probed).collect();
        let mut sent = sent_to(&out);
        for server in probed {
            let report = REPORT.to_vec();
            total += timed(
                Event::ProbeEnded {
                    server,
                    outcome: Outcome::Served,
                    elapsed_s: 0.001,
                    report,
                },
                &mut out,
            );
            sent = sent.or(sent_to(&out));
        }
        let Some(reader) = sent else { continue };
        let end = |server, outcome, attempt| {
            Event::AttemptEnded(AttemptEnd {
                request: id,
                attempt,
                server,
                outcome,
                elapsed_s: 0.1,
                finished: outcome == Outcome::Served,
                prefix_hit_tokens: 1000.0,
                output_tokens: None,
                report: REPORT.to_vec(),
            })
        };
        let took = timed(end(reader, Outcome::PrefillDone, 0), &mut out);
        read_end.push(took);
        total += took;
        if let Some(writer) = sent_to(&out) {
            total += timed(
                Event::FirstToken {
                    request: id,
                    attempt: 1,
                    server: writer,
                    elapsed_s: 0.1,
                },
                &mut out,
            );
            total += timed(end(writer, Outcome::Served, 1), &mut out);
        }
    }
    let change = changes(&mut router, hosts, entry);
    arrival.sort_by(f64::total_cmp);
    read_end.sort_by(f64::total_cmp);
    let pair = |v: &[f64]| format!("{:.1}/{:.1}", quantile(v, 0.5), quantile(v, 0.99));
    println!(
        "{hosts:>6} {:>16} {:>16} {:>16.1} {:>16}",
        pair(&arrival),
        pair(&read_end),
        total / f64::from(requests),
        pair(&change),
    );
}

/// Times of changes of a few hosts each, which drain and come back.
fn changes(router: &mut Router, hosts: u32, entry: impl Fn(u32) -> ServerEntry) -> Vec<f64> {
    let mut out = Vec::new();
    let one = |n: u32| {
        let standing = if n.is_multiple_of(2) {
            ServerStatus::Draining
        } else {
            ServerStatus::Ready
        };
        let changed = (0..CHANGED.min(hosts)).map(|i| ServerEntry {
            status: standing,
            ..entry(i * hosts / CHANGED.min(hosts))
        });
        let event = Event::Servers {
            form: ListForm::Delta,
            entries: changed.collect(),
        };
        let start = Instant::now();
        router.handle(1e6 + f64::from(n), event, &mut out);
        start.elapsed().as_secs_f64() * 1e6
    };
    let mut took: Vec<f64> = (0..CHANGES).map(one).collect();
    took.sort_by(f64::total_cmp);
    took
}

fn probed(action: &Action) -> Option<ServerId> {
    match action {
        Action::Probe { server } => Some(*server),
        _ => None,
    }
}

fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|a| match a {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}
