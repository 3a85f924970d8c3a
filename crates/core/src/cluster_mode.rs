//! What this dispatcher admits in its present quorum state, judged at each request and expiring by time.

use bitternlatch_membership::{AdmissionMode, EffectClass, QuorumState};
use bitternlatch_protocol::client::BadRequest;

use crate::budgets::Rejection;
use crate::machine::Machine;
use crate::settings::Effect;
use crate::types::Micros;

/// Seconds after which a client that was redirected may come back: a lost quorum takes about that long to return.
const RETRY_AFTER_S: f64 = 2.0;

/// The state of the quorum, and when it expires.
#[derive(Clone, Copy, Debug)]
struct ObservedQuorum {
    state: QuorumState,
    until: Micros,
}

/// The last observed state of the quorum, and who is present.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    quorum: Option<ObservedQuorum>,
    /// Names of the members that are present.
    present: Vec<String>,
}

fn effect_class(effect: Effect) -> EffectClass {
    match effect {
        Effect::Safe => EffectClass::Idempotent,
        Effect::Keyed => EffectClass::IdempotencyKey,
        Effect::Unsafe => EffectClass::NonIdempotent,
    }
}

impl Machine {
    pub(crate) fn on_quorum_state(
        &mut self,
        state: QuorumState,
        present: Vec<String>,
        until: Micros,
    ) {
        self.peers = Peers {
            quorum: Some(ObservedQuorum { state, until }),
            present,
        };
    }

    /// The quorum state that counts now; `None` without a cluster. An observation that has expired, also because this
    /// process was paused, counts as [`QuorumState::Alone`].
    pub(crate) fn quorum_state(&self, now: Micros) -> Option<QuorumState> {
        self.settings.cluster.as_ref()?;
        let fresh = self.peers.quorum.filter(|quorum| now < quorum.until);
        Some(fresh.map_or(QuorumState::Alone, |quorum| quorum.state))
    }

    /// What is done with requests of this effect now; `None` without a cluster.
    pub(crate) fn admission_mode(&self, now: Micros, effect: EffectClass) -> Option<AdmissionMode> {
        let quorum = self.quorum_state(now)?;
        Some(AdmissionMode::of(quorum, self.reaches_servers(now), effect))
    }

    /// Whether a request of this class may be begun, or sent for the first time, now.
    pub(crate) fn may_admit(&self, now: Micros, class: u16) -> bool {
        let Some(class) = self.settings.classes.get(usize::from(class)) else {
            return false;
        };
        self.admission_mode(now, effect_class(class.effect))
            .is_none_or(|mode| mode.admits)
    }

    /// The rejection of a request that may not be admitted, with where else to try: all other members that are present,
    /// or, where none is known to be, all of the roster.
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
        let is_present = |(name, _): &&(&String, &String)| self.peers.present.contains(name);
        let known: Vec<String> = all
            .iter()
            .filter(is_present)
            .map(|(_, at)| (*at).clone())
            .collect();
        // Where servers fail for all there is nowhere to go.
        let servers = self.reaches_servers(now);
        let alternatives = match known.is_empty() {
            _ if !servers && self.all_failing_at_peers() => vec![],
            true => all.iter().map(|(_, at)| (*at).clone()).collect(),
            false => known,
        };
        let message = match servers {
            true => "this dispatcher is cut off from its peers and takes nothing that must not run twice",
            false => "this dispatcher reaches no model host",
        };
        let error = BadRequest {
            status: 503,
            code: "cut_off",
            message: message.to_string(),
            param: None,
        };
        Rejection {
            error,
            retry_after_s: Some(RETRY_AFTER_S),
            alternatives,
        }
    }

    /// Whether callers should come, by what is known of peers and servers.
    pub fn is_ready(&self, now: Micros) -> bool {
        let peers = self
            .admission_mode(now, EffectClass::Idempotent)
            .is_none_or(|mode| mode.ready);
        peers && !self.stopping && self.counts().open_links > 0
    }
}
