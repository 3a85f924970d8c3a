//! Checks lists of model hosts and prints the set that a dispatcher would take.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_inventory::{parse, Difference, ModelServer, ServerSet};
use clap::Parser;

/// Checks lists of model hosts (CSV or Ansible YAML) and prints the hosts.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-inventory-check deploy/hosts.csv deploy/hosts.yaml\n\n\
    Exit codes: 0 all good and alike, 1 a list is broken or the lists differ, 2 could not read."
)]
struct Args {
    /// Lists; with several, all must name the same hosts alike.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Print the host set as JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut first: Option<(String, ServerSet)> = None;
    let mut worst = 0;
    for file in &args.files {
        let shown = file.display().to_string();
        let text = match std::fs::read_to_string(file) {
            Ok(text) => text,
            Err(e) => {
                eprintln!("bitternlatch-inventory-check: {shown}: {e}");
                worst = 2;
                continue;
            }
        };
        match (parse(&shown, &text), &first) {
            (Err(e), _) => {
                eprintln!("{e}");
                worst = worst.max(1);
            }
            (Ok(hosts), None) => first = Some((shown, hosts)),
            (Ok(hosts), Some((name, other))) => {
                let difference = Difference::between(other, &hosts);
                if !difference.is_empty() {
                    eprintln!("{shown}: differs from {name}: {}", words(&difference));
                    worst = worst.max(1);
                }
            }
        }
    }
    if let Some((_, hosts)) = first {
        print(&hosts, args.json);
    }
    ExitCode::from(worst)
}

fn words(d: &Difference) -> String {
    let part = |what: &str, names: &[String]| match names.is_empty() {
        true => None,
        false => Some(format!("{what} {}", names.join(", "))),
    };
    let parts = [
        part("adds", &d.added),
        part("lacks", &d.removed),
        part("changes", &d.changed),
    ];
    parts.into_iter().flatten().collect::<Vec<_>>().join("; ")
}

fn print(hosts: &ServerSet, json: bool) {
    if json {
        let with_ids: BTreeMap<&str, (u32, &ModelServer)> = hosts
            .iter()
            .map(|(n, h)| (n.as_str(), (h.id(), h)))
            .collect();
        let list: Vec<serde_json::Value> = with_ids
            .values()
            .map(|(id, host)| serde_json::json!({ "id": id, "host": host }))
            .collect();
        println!("{:#}", serde_json::Value::Array(list));
        return;
    }
    println!(
        "{:<28} {:>10} {:<24} {:<12} {:<12} {:<12} {:>6} state",
        "host", "id", "endpoint", "kind", "cell", "zone", "weight"
    );
    for host in hosts.values() {
        println!(
            "{:<28} {:>10} {:<24} {:<12} {:<12} {:<12} {:>6} {:?}",
            host.name,
            host.id(),
            host.endpoint(),
            host.kind,
            host.cell,
            host.zone,
            host.weight,
            host.state
        );
    }
}
