//! Starts the machines beside the plane that the settings switch on.

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

/// What a machine beside the plane is made of.
struct Place<'a> {
    settings: &'a Settings,
    /// Folder of the settings file.
    base: &'a Path,
    plane: &'a mut ClusterRuntime,
    /// The core's loop. A machine's word that finds it full is lost: what must be known is told again.
    to: &'a Sender<Event>,
}

/// Takes what the core asks of a machine; false where it is not taken.
type Taker<A> = Box<dyn Fn(A) -> bool>;

impl Place<'_> {
    /// Runs a machine; what it tells enters the core as an input, or is lost where the loop is behind.
    fn run<B>(
        &mut self,
        machine: B,
        store: Option<Box<dyn Store>>,
        input: fn(B::Event) -> Input,
    ) -> Result<Taker<B::Request>, String>
    where
        B: ClusterService + Send + 'static,
        B::Request: Send + 'static,
        B::Event: 'static,
    {
        let to = self.to.clone();
        let told = move |told| drop(to.try_send(Event::Input(input(told))));
        let asker = self
            .plane
            .add_service(machine, store, told)
            .map_err(|e| e.with_advice())?;
        Ok(Box::new(move |ask| asker.request(ask).is_ok()))
    }
}

pub(crate) fn start(
    settings: &Settings,
    base: &Path,
    plane: &mut ClusterRuntime,
    to: &Sender<Event>,
) -> Result<ServiceSinks, String> {
    let mut beside = ServiceSinks::default();
    let mut place = Place {
        settings,
        base,
        plane,
        to,
    };
    overload(&mut place, &mut beside)?;
    lengths(&mut place, &mut beside)?;
    workflows(&mut place, &mut beside)?;
    Ok(beside)
}

fn overload(place: &mut Place, beside: &mut ServiceSinks) -> Result<(), String> {
    let cluster = place.settings.cluster.as_ref();
    let Some(own) = cluster.and_then(|c| c.overload.clone()) else {
        return Ok(());
    };
    let (process, roster) = place.plane.own();
    let aims = place.settings.classes.iter().map(|c| c.ttft_objective_s);
    let aim_s = aims.fold(f64::INFINITY, f64::min);
    let seed = getrandom::u64().map_err(|e| format!("no randomness: {e}"))?;
    let machine = OverloadControl::new(process, roster, own, aim_s, seed, Duration::ZERO);
    // A loop that is behind gets the next cut; what it has is no longer believed then.
    beside.overload = Some(place.run(machine, None, Input::Overload)?);
    Ok(())
}

fn lengths(place: &mut Place, beside: &mut ServiceSinks) -> Result<(), String> {
    let Some(wanted) = place
        .settings
        .cluster
        .as_ref()
        .and_then(|c| c.output_lengths.as_ref())
    else {
        return Ok(());
    };
    let machine = OutputLengths::new(place.plane.own().0, place.plane.now());
    let kept = wanted
        .snapshot_file
        .as_ref()
        .map(|kept| SnapshotStore::at(place.base.join(kept)));
    let store = kept.map(|kept| -> Box<dyn Store> { Box::new(kept) });
    // An answer that finds it busy is not counted.
    beside.output_length = Some(place.run(machine, store, Input::OutputLength)?);
    Ok(())
}

/// The machine of workflows, with its copies on disk where a file is named.
fn workflows(place: &mut Place, beside: &mut ServiceSinks) -> Result<(), String> {
    let settings = place
        .settings
        .cluster
        .as_ref()
        .and_then(|c| c.workflows.as_ref());
    let Some(settings) = settings else {
        return Ok(());
    };
    let kept = settings
        .records_dir
        .as_ref()
        .map(|dir| place.base.join(dir));
    let (own, roster) = place.plane.own();
    let seed = getrandom::u64().map_err(|e| format!("no randomness: {e}"))?;
    let machine = Workflows::new(
        own,
        roster,
        settings,
        kept.is_some(),
        seed,
        place.plane.now(),
    );
    let store = kept.map(|path| -> Box<dyn Store> { Box::new(DurableStore::at(&path)) });
    // A question that hears nothing ends by its own time.
    beside.workflow = Some(place.run(machine, store, Input::Workflow)?);
    Ok(())
}
