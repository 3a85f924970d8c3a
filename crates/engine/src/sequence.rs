//! One request at an engine.

use crate::memory::Holding;
use crate::{Constants, Request, Work};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    Waiting,
    Fetching,
    /// Its state has come and is not taken yet.
    Arrived,
    Reading,
    Writing,
    /// A state for another engine.
    Held,
}

#[derive(Debug)]
pub(crate) struct Sequence {
    pub request: Request,
    pub phase: Phase,
    pub holding: Holding,
    /// Place in the order of admission; the latest is thrown out first.
    pub admitted: u64,
    pub written: u32,
    /// Tokens read since it was let in, those known before included.
    pub read: u64,
    /// Tokens that were known when it was let in first.
    pub cached: Option<u64>,
    /// It was thrown out: what it had is read again, also where it had been fetched.
    pub again: bool,
}

impl Sequence {
    pub(crate) fn new(request: Request) -> Sequence {
        let holding = Holding::default();
        let (phase, admitted, written, read, cached, again) =
            (Phase::Waiting, 0, 0, 0, None, false);
        Sequence {
            request,
            phase,
            holding,
            admitted,
            written,
            read,
            cached,
            again,
        }
    }

    /// Tokens of the answer.
    pub(crate) fn answer(&self) -> u32 {
        match self.request.work {
            Work::Read => 0,
            // An answer is one token at the least: the one that the read ends with.
            Work::ReadAndWrite { answer } | Work::FetchAndWrite { answer } => answer.max(1),
        }
    }

    /// It takes one of the slots when it is at work.
    pub(crate) fn writes(&self) -> bool {
        self.request.work != Work::Read
    }

    /// Its state comes from another engine.
    pub(crate) fn fetches(&self) -> bool {
        matches!(self.request.work, Work::FetchAndWrite { .. }) && !self.again
    }

    /// Tokens that it has in memory once it is read.
    pub(crate) fn tokens(&self) -> u64 {
        self.request
            .prompt
            .tokens
            .saturating_add(u64::from(self.written))
    }

    /// Blocks that it needs so that the next token finds room.
    pub(crate) fn needs(&self, constants: &Constants) -> usize {
        constants.blocks(self.tokens().saturating_add(u64::from(self.writes())))
    }

    pub(crate) fn at_work(&self) -> bool {
        !matches!(self.phase, Phase::Waiting | Phase::Held)
    }
}
