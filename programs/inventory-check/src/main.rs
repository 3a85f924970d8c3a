//! Checks lists of model servers and prints the servers that a dispatcher would use.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use bitternlatch_inventory::{parse, Difference, ModelServer, ServerSet};
use clap::Parser;

/// Checks lists of model servers (CSV or Ansible YAML) and prints the servers.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-inventory-check deploy/hosts.csv deploy/hosts.yaml\n\n\
    Exit codes: 0 all lists are valid and equal, 1 a list is invalid or the lists differ, 2 a file cannot be read."
)]
struct Args {
    /// Server lists; if there are several, all must define the same servers.
    #[arg(required = true)]
    files: Vec<PathBuf>,
    /// Print the servers as JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut first: Option<(String, ServerSet)> = None;
    let mut exit_code = 0;
    for file in &args.files {
        let file_name = file.display().to_string();
        let text = match std::fs::read_to_string(file) {
            Ok(text) => text,
            Err(e) => {
                eprintln!("bitternlatch-inventory-check: {file_name}: {e}");
                exit_code = 2;
                continue;
            }
        };
        match (parse(&file_name, &text), &first) {
            (Err(e), _) => {
                eprintln!("{e}");
                exit_code = exit_code.max(1);
            }
            (Ok(servers), None) => first = Some((file_name, servers)),
            (Ok(servers), Some((name, other))) => {
                let difference = Difference::between(other, &servers);
                if !difference.is_empty() {
                    eprintln!(
                        "{file_name}: differs from {name}: {}",
                        describe(&difference)
                    );
                    exit_code = exit_code.max(1);
                }
            }
        }
    }
    if let Some((_, servers)) = first {
        print_servers(&servers, args.json);
    }
    ExitCode::from(exit_code)
}

fn describe(d: &Difference) -> String {
    let list_names = |what: &str, names: &[String]| match names.is_empty() {
        true => None,
        false => Some(format!("{what} {}", names.join(", "))),
    };
    let parts = [
        list_names("adds", &d.added),
        list_names("lacks", &d.removed),
        list_names("changes", &d.changed),
    ];
    parts.into_iter().flatten().collect::<Vec<_>>().join("; ")
}

fn print_servers(servers: &ServerSet, json: bool) {
    if json {
        let with_ids: BTreeMap<&str, (u32, &ModelServer)> = servers
            .iter()
            .map(|(name, server)| (name.as_str(), (server.id(), server)))
            .collect();
        let list: Vec<serde_json::Value> = with_ids
            .values()
            .map(|(id, server)| serde_json::json!({ "id": id, "host": server }))
            .collect();
        println!("{:#}", serde_json::Value::Array(list));
        return;
    }
    println!(
        "{:<28} {:>10} {:<24} {:<12} {:<12} {:<12} {:>6} state",
        "host", "id", "endpoint", "kind", "cell", "zone", "weight"
    );
    for server in servers.values() {
        println!(
            "{:<28} {:>10} {:<24} {:<12} {:<12} {:<12} {:>6} {:?}",
            server.name,
            server.id(),
            server.endpoint(),
            server.kind,
            server.cell,
            server.zone,
            server.weight,
            server.state
        );
    }
}
