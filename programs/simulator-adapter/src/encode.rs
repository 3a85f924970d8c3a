//! Encodes events in the simulator's format, for tests and tools that take the simulator's place.

use bitternlatch_policy::interface::{
    AttemptEnd, Event, ListForm, Outcome, Request, ServerEntry, ServerId,
};

use crate::wire::codes::{self, event};

/// Length of a batch frame's header, in bytes.
const HEADER_BYTES: usize = 16;
/// Number of every encoded server list.
const LIST_NUMBER: u32 = 0;
/// Version in every encoded `view` record.
const LIST_VERSION: u32 = 0;

/// Encodes a batch frame of records; `now` is the clock time in seconds.
pub fn frame(now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let body: Vec<u8> = records.concat();
    let mut frame = (records.len() as u32).to_le_bytes().to_vec();
    frame.extend((HEADER_BYTES as u32 + body.len() as u32).to_le_bytes());
    frame.extend(now.to_le_bytes());
    frame.extend(body);
    frame
}

/// Encodes an `at` record: the records after it are for this instance.
pub fn at(instance: u16) -> Vec<u8> {
    [&[event::AT][..], &instance.to_le_bytes()].concat()
}

/// Encodes a `start` record, which starts an instance with its settings as path=value lines.
pub fn start_record(seed: u64, settings: &str) -> Vec<u8> {
    let mut record = vec![event::START];
    record.extend(seed.to_le_bytes());
    record.extend((settings.len() as u32).to_le_bytes());
    record.extend(settings.as_bytes());
    record
}

/// Encodes an event as its record, preceded by an `inventory` record if the event refers to a server list. Returns `None`
/// for an event that the simulator's protocol does not have.
pub fn event_records(event: &Event) -> Option<(Option<Vec<u8>>, Vec<u8>)> {
    let mut list = None;
    let record = match event {
        Event::Servers { form, entries } => {
            list = Some(inventory_record(entries));
            view_record(*form)
        }
        Event::Arrival(request) => accept_record(request),
        Event::FirstToken {
            request,
            attempt,
            server,
            elapsed_s,
        } => {
            let mut record = vec![event::BEGUN];
            record.extend(request.to_le_bytes());
            record.extend(attempt.to_le_bytes());
            record.extend(server.to_le_bytes());
            record.extend(elapsed_s.to_le_bytes());
            record
        }
        Event::AttemptEnded(end) => completed_record(end),
        Event::ClientDisconnected { request } => {
            [&[event::HANGUP][..], &request.to_le_bytes()].concat()
        }
        Event::Timer { label } => [&[event::ALARM][..], &label.to_le_bytes()].concat(),
        Event::ProbeEnded {
            server,
            outcome,
            elapsed_s,
            report,
        } => probe_done_record(*server, *outcome, *elapsed_s, report),
        Event::EndpointListPending
        | Event::ReservationAnswer { .. }
        | Event::PeerMessage { .. }
        | Event::QuotaFraction { .. }
        | Event::PeerReport { .. } => return None,
    };
    Some((list, record))
}

fn inventory_record(entries: &[ServerEntry]) -> Vec<u8> {
    let mut record = vec![event::INVENTORY];
    record.extend(LIST_NUMBER.to_le_bytes());
    record.extend((entries.len() as u32).to_le_bytes());
    for entry in entries {
        push_entry(&mut record, entry);
    }
    record
}

fn push_entry(record: &mut Vec<u8>, entry: &ServerEntry) {
    record.extend((entry.weight as f32).to_le_bytes());
    record.extend(entry.cell.to_le_bytes());
    record.extend(entry.zone.to_le_bytes());
    record.push(codes::health_code(entry.status));
    record.extend(entry.id.to_le_bytes());
    record.extend(entry.kind.to_le_bytes());
    record.extend(entry.booted_at.to_le_bytes());
}

fn view_record(form: ListForm) -> Vec<u8> {
    let mut record = vec![event::VIEW, codes::list_form_code(form)];
    record.extend(LIST_VERSION.to_le_bytes());
    record.extend(LIST_NUMBER.to_le_bytes());
    record
}

/// Encodes an `accept` record. The protocol has no field for the expected output tokens; where they are learned from past
/// answers, the other side learns them as well.
fn accept_record(request: &Request) -> Vec<u8> {
    const NO_MARKS: u16 = 0;
    const NO_HINT: f64 = 0.0;
    let mut record = vec![event::ACCEPT];
    record.extend(request.id.to_le_bytes());
    record.extend((request.max_output_tokens as f32).to_le_bytes());
    record.extend(request.tenant.to_le_bytes());
    record.extend(NO_MARKS.to_le_bytes());
    record.extend(request.session.to_le_bytes());
    record.extend(NO_HINT.to_le_bytes());
    record.extend(request.class.to_le_bytes());
    record.extend(request.time_left_s.to_le_bytes());
    record.extend(request.prefix.to_le_bytes());
    record.extend((request.prompt_tokens as f32).to_le_bytes());
    record.extend((request.prefix_tokens as f32).to_le_bytes());
    record
}

fn completed_record(end: &AttemptEnd) -> Vec<u8> {
    let info = match end.outcome {
        Outcome::Rejected {
            state_missing: true,
        } => codes::INFO_STATE_MISSING,
        _ => end.prefix_hit_tokens as u32,
    };
    let mut record = vec![event::COMPLETED];
    record.extend(end.request.to_le_bytes());
    record.extend(end.attempt.to_le_bytes());
    record.extend(end.server.to_le_bytes());
    record.push(codes::outcome_code(end.outcome));
    record.extend(end.elapsed_s.to_le_bytes());
    record.push(u8::from(end.finished));
    record.extend(info.to_le_bytes());
    push_report(&mut record, &end.report);
    record
}

fn probe_done_record(
    server: ServerId,
    outcome: Outcome,
    elapsed_s: f64,
    report: &[f64],
) -> Vec<u8> {
    let mut record = vec![event::PROBE_DONE];
    record.extend(server.to_le_bytes());
    record.push(codes::outcome_code(outcome));
    record.extend(elapsed_s.to_le_bytes());
    push_report(&mut record, report);
    record
}

fn push_report(record: &mut Vec<u8>, values: &[f64]) {
    record.push(values.len() as u8);
    for value in values {
        record.extend((*value as f32).to_le_bytes());
    }
}
