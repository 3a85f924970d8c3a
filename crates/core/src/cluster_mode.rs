//! Which requests this dispatcher admits in its current quorum state. The state is checked at each request and expires
//! unless it is renewed.

use bitternlatch_membership::{AdmissionMode, EffectClass, QuorumState};
use bitternlatch_protocol::client::BadRequest;

use crate::budgets::Rejection;
use crate::machine::Machine;
use crate::settings::Effect;
use crate::types::Micros;

/// Delay after which a redirected client may try this dispatcher again, seconds: a lost quorum takes about that long to
/// return.
const RETRY_AFTER_S: f64 = 2.0;

/// The last observed state of the quorum and the time at which the observation expires.
#[derive(Clone, Copy, Debug)]
struct ObservedQuorum {
    state: QuorumState,
    until: Micros,
}

/// What is known of the other members of the cluster.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    quorum: Option<ObservedQuorum>,
    /// Names of the other members that this dispatcher's membership reported as reachable in its latest
    /// [`crate::Input::QuorumState`].
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

    /// The quorum state in force now; `None` if no cluster is configured. An expired observation counts as
    /// [`QuorumState::Alone`]; observations also expire while this process is paused.
    pub(crate) fn quorum_state(&self, now: Micros) -> Option<QuorumState> {
        self.settings.cluster.as_ref()?;
        let fresh = self.peers.quorum.filter(|quorum| now < quorum.until);
        Some(fresh.map_or(QuorumState::Alone, |quorum| quorum.state))
    }

    /// How requests of this effect class are handled now; `None` if no cluster is configured.
    pub(crate) fn admission_mode(&self, now: Micros, effect: EffectClass) -> Option<AdmissionMode> {
        let quorum = self.quorum_state(now)?;
        Some(AdmissionMode::of(quorum, self.reaches_servers(now), effect))
    }

    /// Whether a request of this class may be admitted, or its first attempt sent, now.
    pub(crate) fn may_admit(&self, now: Micros, class: u16) -> bool {
        let Some(class) = self.settings.classes.get(usize::from(class)) else {
            return false;
        };
        self.admission_mode(now, effect_class(class.effect))
            .is_none_or(|mode| mode.admits)
    }

    /// The rejection of a request that may not be admitted. It names the client addresses of the other members that are
    /// present or, if none is known to be present, of all others in the roster.
    pub(crate) fn redirect_to_peers(&self, now: Micros) -> Rejection {
        let others = self
            .settings
            .cluster
            .iter()
            .flat_map(|c| &c.roster)
            .filter(|p| p.name != self.settings.name);
        let peers: Vec<_> = others
            .filter_map(|p| Some((&p.name, p.client_address.as_ref()?)))
            .collect();
        let is_present = |(name, _): &&(&String, &String)| self.peers.present.contains(name);
        let present: Vec<String> = peers
            .iter()
            .filter(is_present)
            .map(|(_, address)| (*address).clone())
            .collect();
        // If the model servers fail for every dispatcher, no other dispatcher can do better.
        let servers_reachable = self.reaches_servers(now);
        let alternatives = match present.is_empty() {
            _ if !servers_reachable && self.all_failing_at_peers() => vec![],
            true => peers
                .iter()
                .map(|(_, address)| (*address).clone())
                .collect(),
            false => present,
        };
        let message = match servers_reachable {
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

    /// Whether the readiness check succeeds: the quorum state allows it, the machine is not stopping and at least one
    /// link to a model server is open.
    pub fn is_ready(&self, now: Micros) -> bool {
        let quorum_allows = self
            .admission_mode(now, EffectClass::Idempotent)
            .is_none_or(|mode| mode.ready);
        quorum_allows && !self.stopping && self.counts().open_links > 0
    }
}
