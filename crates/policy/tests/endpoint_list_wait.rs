//! Requests that arrive before the first endpoint list: they wait for it, and are rejected in time.
mod common;
use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;
use common::*;

/// Latency objective of the harness's class times the ratio at which admission ends, halved.
const MAX_WAIT_S: f64 = 0.6;

/// A router that waits for its first list, after one request with a latency objective of 1 s.
fn waiting_router() -> RouterHarness {
    let mut settings = settings(Effect::NonIdempotent);
    settings.classes[0].ttft_objective_s = 1.0;
    settings.classes[0].ttft_objective_per_token_s = 0.0;
    let mut harness = RouterHarness::new(settings.clone());
    harness.router = Router::new(settings, 7);
    harness.handle(Event::EndpointListPending);
    harness.arrive(new_request(1));
    assert!(harness.sends.is_empty(), "sent without a list");
    harness
}

fn give_list(harness: &mut RouterHarness, form: ListForm) {
    let entries = vec![server(1, 0, 0), server(11, 1, 0)];
    harness.handle(Event::Servers { form, entries });
}

#[test]
fn waiting_request_is_sent_with_the_first_list() {
    let mut harness = waiting_router();
    harness.advance(MAX_WAIT_S - 0.05);
    give_list(&mut harness, ListForm::Failed);
    assert!(harness.sends.is_empty(), "a failed list is none");
    give_list(&mut harness, ListForm::Full);
    assert_eq!(harness.sends.len(), 1);
    harness.arrive(new_request(2));
    assert_eq!(harness.sends.len(), 2, "later requests do not wait");
}

#[test]
fn waiting_request_is_rejected_once_it_would_be_late() {
    let mut harness = waiting_router();
    let is_reject = |action: &Action| matches!(action, Action::Reject { request: 1, .. });
    assert!(!harness.advance(MAX_WAIT_S - 0.01).iter().any(is_reject));
    assert!(harness.advance(0.02).iter().any(is_reject));
    give_list(&mut harness, ListForm::Full);
    assert!(harness.sends.is_empty(), "sent after its rejection");
}

#[test]
fn request_of_a_disconnected_client_does_not_wait() {
    let mut harness = waiting_router();
    harness.handle(Event::ClientDisconnected { request: 1 });
    give_list(&mut harness, ListForm::Full);
    assert!(harness.sends.is_empty());
}
