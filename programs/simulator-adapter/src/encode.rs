//! Events as the simulator writes them, for programs and tests that play its part.

use bitternlatch_policy::interface::*;

/// A batch of records at a clock time in seconds.
pub fn frame(now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut out = (records.len() as u32).to_le_bytes().to_vec();
    out.extend((16 + body.len() as u32).to_le_bytes());
    out.extend(now.to_le_bytes());
    out.extend(body);
    out
}

/// What follows is for an instance.
pub fn at(instance: u16) -> Vec<u8> {
    [&[13][..], &instance.to_le_bytes()].concat()
}

/// The start of an instance with its settings as path=value lines.
pub fn start_record(seed: u64, facts: &str) -> Vec<u8> {
    let mut out = vec![1];
    out.extend(seed.to_le_bytes());
    out.extend((facts.len() as u32).to_le_bytes());
    out.extend(facts.as_bytes());
    out
}

fn report(out: &mut Vec<u8>, values: &[f64]) {
    out.push(values.len() as u8);
    values
        .iter()
        .for_each(|v| out.extend((*v as f32).to_le_bytes()));
}

fn outcome(o: Outcome) -> u8 {
    match o {
        Outcome::Served => 0,
        Outcome::PrefillDone => 202,
        Outcome::Error => 255,
        Outcome::Rejected { .. } => 254,
        Outcome::TimedOut => 253,
        Outcome::ConnectFailed => 252,
        Outcome::Reset => 251,
        Outcome::Cancelled => 250,
        Outcome::NotSent => 249,
    }
}

fn entry(out: &mut Vec<u8>, e: &ServerEntry) {
    out.extend((e.weight as f32).to_le_bytes());
    out.extend(e.cell.to_le_bytes());
    out.extend(e.zone.to_le_bytes());
    out.push(match e.status {
        ServerStatus::Draining => 0,
        ServerStatus::Removed => 1,
        ServerStatus::Ready => 2,
    });
    out.extend(e.id.to_le_bytes());
    out.extend(e.kind.to_le_bytes());
    out.extend(e.booted_at.to_le_bytes());
}

/// The record of a list, where the event refers to one, and the event's own; `None` for what the wire has no word
/// for.
pub fn event_records(event: &Event) -> Option<(Option<Vec<u8>>, Vec<u8>)> {
    let mut out = Vec::new();
    let mut list = None;
    match event {
        Event::Servers { form, entries } => {
            let mut lines = vec![12];
            lines.extend(0u32.to_le_bytes());
            lines.extend((entries.len() as u32).to_le_bytes());
            entries.iter().for_each(|e| entry(&mut lines, e));
            list = Some(lines);
            out.extend([
                2,
                match form {
                    ListForm::Delta => 0,
                    ListForm::Full => 1,
                    ListForm::Cached => 2,
                    ListForm::Failed => 3,
                },
            ]);
            out.extend(0u32.to_le_bytes());
            out.extend(0u32.to_le_bytes());
        }
        // The wire has no word for what is expected of an answer: where that is learnt locally the other side learns it too.
        Event::Arrival(r) => {
            out.push(3);
            out.extend(r.id.to_le_bytes());
            out.extend((r.max_output_tokens as f32).to_le_bytes());
            out.extend(r.tenant.to_le_bytes());
            out.extend(0u16.to_le_bytes());
            out.extend(r.session.to_le_bytes());
            out.extend(0f64.to_le_bytes());
            out.extend(r.class.to_le_bytes());
            out.extend(r.time_left_s.to_le_bytes());
            out.extend(r.prefix.to_le_bytes());
            out.extend((r.prompt_tokens as f32).to_le_bytes());
            out.extend((r.prefix_tokens as f32).to_le_bytes());
        }
        Event::FirstToken {
            request,
            attempt,
            server,
            elapsed_s,
        } => {
            out.push(4);
            out.extend(request.to_le_bytes());
            out.extend(attempt.to_le_bytes());
            out.extend(server.to_le_bytes());
            out.extend(elapsed_s.to_le_bytes());
        }
        Event::AttemptEnded(e) => {
            out.push(5);
            out.extend(e.request.to_le_bytes());
            out.extend(e.attempt.to_le_bytes());
            out.extend(e.server.to_le_bytes());
            out.push(outcome(e.outcome));
            out.extend(e.elapsed_s.to_le_bytes());
            out.push(u8::from(e.finished));
            let gone = e.outcome
                == (Outcome::Rejected {
                    state_missing: true,
                });
            out.extend((if gone { 1 } else { e.prefix_hit_tokens as u32 }).to_le_bytes());
            report(&mut out, &e.report);
        }
        Event::ClientDisconnected { request } => {
            out.push(6);
            out.extend(request.to_le_bytes());
        }
        Event::Timer { label } => {
            out.push(7);
            out.extend(label.to_le_bytes());
        }
        Event::ProbeEnded {
            server,
            outcome: o,
            elapsed_s,
            report: values,
        } => {
            out.push(8);
            out.extend(server.to_le_bytes());
            out.push(outcome(*o));
            out.extend(elapsed_s.to_le_bytes());
            report(&mut out, values);
        }
        Event::ReservationAnswer { .. }
        | Event::PeerMessage { .. }
        | Event::QuotaFraction { .. }
        | Event::PeerReport { .. } => return None,
    }
    Some((list, out))
}
