//! Keeps the discovery watch open and passes the endpoint lists it delivers to the decision module.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, ListForm};

use super::Node;
use crate::discovery::{AppliedList, EndpointList};
use crate::timer::Timer;
use crate::types::Command;

impl Node {
    /// Starts the watch when it is due, and restarts one that has missed a timeout.
    pub(super) fn update_watch(&mut self, now: Micros, commands: &mut Vec<Command>) {
        if let Some(cause) = self.discovery.overdue_cause(now) {
            self.restart_watch(now, cause, commands);
        }
        if self.discovery.is_due(now) {
            let conn = self.next_conn();
            self.discovery.start_watch(now, conn, commands);
        }
        self.schedule_watch(now);
    }

    pub(super) fn on_watch_bytes(
        &mut self,
        now: Micros,
        bytes: &[u8],
        commands: &mut Vec<Command>,
    ) {
        let progress = self.discovery.receive(now, bytes);
        let read = progress.objects.iter().try_for_each(|object| {
            let list = EndpointList::parse(object, &self.names)?;
            self.apply_list(now, list, commands)
        });
        if progress.received_line && read.is_ok() {
            self.discovery.record_notification(now);
        }
        if let Some(cause) = read.err().or(progress.failure) {
            self.restart_watch(now, &cause, commands);
        }
    }

    /// Handles a watch connection that could not be established, was closed by discovery or broke.
    pub(super) fn on_watch_closed(&mut self, now: Micros, commands: &mut Vec<Command>) {
        self.restart_watch(now, "the connection failed or was closed", commands);
    }

    fn restart_watch(&mut self, now: Micros, cause: &str, commands: &mut Vec<Command>) {
        self.discovery.restart_watch(now, cause, commands);
        self.schedule_watch(now);
    }

    fn schedule_watch(&mut self, now: Micros) {
        if let Some(at) = self.discovery.next_timer(now) {
            self.timers.set(at, Timer::DiscoveryWatch);
        }
    }

    /// Applies an endpoint list. Idle connections to a server that has restarted lead to its previous process and are
    /// closed.
    ///
    /// # Errors
    /// A list whose version is older than the current one.
    fn apply_list(
        &mut self,
        now: Micros,
        list: EndpointList,
        commands: &mut Vec<Command>,
    ) -> Result<(), String> {
        let AppliedList {
            form,
            entries,
            restarted,
        } = self.discovery.apply(now, list)?;
        for server in restarted {
            self.close_idle_connections(server, commands);
        }
        if form == ListForm::Full || !entries.is_empty() {
            self.events.push_back(Event::Servers { form, entries });
        }
        self.log_warm_ups(now, commands);
        Ok(())
    }
}
