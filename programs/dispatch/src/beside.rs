//! Starts the cluster services that the settings enable: overload control, output lengths and workflows.

use std::path::Path;
use std::time::Duration;

use bitternlatch_cluster_net::{ClusterRuntime, DurableStore, SnapshotStore, Store};
use bitternlatch_core::{Input, Settings};
use bitternlatch_net::driver::{Event, ServiceSinks};
use bitternlatch_output_length::OutputLengths;
use bitternlatch_overload::OverloadControl;
use bitternlatch_quota_lease::ClusterService;
use bitternlatch_workflow::Workflows;
use crossbeam_channel::Sender;

/// What is needed to start a cluster service.
struct ServiceContext<'a> {
    settings: &'a Settings,
    /// Directory of the settings file; relative paths in the settings start here.
    base: &'a Path,
    runtime: &'a mut ClusterRuntime,
    /// Queue of the dispatcher's event loop. An event that finds the queue full is dropped; services repeat what must arrive.
    events: &'a Sender<Event>,
}

/// Passes the core's requests to a service; returns false if the service does not accept a request.
type RequestSender<A> = Box<dyn Fn(A) -> bool>;

impl ServiceContext<'_> {
    /// Runs a service in the cluster runtime. The service's events become inputs of the core; they are dropped while the
    /// event loop's queue is full.
    fn add_service<B>(
        &mut self,
        service: B,
        store: Option<Box<dyn Store>>,
        input: fn(B::Event) -> Input,
    ) -> Result<RequestSender<B::Request>, String>
    where
        B: ClusterService + Send + 'static,
        B::Request: Send + 'static,
        B::Event: 'static,
    {
        let events = self.events.clone();
        let on_event = move |event| drop(events.try_send(Event::Input(input(event))));
        let handle = self
            .runtime
            .add_service(service, store, on_event)
            .map_err(|e| e.with_advice())?;
        Ok(Box::new(move |request| handle.request(request).is_ok()))
    }
}

/// Starts each cluster service that the settings enable and returns the core's connections to them.
pub(crate) fn start(
    settings: &Settings,
    base: &Path,
    runtime: &mut ClusterRuntime,
    events: &Sender<Event>,
) -> Result<ServiceSinks, String> {
    let mut beside = ServiceSinks::default();
    let mut context = ServiceContext {
        settings,
        base,
        runtime,
        events,
    };
    start_overload_control(&mut context, &mut beside)?;
    start_output_lengths(&mut context, &mut beside)?;
    start_workflows(&mut context, &mut beside)?;
    Ok(beside)
}

fn start_overload_control(
    context: &mut ServiceContext,
    beside: &mut ServiceSinks,
) -> Result<(), String> {
    let cluster = context.settings.cluster.as_ref();
    let Some(overload) = cluster.and_then(|c| c.overload.clone()) else {
        return Ok(());
    };
    let (process, roster) = context.runtime.process_and_roster();
    let objectives = context.settings.classes.iter().map(|c| c.ttft_objective_s);
    let min_objective_s = objectives.fold(f64::INFINITY, f64::min);
    let seed = getrandom::u64().map_err(|e| format!("no random numbers from the system: {e}"))?;
    let service = OverloadControl::new(
        process,
        roster,
        overload,
        min_objective_s,
        seed,
        Duration::ZERO,
    );
    // If the event loop's queue is full, the core gets the next cut instead; by then the previous one has expired.
    beside.overload = Some(context.add_service(service, None, Input::Overload)?);
    Ok(())
}

fn start_output_lengths(
    context: &mut ServiceContext,
    beside: &mut ServiceSinks,
) -> Result<(), String> {
    let Some(settings) = context
        .settings
        .cluster
        .as_ref()
        .and_then(|c| c.output_lengths.as_ref())
    else {
        return Ok(());
    };
    let service = OutputLengths::new(
        context.runtime.process_and_roster().0,
        context.runtime.now(),
    );
    let snapshots = settings
        .snapshot_file
        .as_ref()
        .map(|file| SnapshotStore::new(context.base.join(file)));
    let store = snapshots.map(|store| -> Box<dyn Store> { Box::new(store) });
    // An answer's length is not counted if the service is too busy to accept it.
    beside.output_length = Some(context.add_service(service, store, Input::OutputLength)?);
    Ok(())
}

/// Starts the workflow service. It keeps its records on disk where the settings name a directory for them.
fn start_workflows(context: &mut ServiceContext, beside: &mut ServiceSinks) -> Result<(), String> {
    let settings = context
        .settings
        .cluster
        .as_ref()
        .and_then(|c| c.workflows.as_ref());
    let Some(settings) = settings else {
        return Ok(());
    };
    let records_dir = settings
        .records_dir
        .as_ref()
        .map(|dir| context.base.join(dir));
    let (process, roster) = context.runtime.process_and_roster();
    let seed = getrandom::u64().map_err(|e| format!("no random numbers from the system: {e}"))?;
    let service = Workflows::new(
        process,
        roster,
        settings,
        records_dir.is_some(),
        seed,
        context.runtime.now(),
    );
    let store = records_dir.map(|path| -> Box<dyn Store> { Box::new(DurableStore::new(&path)) });
    // The core times out a request that the service does not answer.
    beside.workflow = Some(context.add_service(service, store, Input::Workflow)?);
    Ok(())
}
