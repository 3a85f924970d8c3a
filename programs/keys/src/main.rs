//! Keys that sign tokens, and what rights say.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use bitternlatch_identity::keys::KeySet;
use bitternlatch_identity::rights::{Rights, Wish};
use bitternlatch_identity::Caller;
use bitternlatch_keys::Ring;
use clap::{Parser, Subcommand};

/// Makes, announces, rotates and withdraws signing keys; asks a rights file.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-keys --ring target/ring.json --public target/jwks.json rotate --notice-s 60 --overlap-s 600\n  \
    bitternlatch-keys may --rights deploy/rights.toml --caller ann --group directors --class season-booking\n\n\
    Exit codes: 0 done or allowed, 1 not allowed, 2 could not run."
)]
struct Args {
    /// The private ring (JSON, readable by its owner alone).
    #[arg(long, default_value = "ring.json")]
    ring: PathBuf,
    /// The public document made from it (JWKS).
    #[arg(long, default_value = "jwks.json")]
    public: PathBuf,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Make a key that signs at once.
    Make,
    /// Make a key that signs after a time.
    Announce {
        #[arg(long, default_value_t = 120)]
        notice_s: u64,
    },
    /// Announce a key and end those before it an overlap after it signs.
    Rotate {
        #[arg(long, default_value_t = 120)]
        notice_s: u64,
        #[arg(long, default_value_t = 3600)]
        overlap_s: u64,
    },
    /// End a key at once.
    Withdraw { id: String },
    /// Show each key's state.
    Show,
    /// Sign a token for a caller, for trying out.
    Token {
        #[arg(long)]
        issuer: String,
        #[arg(long)]
        audience: String,
        #[arg(long)]
        caller: String,
        #[arg(long)]
        group: Vec<String>,
        #[arg(long, default_value_t = 600)]
        for_s: u64,
    },
    /// May a caller do a class, and why.
    May {
        #[arg(long)]
        rights: PathBuf,
        #[arg(long)]
        caller: String,
        #[arg(long)]
        group: Vec<String>,
        #[arg(long)]
        class: String,
        #[arg(long, default_value = "stand-in")]
        model: String,
    },
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(code) => ExitCode::from(code),
        Err(why) => {
            eprintln!("bitternlatch-keys: {why}");
            ExitCode::from(2)
        }
    }
}

fn run(args: &Args) -> Result<u8, String> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    if let What::May { rights, caller, group, class, model } = &args.what {
        return may(rights, caller, group, class, model);
    }
    let mut ring = Ring::read(&args.ring)?;
    match &args.what {
        What::Make => println!("{}", ring.announce(now)?),
        What::Announce { notice_s } => println!("{}", ring.announce(now + notice_s)?),
        What::Rotate { notice_s, overlap_s } => println!("{}", ring.rotate(now, *notice_s, *overlap_s)?),
        What::Withdraw { id } => ring.withdraw(id, now)?,
        What::Show => return show(&ring, now),
        What::Token { issuer, audience, caller, group, for_s } => {
            let claims = serde_json::json!({ "iss": issuer, "aud": audience, "sub": caller, "groups": group,
                "exp": now + for_s });
            println!("{}", ring.sign(now, &claims)?);
            return Ok(0);
        }
        What::May { .. } => {}
    }
    ring.write(&args.ring, &args.public)?;
    Ok(0)
}

fn show(ring: &Ring, now: u64) -> Result<u8, String> {
    let set = KeySet::parse(ring.document()?.as_bytes()).map_err(|e| e.to_string())?;
    for key in &ring.keys {
        let ends = key.ends.map_or("no end".to_string(), |e| format!("ends at {e}"));
        println!(
            "{} {:?}, signs from {}, {ends}",
            key.id,
            set.state(&key.id, now).ok_or("no state")?,
            key.not_before
        );
    }
    Ok(0)
}

fn may(rights: &PathBuf, caller: &str, groups: &[String], class: &str, model: &str) -> Result<u8, String> {
    let shown = rights.display();
    let text = std::fs::read_to_string(rights).map_err(|e| format!("{shown}: {e}"))?;
    let rights = Rights::parse(&text).map_err(|e| format!("{shown}: {e}"))?;
    let caller = Caller {
        subject: caller.into(),
        groups: groups.to_vec(),
        key_id: String::new(),
        token_id: None,
        ends: 0,
    };
    match rights.may(&caller, &Wish { class, model, max_output_tokens: None, tenant: None }) {
        Ok(grant) => {
            println!(
                "yes: rule '{}', tenant '{}', {} output tokens at the most",
                grant.rule, grant.tenant, grant.max_output_tokens
            );
            Ok(0)
        }
        Err(denial) => {
            println!("no: {denial}");
            Ok(1)
        }
    }
}
