//! Keeps the discovery watch open and passes the endpoint lists it delivers to the decision module.

use bitternlatch_core::Micros;
use bitternlatch_policy::interface::{Event, ListForm};

use super::{log, Node};
use crate::discovery::{AppliedList, EndpointList};
use crate::timer::Timer;
use crate::types::{Command, ConnId, Level};

impl Node {
    /// Whether a connection is the discovery watch's.
    pub fn is_discovery_watch(&self, conn: ConnId) -> bool {
        self.discovery.owns_connection(conn)
    }

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
        let had_list = self.discovery.has_list();
        let progress = self.discovery.receive(now, bytes);
        let read = progress.objects.iter().try_for_each(|object| {
            let list = EndpointList::parse(object, &self.names)?;
            self.apply_list(now, list, commands)
        });
        if progress.received_line && read.is_ok() {
            if let Some(applied) = self.discovery.record_notification(now) {
                self.pass_on_list(now, applied, commands);
            }
        }
        if !had_list && self.discovery.has_list() {
            let line = self.discovery.first_list_line(now);
            log(commands, Level::Info, line);
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
        let applied = self.discovery.apply(now, list)?;
        self.pass_on_list(now, applied, commands);
        Ok(())
    }

    fn pass_on_list(&mut self, now: Micros, applied: AppliedList, commands: &mut Vec<Command>) {
        let AppliedList {
            form,
            entries,
            restarted,
        } = applied;
        for server in restarted {
            self.close_idle_connections(server, commands);
        }
        if form == ListForm::Full || !entries.is_empty() {
            self.events.push_back(Event::Servers { form, entries });
        }
        self.log_warm_ups(now, commands);
    }

    /// Reports the node ready though discovery has not answered: a load balancer waits only so long.
    pub(super) fn on_readiness_timeout(&mut self, commands: &mut Vec<Command>) {
        self.readiness_timed_out = true;
        if !self.discovery.has_list() {
            let text = "ready without an endpoint list: discovery has not answered since the start, and nothing is \
                        sent to servers until it does";
            log(commands, Level::Warn, text.into());
        }
    }
}
