//! Decodes the records of a batch into events.

use bitternlatch_policy::interface::{AttemptEnd, Event, ListForm, Outcome, Request, ServerEntry};

use super::codes::{self, event};
use super::cursor::Cursor;
use super::error::{Result, WireError};
use super::lists::Lists;

/// Decodes an event whose code has been read already; `at` is the offset of the code, in bytes.
pub fn read_event(cursor: &mut Cursor, code: u8, at: usize, lists: &Lists) -> Result<Event> {
    match code {
        event::VIEW => read_view(cursor, lists),
        event::ACCEPT => Ok(Event::Arrival(read_request(cursor)?)),
        event::BEGUN => read_first_token(cursor),
        event::COMPLETED => Ok(Event::AttemptEnded(read_attempt_end(cursor)?)),
        event::HANGUP => Ok(Event::ClientDisconnected {
            request: cursor.u32("hangup")?,
        }),
        event::ALARM => Ok(Event::Timer {
            label: cursor.u64("alarm")?,
        }),
        event::PROBE_DONE => read_probe_end(cursor),
        event::INBOX => read_peer_message(cursor),
        event::RESERVED => read_reservation_answer(cursor),
        _ => Err(WireError::UnknownEvent { code, at }),
    }
}

fn read_view(cursor: &mut Cursor, lists: &Lists) -> Result<Event> {
    let at = cursor.position();
    let code = cursor.u8("view")?;
    let form = codes::list_form(code).ok_or(WireError::UnknownListForm { code, at })?;
    let _version = cursor.u32("view")?;
    let number = cursor.u32("view")?;
    let entries = match form {
        ListForm::Failed => Vec::new(),
        _ => lists
            .get(number)
            .ok_or(WireError::MissingList { number, at })?
            .to_vec(),
    };
    Ok(Event::Servers { form, entries })
}

fn read_first_token(cursor: &mut Cursor) -> Result<Event> {
    let field = "begun";
    Ok(Event::FirstToken {
        request: cursor.u32(field)?,
        attempt: cursor.u16(field)?,
        server: cursor.u32(field)?,
        elapsed_s: cursor.f64(field)?,
    })
}

fn read_probe_end(cursor: &mut Cursor) -> Result<Event> {
    let field = "probe_done";
    Ok(Event::ProbeEnded {
        server: cursor.u32(field)?,
        outcome: cursor.outcome(field)?,
        elapsed_s: cursor.f64(field)?,
        report: cursor.report(field)?,
    })
}

fn read_peer_message(cursor: &mut Cursor) -> Result<Event> {
    let field = "inbox";
    let from = cursor.u32(field)?;
    let length = cursor.u16(field)?;
    let data = cursor.bytes(usize::from(length), field)?.to_vec();
    Ok(Event::PeerMessage { from, data })
}

fn read_reservation_answer(cursor: &mut Cursor) -> Result<Event> {
    let field = "reserved";
    let answer = Event::ReservationAnswer {
        request: cursor.u32(field)?,
        attempt: cursor.u16(field)?,
        server: cursor.u32(field)?,
        held: cursor.u8(field)? == codes::TOPIC_HELD,
    };
    let _value = cursor.f32(field)?;
    Ok(answer)
}

/// Decodes one entry of a server list.
pub fn read_entry(cursor: &mut Cursor) -> Result<ServerEntry> {
    let field = "a list entry";
    let weight = cursor.f32(field)?;
    let cell = cursor.u16(field)?;
    let zone = cursor.u16(field)?;
    let at = cursor.position();
    let code = cursor.u8(field)?;
    let status = codes::health(code).ok_or(WireError::UnknownHealth { code, at })?;
    Ok(ServerEntry {
        id: cursor.u32(field)?,
        status,
        kind: cursor.u16(field)?,
        cell,
        zone,
        weight,
        booted_at: cursor.f64(field)?,
    })
}

fn read_request(cursor: &mut Cursor) -> Result<Request> {
    let field = "accept";
    let id = cursor.u32(field)?;
    let max_output_tokens = cursor.f32(field)?;
    let tenant = cursor.u32(field)?;
    let marks = cursor.u16(field)?;
    let session = cursor.u64(field)?;
    let hint_s = cursor.f64(field)?;
    let has_hint = marks & codes::MARK_HINT != 0;
    Ok(Request {
        id,
        max_output_tokens,
        tenant,
        session,
        output_tokens: None,
        output_hint_s: has_hint.then_some(hint_s),
        class: cursor.u16(field)?,
        time_left_s: cursor.f64(field)?,
        prefix: cursor.u64(field)?,
        prompt_tokens: cursor.f32(field)?,
        prefix_tokens: cursor.f32(field)?,
    })
}

fn read_attempt_end(cursor: &mut Cursor) -> Result<AttemptEnd> {
    let field = "completed";
    let request = cursor.u32(field)?;
    let attempt = cursor.u16(field)?;
    let server = cursor.u32(field)?;
    let outcome = cursor.outcome(field)?;
    let elapsed_s = cursor.f64(field)?;
    let finished = cursor.u8(field)? != 0;
    let info = cursor.u32(field)?;
    let outcome = match outcome {
        Outcome::Rejected { .. } => Outcome::Rejected {
            state_missing: info == codes::INFO_STATE_MISSING,
        },
        other => other,
    };
    Ok(AttemptEnd {
        request,
        attempt,
        server,
        outcome,
        elapsed_s,
        finished,
        prefix_hit_tokens: f64::from(info),
        output_tokens: None,
        report: cursor.report(field)?,
    })
}
