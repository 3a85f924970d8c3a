//! Keys that sign tokens, and what rights say.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use bitternlatch_identity::keys::KeySet;
use bitternlatch_identity::rights::{AccessRequest, AccessRights};
use bitternlatch_identity::{Caller, Credential};
use bitternlatch_keys::authority::{Authority, Wanted};
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
    /// Make a small authority in a folder: its certificate, its key and an empty list of revoked ones.
    Authority {
        dir: PathBuf,
        #[arg(long, default_value = "bitternlatch")]
        name: String,
    },
    /// Certify a new key: a dispatcher or host by its names, a caller by a URI. Writes NAME.pem and NAME.key.
    Certify {
        dir: PathBuf,
        name: String,
        #[arg(long)]
        dns: Vec<String>,
        #[arg(long)]
        ip: Vec<std::net::IpAddr>,
        /// The caller that it names; rights name it as cert:uri:URI.
        #[arg(long)]
        caller: Option<String>,
        #[arg(long)]
        group: Vec<String>,
        #[arg(long, default_value_t = 90)]
        days: u64,
    },
    /// Revoke a certificate and write the list.
    Revoke { dir: PathBuf, certificate: PathBuf },
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
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    if let What::May {
        rights,
        caller,
        group,
        class,
        model,
    } = &args.what
    {
        return may(rights, caller, group, class, model);
    }
    if let Some(done) = certificates(&args.what, now) {
        return done.map(|()| 0);
    }
    let mut ring = Ring::read(&args.ring)?;
    match &args.what {
        What::Make => println!("{}", ring.announce(now)?),
        What::Announce { notice_s } => println!("{}", ring.announce(now + notice_s)?),
        What::Rotate {
            notice_s,
            overlap_s,
        } => println!("{}", ring.rotate(now, *notice_s, *overlap_s)?),
        What::Withdraw { id } => ring.withdraw(id, now)?,
        What::Show => return show(&ring, now),
        What::Token {
            issuer,
            audience,
            caller,
            group,
            for_s,
        } => {
            let claims = serde_json::json!({ "iss": issuer, "aud": audience, "sub": caller, "groups": group,
                "exp": now + for_s });
            println!("{}", ring.sign(now, &claims)?);
            return Ok(0);
        }
        What::May { .. } | What::Authority { .. } | What::Certify { .. } | What::Revoke { .. } => {}
    }
    ring.write(&args.ring, &args.public)?;
    Ok(0)
}

/// Does what concerns certificates; `None` for all else.
fn certificates(what: &What, now: u64) -> Option<Result<(), String>> {
    let certify = |dir: &PathBuf, name: &str, wanted: &Wanted| {
        let issued = Authority::open(dir)?.issue(wanted)?;
        Authority::write(dir, name, &issued)
    };
    Some(match what {
        What::Authority { dir, name } => Authority::make(dir, name, now).map(|_| ()),
        What::Certify {
            dir,
            name,
            dns,
            ip,
            caller,
            group,
            days,
        } => {
            let wanted = Wanted {
                dns: dns.clone(),
                ips: ip.clone(),
                uri: caller.clone(),
                groups: group.clone(),
                begins: now.saturating_sub(300),
                ends: now + days * 86_400,
            };
            certify(dir, name, &wanted)
        }
        What::Revoke { dir, certificate } => {
            let shown = certificate.display();
            let text = std::fs::read_to_string(certificate).map_err(|e| format!("{shown}: {e}"));
            text.and_then(|text| Authority::open(dir)?.revoke(&text, now))
        }
        _ => return None,
    })
}

fn show(ring: &Ring, now: u64) -> Result<u8, String> {
    let set = KeySet::parse(ring.document()?.as_bytes()).map_err(|e| e.to_string())?;
    for key in &ring.keys {
        let ends = key
            .ends
            .map_or("no end".to_string(), |e| format!("ends at {e}"));
        println!(
            "{} {:?}, signs from {}, {ends}",
            key.id,
            set.state(&key.id, now).ok_or("no state")?,
            key.not_before
        );
    }
    Ok(0)
}

fn may(
    rights: &PathBuf,
    caller: &str,
    groups: &[String],
    class: &str,
    model: &str,
) -> Result<u8, String> {
    let shown = rights.display();
    let text = std::fs::read_to_string(rights).map_err(|e| format!("{shown}: {e}"))?;
    let rights = AccessRights::parse(&text).map_err(|e| format!("{shown}: {e}"))?;
    let caller = Caller {
        subject: caller.into(),
        groups: groups.to_vec(),
        key_id: String::new(),
        token_id: None,
        expires_at: 0,
        credential: Credential::Token,
    };
    match rights.authorize(
        &caller,
        &AccessRequest {
            class,
            model,
            max_output_tokens: None,
            tenant: None,
        },
    ) {
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
