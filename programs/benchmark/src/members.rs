//! Membership in simulated time, by the code that serves: how soon a failed one is missed, how often one that is there,
//! how soon all agree again, and what it costs on the wire.

use std::path::Path;
use std::time::Duration;

use bitternlatch_membership::simulated::{ms, World};
use bitternlatch_membership::{Event, State};

use crate::plot::{draw, shares, Figure};
use crate::rig;

/// What was seen in all runs of one size.
#[derive(Default)]
struct Seen {
    missed_s: Vec<f64>,
    unmissed: usize,
    healed_s: Vec<f64>,
    unhealed: usize,
    bytes_s: f64,
    longest: usize,
    /// Living members given up, by loss of 5 and 30 of 100.
    removed: [usize; 2],
    unheard: usize,
}

/// Shares of datagrams that are lost.
pub const LOSSES: [f64; 2] = [0.05, 0.3];
/// Points of a drawn line.
const POINTS: usize = 120;
const QUIET: Duration = Duration::from_secs(20);
const KILLED: Duration = Duration::from_secs(15);
const PARTED: Duration = Duration::from_secs(10);
const HEALED: Duration = Duration::from_secs(60);

fn failure(size: usize, seed: u64, seen: &mut Seen) {
    let mut world = World::new(size, seed);
    world.run(QUIET);
    seen.unheard += usize::from(!world.all_see_whole_roster());
    let before = world.bytes_sent;
    world.run(QUIET + ms(5_000));
    seen.bytes_s += (world.bytes_sent - before) as f64 / 5.0 / size as f64;
    let killed = world.net.now;
    world.kill(size - 1);
    world.run(killed + KILLED);
    let downs = world.down_events(size - 1, killed);
    seen.unmissed += (size - 1).saturating_sub(downs.len());
    seen.missed_s
        .extend(downs.iter().map(|(at, _)| (*at - killed).as_secs_f64()));
    seen.longest = seen.longest.max(world.longest_datagram);
}

fn parted(size: usize, seed: u64, seen: &mut Seen) {
    let mut world = World::new(size, seed);
    world.run(QUIET);
    world.net.passes = Box::new(move |from, to| (2 * from < size) == (2 * to < size));
    world.run(QUIET + PARTED);
    world.net.passes = Box::new(|_, _| true);
    let healed = world.net.now;
    while world.net.now < healed + HEALED && !world.all_see_whole_roster() {
        world.run(world.net.now + ms(100));
    }
    match world.all_see_whole_roster() {
        true => seen.healed_s.push((world.net.now - healed).as_secs_f64()),
        false => seen.unhealed += 1,
    }
}

fn lossy(size: usize, seed: u64, loss: f64, for_s: u64) -> usize {
    let mut world = World::new(size, seed);
    world.run(QUIET);
    world.net.loss = loss;
    let began = world.net.now;
    world.run(began + Duration::from_secs(for_s));
    let down = |e: &&(Duration, usize, Event)| {
        matches!(
            e.2,
            Event::Member {
                state: State::Down,
                ..
            }
        ) && e.0 >= began
    };
    world.events.iter().filter(down).count()
}

fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    if values.is_empty() {
        return f64::NAN;
    }
    rig::quantile(values, q)
}

/// Runs each size with so many seeds, side by side, and prints a line for each.
///
/// # Errors
/// Where a figure cannot be drawn.
pub fn measure(
    sizes: &[usize],
    seeds: u64,
    (lossy_s, losses): (u64, &[f64]),
    svg: Option<&Path>,
) -> Result<(), String> {
    let (mut missed, mut healed) = (Vec::new(), Vec::new());
    println!("simulated; {seeds} seeds; removals of living members by a peer, in {lossy_s} s of loss a seed");
    println!(
        "{:>5} {:>9} {:>9} {:>8} {:>10} {:>9} {:>9} {:>8} {:>9} {:>9} {:>8}",
        "size",
        "missed50",
        "missed99",
        "unmissed",
        "healed50",
        "healedmax",
        "unhealed",
        "bytes/s",
        "longest",
        "at 5%",
        "at 30%"
    );
    for size in sizes {
        let threads = std::thread::available_parallelism().map_or(2, usize::from) as u64;
        let one = |lane: u64| {
            let mut seen = Seen::default();
            for seed in (0..seeds).filter(|seed| seed % threads == lane) {
                failure(*size, seed, &mut seen);
                parted(*size, 1000 + seed, &mut seen);
                for (i, loss) in losses.iter().enumerate() {
                    seen.removed[i] +=
                        lossy(*size, (2000 + 1000 * i as u64) + seed, *loss, lossy_s);
                }
            }
            seen
        };
        let lanes: Vec<Seen> = std::thread::scope(|scope| {
            let lanes: Vec<_> = (0..threads)
                .map(|lane| scope.spawn(move || one(lane)))
                .collect();
            lanes
                .into_iter()
                .filter_map(|lane| lane.join().ok())
                .collect()
        });
        let all =
            |of: fn(&Seen) -> &Vec<f64>| lanes.iter().flat_map(|s| of(s).iter().copied()).collect();
        missed.push((
            format!("{size} members"),
            shares(all(|s| &s.missed_s), POINTS),
        ));
        healed.push((
            format!("{size} members"),
            shares(all(|s| &s.healed_s), POINTS),
        ));
        print_line(*size, seeds, lanes);
    }
    let Some(dir) = svg else { return Ok(()) };
    let title = format!("A killed member is missed (simulated, {seeds} seeds)");
    let figure = Figure {
        title: &title,
        x: "seconds after the kill",
        y: "share of the others",
    };
    draw(&dir.join("members-missed.svg"), &figure, &missed)?;
    let title = format!("Halves apart for 10 s agree again (simulated, {seeds} seeds)");
    let figure = Figure {
        title: &title,
        x: "seconds after healing",
        y: "share of the runs",
    };
    draw(&dir.join("members-healed.svg"), &figure, &healed)
}

fn print_line(size: usize, seeds: u64, lanes: Vec<Seen>) {
    let mut missed: Vec<f64> = lanes
        .iter()
        .flat_map(|s| s.missed_s.iter().copied())
        .collect();
    let mut healed: Vec<f64> = lanes
        .iter()
        .flat_map(|s| s.healed_s.iter().copied())
        .collect();
    let sum = |of: fn(&Seen) -> usize| lanes.iter().map(of).sum::<usize>();
    let bytes = lanes.iter().map(|s| s.bytes_s).sum::<f64>() / seeds as f64;
    let longest = lanes.iter().map(|s| s.longest).max().unwrap_or(0);
    println!(
        "{size:>5} {:>8.2}s {:>8.2}s {:>8} {:>9.1}s {:>8.1}s {:>9} {bytes:>8.0} {longest:>9} {:>9} {:>8}",
        quantile(&mut missed, 0.5),
        quantile(&mut missed, 0.99),
        sum(|s| s.unmissed),
        quantile(&mut healed, 0.5),
        quantile(&mut healed, 1.0),
        sum(|s| s.unhealed),
        sum(|s| s.removed[0]),
        sum(|s| s.removed[1]),
    );
    if sum(|s| s.unheard) > 0 {
        println!(
            "      not all had heard of all within {} s in {} runs",
            QUIET.as_secs(),
            sum(|s| s.unheard)
        );
    }
}
