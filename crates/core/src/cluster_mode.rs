//! What this dispatcher may do by what it knows of its peers, checked at the act and by time.

use bitternlatch_membership::{AdmissionMode, EffectClass, QuorumState};
use bitternlatch_protocol::client::BadRequest;

use crate::budgets::Rejection;
use crate::machine::Machine;
use crate::settings::Effect;
use crate::types::Micros;

/// Seconds after which one that is sent elsewhere may come back here: a standing takes about that long to mend.
const RETRY_AFTER_S: f64 = 2.0;

/// The last state of the quorum, and who is present.
/// The state of the quorum, and when it expires.
#[derive(Clone, Copy, Debug)]
struct ObservedQuorum {
    state: QuorumState,
    until: Micros,
}

#[derive(Debug, Default)]
pub(crate) struct Peers {
    quorum: Option<ObservedQuorum>,
    /// Names of those that are there.
    present: Vec<String>,
}

fn work(effect: Effect) -> EffectClass {
    match effect {
        Effect::Safe => EffectClass::Safe,
        Effect::Keyed => EffectClass::Keyed,
        Effect::Unsafe => EffectClass::Unsafe,
    }
}

impl Machine {
    pub(crate) fn on_quorum_state(
        &mut self,
        standing: QuorumState,
        there: Vec<String>,
        until: Micros,
    ) {
        self.peers = Peers {
            quorum: Some(ObservedQuorum {
                state: standing,
                until,
            }),
            present: there,
        };
    }

    /// What it knows now; `None` where it is to know of nobody. What was told before this process stood still, or has
    /// not been told again in time, is no knowledge: it counts as alone.
    pub(crate) fn standing(&self, now: Micros) -> Option<QuorumState> {
        self.settings.cluster.as_ref()?;
        let fresh = self.peers.quorum.filter(|quorum| now < quorum.until);
        Some(fresh.map_or(QuorumState::Alone, |quorum| quorum.state))
    }

    /// What it does with such work now; `None` where it is to know of nobody.
    pub(crate) fn duty(&self, now: Micros, work: EffectClass) -> Option<AdmissionMode> {
        Some(AdmissionMode::of(
            self.standing(now)?,
            self.reaches_servers(now),
            work,
        ))
    }

    /// Whether a request of this class may be begun, or sent for the first time, now.
    pub(crate) fn may_admit(&self, now: Micros, class: u16) -> bool {
        let Some(class) = self.settings.classes.get(usize::from(class)) else {
            return false;
        };
        self.duty(now, work(class.effect))
            .is_none_or(|duty| duty.takes)
    }

    /// The refusal of what may not be taken, with where else to try: all others that are there, or, where none is
    /// known to be, all that there should be.
    pub(crate) fn redirect_to_peers(&self, now: Micros) -> Rejection {
        let others = self
            .settings
            .cluster
            .iter()
            .flat_map(|c| &c.roster)
            .filter(|p| p.name != self.settings.name);
        let all: Vec<_> = others
            .filter_map(|p| Some((&p.name, p.client_address.as_ref()?)))
            .collect();
        let there = |(name, _): &&(&String, &String)| self.peers.present.contains(name);
        let known: Vec<String> = all
            .iter()
            .filter(there)
            .map(|(_, at)| (*at).clone())
            .collect();
        // Where servers fail for all there is nowhere to go.
        let servers = self.reaches_servers(now);
        let elsewhere = match known.is_empty() {
            _ if !servers && self.all_failing_at_peers() => vec![],
            true => all.iter().map(|(_, at)| (*at).clone()).collect(),
            false => known,
        };
        let message = match servers {
            true => "this dispatcher is cut off from its peers and takes nothing that must not run twice",
            false => "this dispatcher reaches no model host",
        };
        let bad = BadRequest {
            status: 503,
            code: "cut_off",
            message: message.to_string(),
            param: None,
        };
        Rejection {
            bad,
            retry_after_s: Some(RETRY_AFTER_S),
            elsewhere,
        }
    }

    /// Whether callers should come, by what is known of peers and servers.
    pub fn is_ready(&self, now: Micros) -> bool {
        let peers = self
            .duty(now, EffectClass::Safe)
            .is_none_or(|duty| duty.ready);
        peers && !self.stopping && self.counts().open_links > 0
    }
}
