//! A digest of a router's actions. Each action is encoded explicitly, so that neither the name of a
//! type nor the choice of a hasher changes the digest.
#![allow(dead_code)]

use bitternlatch_policy::choice::Router;
use bitternlatch_policy::interface::*;

const FNV_OFFSET: u64 = 0xCBF2_9CE4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01B3;

/// A 64-bit FNV-1a hash over the values added so far, in order.
#[derive(Clone, Copy)]
pub struct Digest(u64);

impl Digest {
    pub fn new() -> Digest {
        Digest(FNV_OFFSET)
    }

    pub fn value(self) -> u64 {
        self.0
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    pub fn seconds(&mut self, seconds: f64) {
        self.number(seconds.to_bits());
    }

    /// Adds a byte string, preceded by its length.
    fn text(&mut self, text: &[u8]) {
        self.number(text.len() as u64);
        self.bytes(text);
    }

    /// Adds the code of a variant and its fields as numbers.
    fn coded(&mut self, code: u8, numbers: &[u64]) {
        self.bytes(&[code]);
        numbers.iter().for_each(|number| self.number(*number));
    }

    /// Adds an action: a code for its variant, used only here, then its fields in order.
    pub fn action(&mut self, action: &Action) {
        match *action {
            Action::Send {
                request,
                server,
                timeout_s,
            } => {
                self.coded(1, &[request.into(), server.into(), timeout_s.to_bits()]);
            }
            Action::Cancel { request, attempt } => {
                self.coded(2, &[request.into(), attempt.into()]);
            }
            Action::Reject {
                request,
                retry_after_s,
            } => {
                self.coded(3, &[request.into(), retry_after_s.to_bits()]);
            }
            Action::Fail { request } => self.coded(4, &[request.into()]),
            Action::Release { request, repeat } => {
                self.coded(5, &[request.into()]);
                if let Some(repeat) = repeat {
                    self.seconds(repeat.interval_s);
                    self.seconds(repeat.until);
                }
            }
            Action::Probe { server } => self.coded(6, &[server.into()]),
            Action::SetTimer { at, label } => self.coded(7, &[at.to_bits(), label]),
            Action::Subscribe => self.coded(8, &[]),
            Action::Unsubscribe => self.coded(9, &[]),
            Action::FetchList => self.coded(10, &[]),
            Action::ReserveSlot { request, server } => {
                self.coded(11, &[request.into(), server.into()]);
            }
            Action::Migrate { request } => self.coded(12, &[request.into()]),
            Action::CloseIdle { server } => self.coded(13, &[server.into()]),
            Action::SendToPeer { peer, ref data } => {
                self.coded(14, &[peer.map_or(u64::MAX, u64::from)]);
                self.text(data);
            }
            Action::Log { ref text } => {
                self.coded(15, &[]);
                self.text(text.as_bytes());
            }
            Action::Fault { ref text } => {
                self.coded(16, &[]);
                self.text(text.as_bytes());
            }
        }
    }

    /// Adds a router's explanations of its latest choice and of the latest request that it ended
    /// without serving it.
    pub fn explanations(&mut self, router: &Router) {
        let last = router.last_choice();
        self.number(last.request.into());
        self.seconds(last.explanation.queue_s);
        self.seconds(last.explanation.prefill_s);
        self.seconds(last.explanation.total_s);
        self.seconds(last.explanation.lateness_s);
        self.seconds(last.explanation.limit_s);
        match router.last_failure() {
            Some(failed) => self.coded(cause_code(failed.cause), &[failed.request.into()]),
            None => self.coded(0, &[]),
        }
    }
}

fn cause_code(cause: Cause) -> u8 {
    match cause {
        Cause::NoPrefillServer => 1,
        Cause::NoDecodeServer => 2,
        Cause::ExpectedLate => 3,
        Cause::NoRetryLeft => 4,
        Cause::MayHaveRun => 5,
        Cause::StateExpired => 6,
        Cause::Deadline => 7,
        Cause::NotSent => 8,
        Cause::Forbidden => 9,
        Cause::NoEndpointList => 10,
    }
}
