//! [`Workflows`], the state machine of one dispatcher: the coordinator of workflow operations and this member's register replica.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use bitternlatch_membership::{NameKey, Topic};
use bitternlatch_quota_lease::{ClusterService, Process, ServiceInput, ServiceOutput};
use bitternlatch_replicated_register::{Input, Output, RegisterKey, Replica, Version};

use crate::coordinator::{Coordinator, CoordinatorOutput};
use crate::io::{Command, Event, Settings};
use crate::record::Record;
use crate::transition::SafetyChecks;

/// Number of replicas of each workflow's register.
const REPLICAS: usize = 3;
/// Interval between sweeps of the records stored at this member's replica.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of records examined by one sweep.
const MAX_SWEEP_RECORDS: usize = 256;

/// Workflow service of one dispatcher: a pure state machine that joins the coordinator and the member's register replica.
pub struct Workflows {
    coordinator: Coordinator,
    replica: Replica,
    /// Key of the last register that was swept; `None` if the next sweep starts from the first key.
    swept_up_to: Option<RegisterKey>,
    next_sweep: Duration,
    /// Outputs of the coordinator that have not been processed yet.
    coordinator_out: Vec<CoordinatorOutput>,
    /// Outputs of the replica that have not been processed yet.
    replica_out: Vec<Output>,
}

impl Workflows {
    /// Creates the service. `roster`: names of all dispatchers, including this one. `durable`: whether [`ServiceOutput::Persist`]
    /// is written to disk.
    pub fn new(
        own: Process,
        roster: BTreeSet<NameKey>,
        settings: &Settings,
        durable: bool,
        seed: u64,
        now: Duration,
    ) -> Workflows {
        Workflows::with_safety_checks(
            own,
            roster,
            settings,
            durable,
            seed,
            now,
            SafetyChecks::AS_BUILT,
        )
    }

    /// Creates the service with some safety rules turned off, so that tests can show which violation each rule prevents.
    #[doc(hidden)]
    pub fn with_safety_checks(
        own: Process,
        roster: BTreeSet<NameKey>,
        settings: &Settings,
        durable: bool,
        seed: u64,
        now: Duration,
        safety_checks: SafetyChecks,
    ) -> Workflows {
        let register_settings = bitternlatch_replicated_register::Settings {
            replicas: REPLICAS,
            durable,
        };
        Workflows {
            coordinator: Coordinator::new(own, settings, safety_checks),
            replica: Replica::new(own, roster, register_settings, seed, now),
            swept_up_to: None,
            next_sweep: now + SWEEP_INTERVAL,
            coordinator_out: vec![],
            replica_out: vec![],
        }
    }

    /// Passes some of the locally stored records to the coordinator, which starts to observe their leases, expires workflows that
    /// exceeded their maximum age, and deletes the records of workflows that ended long ago.
    fn sweep(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        for (key, version, value) in self.next_swept() {
            // A record that cannot be decoded is reported when an operation reads it.
            let Ok(record) = Record::decode(&value) else {
                continue;
            };
            self.coordinator
                .sweep(now, key, version, &record, &mut self.coordinator_out);
        }
    }

    /// Returns the registers that the next sweep examines, in key order.
    fn next_swept(&mut self) -> Vec<(RegisterKey, Version, Vec<u8>)> {
        let after = self.swept_up_to.take();
        let registers: Vec<_> = self
            .replica
            .local_values()
            .filter(|(key, ..)| after.is_none_or(|last| **key > last))
            .take(MAX_SWEEP_RECORDS)
            .map(|(key, version, value)| (*key, version, value.to_vec()))
            .collect();
        if registers.len() == MAX_SWEEP_RECORDS {
            self.swept_up_to = registers.last().map(|(key, ..)| *key);
        }
        registers
    }

    /// Exchanges messages between the coordinator and the replica until neither has any left, after giving the replica `first`.
    /// Outputs to the outside are appended to `out`.
    fn exchange_messages(
        &mut self,
        now: Duration,
        first: Option<Input>,
        out: &mut Vec<ServiceOutput<Event>>,
    ) {
        let mut inputs: VecDeque<Input> = first.into_iter().collect();
        loop {
            for output in self.coordinator_out.drain(..) {
                match output {
                    CoordinatorOutput::Register(input) => inputs.push_back(input),
                    CoordinatorOutput::Event(event) => out.push(ServiceOutput::Event(event)),
                    CoordinatorOutput::Log { warn, text } => {
                        out.push(ServiceOutput::Log { warn, text })
                    }
                }
            }
            let Some(input) = inputs.pop_front() else {
                return;
            };
            self.replica.step(now, input, &mut self.replica_out);
            for output in std::mem::take(&mut self.replica_out) {
                self.on_replica_output(now, output, out);
            }
        }
    }

    fn on_replica_output(
        &mut self,
        now: Duration,
        output: Output,
        out: &mut Vec<ServiceOutput<Event>>,
    ) {
        match output {
            Output::Send(to, frame) => out.push(ServiceOutput::SendFrame(to, frame)),
            Output::Store {
                ticket,
                name,
                bytes,
            } => out.push(ServiceOutput::Persist {
                ticket,
                name,
                bytes,
            }),
            Output::Read { call, result } => {
                self.coordinator
                    .on_read(now, call, result, &mut self.coordinator_out);
            }
            Output::Written { call, result } => {
                self.coordinator
                    .on_written(now, call, result, &mut self.coordinator_out);
            }
            Output::Event(event) => {
                let text = format!("workflow replicas: {event}; {}", event.advice());
                let warn = event.is_warning();
                out.push(ServiceOutput::Log { warn, text });
            }
        }
    }
}

impl ClusterService for Workflows {
    const TOPIC: Topic = Topic::Workflows;
    type Request = Command;
    type Event = Event;

    fn wake_at(&self) -> Option<Duration> {
        let due = [
            self.coordinator.wake_at(),
            self.replica.wake_at(),
            Some(self.next_sweep),
        ];
        due.into_iter().flatten().min()
    }

    fn step(
        &mut self,
        now: Duration,
        input: ServiceInput<Command>,
        out: &mut Vec<ServiceOutput<Event>>,
    ) {
        // Timers that are due run first: after a pause of the process, an answer that arrives past its deadline must not count as
        // in time.
        self.coordinator.wake(now, &mut self.coordinator_out);
        self.sweep(now);
        self.exchange_messages(now, None, out);
        let input = match input {
            ServiceInput::Wake => Input::Wake,
            ServiceInput::Frame { from, payload } => Input::Frame { from, payload },
            ServiceInput::Peers(peers) => Input::Peers(peers),
            ServiceInput::Loaded(found) => Input::Loaded(found),
            ServiceInput::Persisted { ticket, done } => Input::Stored {
                ticket,
                result: done,
            },
            ServiceInput::Request(command) => {
                self.coordinator
                    .handle(now, command, &mut self.coordinator_out);
                return self.exchange_messages(now, None, out);
            }
            ServiceInput::Datagram { .. } | ServiceInput::Leave => return,
        };
        self.exchange_messages(now, Some(input), out);
    }
}
