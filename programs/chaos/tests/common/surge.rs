//! Days of several dispatchers before small hosts, so that few requests are several times what can be served.

use std::path::{Path, PathBuf};

use bitternlatch_chaos::day::Day;
use bitternlatch_chaos::run::{run, Outcome};
use bitternlatch_invariant_checker::{Load, Part, Recovery};
use bitternlatch_machine_load::slots::Slots;

use super::{folder, image};

/// Requests a second that these hosts read at the most: 6,000 tokens a second at some 245 a request.
pub const CAPACITY: f64 = 24.0;

/// Scenes at a time, of all tests together: each has dispatchers, hosts and hundreds of clients.
const MAX_AT_A_TIME: usize = 4;

static SLOTS: Slots = Slots::new(MAX_AT_A_TIME);

const MIX: &str = r#"
[[mix]]
class = "slot-query"
share = 0.7
turns = [1, 2]
turn_tokens = [150, 250]
answer_tokens = [10, 20]
prefixes = 0
prefix_tokens = 0
prefix_share = 0.0
[[mix]]
class = "season-booking"
share = 0.3
turns = [1, 1]
turn_tokens = [300, 500]
answer_tokens = [10, 20]
prefixes = 0
prefix_tokens = 0
prefix_share = 0.0
"#;

const HOSTS: &str = r#"
[[hosts]]
name = "reader-[1:2]"
kind = "reader"
role = "reader"
read_tokens_per_s = 3000
[[hosts]]
name = "writer-[1:2]"
kind = "writer"
role = "writer"
slots = 8
"#;

/// Worth a second that they answer in time at 0.8 of it is 24; what has to be kept above it, with a margin for a loaded machine.
pub const KEPT: f64 = 14.0;

/// One scenario.
pub struct Scene {
    pub name: &'static str,
    pub dispatchers: usize,
    /// Of the capacity.
    pub load: f64,
    pub for_s: f64,
    /// Off for all by OVERLOAD_OFF in the environment, which shows what each test would find without it.
    pub on: bool,
    /// The control is told nothing of the hosts, and takes them for six times as fast as they are.
    pub guessed: bool,
    pub waits_most_s: f64,
    /// `[clients]`, and what is put over the settings.
    pub clients: &'static str,
    pub over: String,
    pub mix: String,
    /// Faults, surges, troubles.
    pub more: String,
}

/// Plays scenes side by side, as they wait more than they work.
pub fn together(scenes: &[fn()]) {
    std::thread::scope(|all| scenes.iter().for_each(|scene| drop(all.spawn(scene))));
}

impl Scene {
    pub fn new(name: &'static str, load: f64, for_s: f64, more: impl Into<String>) -> Scene {
        Scene {
            name,
            dispatchers: 3,
            load,
            for_s,
            on: std::env::var_os("OVERLOAD_OFF").is_none(),
            guessed: false,
            waits_most_s: 2.0,
            clients: "",
            over: String::new(),
            mix: MIX.to_string(),
            more: more.into(),
        }
    }

    pub fn play(&self) -> Played {
        let beside = match (self.on, self.guessed) {
            (false, _) => "",
            (true, true) => "beside = { overload = {} }",
            (true, false) => {
                "beside = { overload = { read_tokens_per_s = 3000, write_tokens_per_s = 400 } }"
            }
        };
        let rate = CAPACITY * self.load;
        let text = format!(
            "seed = 3\nfor_s = {:?}\nrate_rps = {rate:?}\nretries = 2\nclients = {{ waits_most_s = {:?}, {} }}\n\
             [dispatchers]\ncount = {}\nsettings = \"dispatch.toml\"\ncluster = true\n{beside}\n{}\n{}{HOSTS}{}",
            self.for_s, self.waits_most_s, self.clients, self.dispatchers, self.over, self.mix, self.more
        );
        let day = Day::parse(&text).expect(self.name);
        let dir = folder(&format!("overload-{}", self.name));
        let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
        let slot = SLOTS.take();
        let outcome = run(&day, &deploy, &dir, &image()).expect(self.name);
        drop(slot);
        let mut shown = outcome.verdict.load.lines();
        shown.push(outcome.machine.to_string());
        let shown = shown.join("\n");
        println!("{} {:?}\n{shown}", self.name, outcome.verdict.service);
        println!(
            "asked by second {:.0?}\nin time by second {:.0?}",
            load(&outcome).asked_by_s,
            load(&outcome).goodput_by_s
        );
        Played {
            outcome,
            dir,
            shown,
        }
    }
}

fn load(of: &Outcome) -> &Load {
    &of.verdict.load
}

/// What a scenario came to.
pub struct Played {
    pub outcome: Outcome,
    pub dir: PathBuf,
    pub shown: String,
}

impl Played {
    pub fn load(&self) -> &Load {
        load(&self.outcome)
    }

    pub fn part(&self, name: &str) -> &Part {
        self.load()
            .parts
            .get(name)
            .unwrap_or_else(|| panic!("{name} was asked for"))
    }

    /// Of the trouble whose name begins so.
    pub fn recovery(&self, of: &str) -> &Recovery {
        let found = self
            .load()
            .recoveries
            .iter()
            .find(|r| r.trouble.starts_with(of));
        found.unwrap_or_else(|| panic!("{of} was played"))
    }

    /// Goodput a second between two seconds of the day.
    pub fn goodput(&self, from_s: usize, to_s: usize) -> f64 {
        let by_s = &self.load().goodput_by_s;
        let within = &by_s[from_s.min(by_s.len())..to_s.min(by_s.len())];
        within.iter().sum::<f64>() / within.len().max(1) as f64
    }

    /// What holds on each day, whatever else: the five rules, records that replay alike, and an end in order.
    pub fn holds(&self) -> &Played {
        let verdict = &self.outcome.verdict;
        assert!(
            verdict.breaches.is_empty(),
            "{:#?}\n{}",
            verdict.breaches,
            self.shown
        );
        assert_eq!(
            self.outcome.records, self.outcome.records_alike,
            "records replay alike"
        );
        assert!(verdict.service.served > 10, "{:?}", verdict.service);
        self
    }
}
