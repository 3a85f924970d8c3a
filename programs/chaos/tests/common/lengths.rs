//! Dispatchers beside one another that learn lengths together.

use std::net::SocketAddr;

use bitternlatch_cluster_net::fetch_status;

use super::*;

pub struct Some {
    pub rig: Rig,
    pub between: Between,
}

pub fn some(name: &str, count: usize) -> Some {
    let peers = free_for_peers(count);
    let (between, roster) = between(&peers);
    let dir = folder_of(name);
    let rig = rig_each(name, FOUR, count, |i, one| {
        if i == 0 {
            std::fs::write(dir.join("secret"), "sixteen bytes or more").expect("a secret");
        }
        let mut table = cluster_table("secret", peers[i], &format!("{i}.start"), &roster);
        let lengths = toml::Table::from_iter([("kept".to_string(), format!("{i}.lengths").into())]);
        table
            .as_table_mut()
            .expect("a table")
            .insert("lengths".into(), lengths.into());
        one.set("cluster", table);
    });
    let whole = |at: &std::net::SocketAddrV4| {
        fetch_status(SocketAddr::V4(*at), Duration::from_secs(2))
            .is_ok_and(|v| v.standing == "whole")
    };
    wait_for("a whole", || peers.iter().all(whole));
    Some { rig, between }
}

impl Some {
    /// Answers of so many tokens, at one dispatcher, over one session.
    pub fn answers(&self, at: usize, class: &str, count: usize, tokens: usize) {
        let client = self.rig.client(at);
        for n in 0..count {
            let key = format!("{at}-{class}-{tokens}-{n}-{:?}", Instant::now());
            client.say(&create(class, &key, &format!("words [len={tokens}]")));
            assert_eq!(final_kind(&client), "response.completed");
        }
        client.close();
    }

    pub fn log(&self, of: usize) -> String {
        self.rig.dispatchers[of].log().unwrap_or_default()
    }

    /// All that its latest run has told of one figure, in order.
    pub fn told(&self, of: usize, figure: &str) -> Vec<f64> {
        let log = self.log(of);
        let lines = log.lines().filter(|l| l.contains("lengths: "));
        let value = |l: &str| {
            l.split(&format!(" {figure}="))
                .nth(1)?
                .split([' ', '"'])
                .next()?
                .parse()
                .ok()
        };
        lines.filter_map(value).collect()
    }

    pub fn all_have(&self, answers: f64) {
        let all = 0..self.rig.dispatchers.len();
        wait_for(&format!("{answers} answers at all"), || {
            all.clone()
                .all(|i| self.told(i, "answers").last() == Some(&answers))
        });
        // Nor has any of them ever counted more.
        assert!(all
            .clone()
            .all(|i| self.told(i, "answers").iter().all(|n| *n <= answers)));
    }

    pub fn kept(&self, of: usize) -> PathBuf {
        self.rig.dir.join(format!("{of}.lengths"))
    }

    pub fn start(&mut self, of: usize) {
        self.rig.dispatchers[of].start(&image()).expect("a process");
    }
}
