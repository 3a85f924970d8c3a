//! Starts the machines beside the plane that the settings switch on.

use std::path::Path;
use std::time::Duration;

use bitternlatch_core::{Input, Settings};
use bitternlatch_net::clock::Clock;
use bitternlatch_net::driver::{Beside, Event};
use bitternlatch_peer_net::{Kept, Plane, Store};
use bitternlatch_workflow::Workflows;
use crossbeam_channel::Sender;

/// What a machine beside the plane is made of.
struct Place<'a> {
    settings: &'a Settings,
    /// Folder of the settings file.
    base: &'a Path,
    plane: &'a mut Plane,
    /// The core's loop. A machine's word that finds it full is lost: what must be known is told again.
    to: &'a Sender<Event>,
}

pub(crate) fn start(
    settings: &Settings,
    base: &Path,
    plane: &mut Plane,
    to: &Sender<Event>,
) -> Result<Beside, String> {
    let mut beside = Beside::default();
    let mut place = Place { settings, base, plane, to };
    overload(&mut place, &mut beside)?;
    lengths(&mut place, &mut beside)?;
    workflows(&mut place, &mut beside)?;
    Ok(beside)
}

fn overload(_place: &mut Place, _beside: &mut Beside) -> Result<(), String> {
    Ok(())
}

fn lengths(_place: &mut Place, _beside: &mut Beside) -> Result<(), String> {
    Ok(())
}

/// The machine of workflows, with its copies on disk where a file is named.
fn workflows(place: &mut Place, beside: &mut Beside) -> Result<(), String> {
    let settings = place.settings.cluster.as_ref().and_then(|c| c.workflows.as_ref());
    let Some(settings) = settings else { return Ok(()) };
    let kept = settings.kept.as_ref().map(|file| place.base.join(file));
    let (own, roster) = place.plane.own();
    let seed = getrandom::u64().map_err(|e| format!("no randomness: {e}"))?;
    let now = Duration::from_micros(Clock::start().now().0);
    let machine = Workflows::new(own, roster, settings, kept.is_some(), seed, now);
    let store = kept.map(|path| -> Box<dyn Store> { Box::new(Kept::at(&path)) });
    let to = place.to.clone();
    let told = move |told| {
        // As for all that it tells: a question that hears nothing ends by its own time.
        let _ = to.try_send(Event::Input(Input::Workflow(told)));
    };
    let asker = place.plane.beside(machine, store, told).map_err(|e| format!("workflows: {e}"))?;
    beside.workflow = Some(Box::new(move |ask| asker.ask(ask).is_ok()));
    Ok(())
}
