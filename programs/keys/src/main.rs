//! Manages signing keys and certificates, and checks access rights.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

use bitternlatch_identity::keys::KeySet;
use bitternlatch_identity::rights::{AccessRequest, AccessRights};
use bitternlatch_identity::{Caller, Credential};
use bitternlatch_keys::authority::{Authority, CertificateRequest};
use bitternlatch_keys::Ring;
use clap::{Parser, Subcommand};

/// Creates, rotates and revokes signing keys and certificates; checks a caller against an access rights file.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  bitternlatch-keys --ring target/ring.json --public target/jwks.json rotate --notice-s 60 --overlap-s 600\n  \
    bitternlatch-keys may --rights deploy/rights.toml --caller ann --group directors --class season-booking\n\n\
    Exit codes: 0 done or allowed, 1 not allowed, 2 could not run."
)]
struct Args {
    /// File with the private key ring (JSON, readable only by its owner).
    #[arg(long, default_value = "ring.json")]
    ring: PathBuf,
    /// File with the public key set made from the ring (JWKS).
    #[arg(long, default_value = "jwks.json")]
    public: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Add a key that signs at once.
    Make,
    /// Add a key that signs after a notice period.
    Announce {
        #[arg(long, default_value_t = 120)]
        notice_s: u64,
    },
    /// Add a key that signs after a notice period; the previous keys expire an overlap after that.
    Rotate {
        #[arg(long, default_value_t = 120)]
        notice_s: u64,
        #[arg(long, default_value_t = 3600)]
        overlap_s: u64,
    },
    /// Revoke a key.
    Withdraw { id: String },
    /// Print the state of each key.
    Show,
    /// Sign a token for a caller, for testing.
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
    /// Create a certificate authority in a directory: its certificate, its key and an empty revocation list.
    Authority {
        dir: PathBuf,
        #[arg(long, default_value = "bitternlatch")]
        name: String,
    },
    /// Issue a certificate for a new key: names identify a dispatcher or model server, a URI identifies a caller. Writes NAME.pem
    /// and NAME.key.
    Certify {
        dir: PathBuf,
        name: String,
        #[arg(long)]
        dns: Vec<String>,
        #[arg(long)]
        ip: Vec<std::net::IpAddr>,
        /// URI of the caller that the certificate identifies; access rights refer to it as cert:uri:URI.
        #[arg(long)]
        caller: Option<String>,
        #[arg(long)]
        group: Vec<String>,
        #[arg(long, default_value_t = 90)]
        days: u64,
    },
    /// Revoke a certificate and write the new revocation list.
    Revoke { dir: PathBuf, certificate: PathBuf },
    /// Check whether a caller may send requests of a class, and print the reason.
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
        Err(error) => {
            eprintln!("bitternlatch-keys: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(args: &Args) -> Result<u8, String> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    if let Command::May {
        rights,
        caller,
        group,
        class,
        model,
    } = &args.command
    {
        return check_access(rights, caller, group, class, model);
    }
    if let Some(result) = run_certificate_command(&args.command, now) {
        return result.map(|()| 0);
    }
    let mut ring = Ring::read(&args.ring)?;
    match &args.command {
        Command::Make => println!("{}", ring.announce(now)?),
        Command::Announce { notice_s } => println!("{}", ring.announce(now + notice_s)?),
        Command::Rotate {
            notice_s,
            overlap_s,
        } => println!("{}", ring.rotate(now, *notice_s, *overlap_s)?),
        Command::Withdraw { id } => ring.revoke(id, now)?,
        Command::Show => return print_keys(&ring, now),
        Command::Token {
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
        Command::May { .. }
        | Command::Authority { .. }
        | Command::Certify { .. }
        | Command::Revoke { .. } => {}
    }
    ring.write(&args.ring, &args.public)?;
    Ok(0)
}

/// Runs a command that concerns certificates; returns `None` for any other command.
fn run_certificate_command(command: &Command, now: u64) -> Option<Result<(), String>> {
    let certify = |dir: &PathBuf, name: &str, request: &CertificateRequest| {
        let issued = Authority::open(dir)?.issue(request)?;
        Authority::write(dir, name, &issued)
    };
    Some(match command {
        Command::Authority { dir, name } => Authority::create(dir, name, now).map(|_| ()),
        Command::Certify {
            dir,
            name,
            dns,
            ip,
            caller,
            group,
            days,
        } => {
            let request = CertificateRequest {
                dns: dns.clone(),
                ips: ip.clone(),
                uri: caller.clone(),
                groups: group.clone(),
                not_before: now.saturating_sub(300),
                not_after: now + days * 86_400,
            };
            certify(dir, name, &request)
        }
        Command::Revoke { dir, certificate } => {
            let file_name = certificate.display();
            let text =
                std::fs::read_to_string(certificate).map_err(|e| format!("{file_name}: {e}"));
            text.and_then(|text| Authority::open(dir)?.revoke(&text, now))
        }
        _ => return None,
    })
}

fn print_keys(ring: &Ring, now: u64) -> Result<u8, String> {
    let set = KeySet::parse(ring.public_key_set()?.as_bytes()).map_err(|e| e.to_string())?;
    for key in &ring.keys {
        let expiry = key
            .expires_at
            .map_or("no end".to_string(), |e| format!("ends at {e}"));
        println!(
            "{} {:?}, signs from {}, {expiry}",
            key.id,
            set.state(&key.id, now).ok_or("no state")?,
            key.not_before
        );
    }
    Ok(0)
}

fn check_access(
    rights: &PathBuf,
    caller: &str,
    groups: &[String],
    class: &str,
    model: &str,
) -> Result<u8, String> {
    let file_name = rights.display();
    let text = std::fs::read_to_string(rights).map_err(|e| format!("{file_name}: {e}"))?;
    let rights = AccessRights::parse(&text).map_err(|e| format!("{file_name}: {e}"))?;
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
                "yes: rule '{}', tenant '{}', at most {} output tokens",
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
