use super::*;
use bitternlatch_membership::NameKey;

const MS: Duration = Duration::from_millis(1);

fn observation(server: u32, condition: ServerCondition, age: u32) -> Observation {
    Observation {
        server: ServerNumber(server),
        condition,
        age: MS * age,
    }
}

fn answer(members: u16, reports: Vec<PeerReport>) -> ReportsForMember {
    ReportsForMember { members, reports }
}

fn who(name: u32) -> Process {
    Process {
        name: NameKey(name),
        start: 1,
    }
}

#[test]
fn own_observations_are_not_reported_back() {
    let mut reports = PeerReports::default();
    let failing = |age| [observation(7, ServerCondition::Failing, age)];
    reports.replace(MS * 10_000, who(1), &failing(500));
    reports.replace(MS * 10_100, who(1), &failing(600));
    reports.replace(MS * 10_200, who(2), &failing(0));
    reports.replace(MS * 10_200, who(3), &[]);
    let heard = |by: u32| reports.for_member(MS * 10_300, who(by));
    let said = |reporters, age| PeerReport {
        server: ServerNumber(7),
        condition: ServerCondition::Failing,
        reporters,
        age: MS * age,
    };
    assert_eq!(heard(1), answer(2, vec![said(1, 100)]));
    assert_eq!(heard(2), answer(2, vec![said(1, 800)]));
    assert_eq!(heard(3), answer(2, vec![said(2, 100)]));
    // Started again it is the same member: its earlier word is not another voice.
    let again = Process { start: 2, ..who(1) };
    assert_eq!(
        reports.for_member(MS * 10_300, again).reports,
        vec![said(1, 100)]
    );
}

#[test]
fn withdrawn_observations_are_dropped() {
    let mut reports = PeerReports::default();
    reports.replace(
        MS * 1000,
        who(1),
        &[
            observation(7, ServerCondition::WarmingUp, 0),
            observation(8, ServerCondition::Draining, 0),
        ],
    );
    reports.replace(
        MS * 1300,
        who(1),
        &[observation(8, ServerCondition::Draining, 300)],
    );
    let servers = |g: &PeerReports| {
        g.for_member(MS * 1400, who(2))
            .reports
            .iter()
            .map(|h| h.server.0)
            .collect::<Vec<_>>()
    };
    assert_eq!(servers(&reports), [8]);
    reports.retain(|p| *p != who(1));
    assert!(servers(&reports).is_empty());
    assert_eq!(reports.observations, 0);
}

#[test]
fn table_and_reports_are_bounded() {
    let many = |n: u32| {
        (0..n)
            .map(|i| observation(i, ServerCondition::Failing, n - i))
            .collect::<Vec<_>>()
    };
    let told = latest(many(100));
    assert_eq!(
        (told.len(), told[0].server),
        (MAX_OBSERVATIONS, ServerNumber(99))
    );
    let mut reports = PeerReports::default();
    (0..2000).for_each(|name| reports.replace(MS * 1000, who(name), &latest(many(100))));
    assert_eq!(reports.observations, MAX_TABLE_OBSERVATIONS);
    reports.replace(
        MS * 1000,
        who(0),
        &[observation(5, ServerCondition::WarmingUp, 0)],
    );
    assert_eq!(
        reports.observations,
        MAX_TABLE_OBSERVATIONS - MAX_OBSERVATIONS + 1
    );
    let ReportsForMember { members, reports } = reports.for_member(MS * 1000, who(1));
    assert_eq!(
        (members, reports.len(), reports[0].reporters),
        (1999, MAX_REPORTS, 255)
    );
}
