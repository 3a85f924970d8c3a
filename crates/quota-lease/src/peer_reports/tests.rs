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

fn process(name: u32) -> Process {
    Process {
        name: NameKey(name),
        start: 1,
    }
}

#[test]
fn own_observations_are_not_reported_back() {
    let mut reports = PeerReports::default();
    let failing = |age| [observation(7, ServerCondition::Failing, age)];
    reports.replace(MS * 10_000, process(1), &failing(500));
    reports.replace(MS * 10_100, process(1), &failing(600));
    reports.replace(MS * 10_200, process(2), &failing(0));
    reports.replace(MS * 10_200, process(3), &[]);
    let received = |by: u32| reports.for_member(MS * 10_300, process(by));
    let report = |reporters, age| PeerReport {
        server: ServerNumber(7),
        condition: ServerCondition::Failing,
        reporters,
        age: MS * age,
    };
    assert_eq!(received(1), answer(2, vec![report(1, 100)]));
    assert_eq!(received(2), answer(2, vec![report(1, 800)]));
    assert_eq!(received(3), answer(2, vec![report(2, 100)]));
    // A restarted process is the same member, so the observations of its earlier start are not reported to it.
    let restarted = Process {
        start: 2,
        ..process(1)
    };
    assert_eq!(
        reports.for_member(MS * 10_300, restarted).reports,
        vec![report(1, 100)]
    );
}

#[test]
fn withdrawn_observations_are_dropped() {
    let mut reports = PeerReports::default();
    reports.replace(
        MS * 1000,
        process(1),
        &[
            observation(7, ServerCondition::WarmingUp, 0),
            observation(8, ServerCondition::Draining, 0),
        ],
    );
    reports.replace(
        MS * 1300,
        process(1),
        &[observation(8, ServerCondition::Draining, 300)],
    );
    let servers = |table: &PeerReports| {
        table
            .for_member(MS * 1400, process(2))
            .reports
            .iter()
            .map(|report| report.server.0)
            .collect::<Vec<_>>()
    };
    assert_eq!(servers(&reports), [8]);
    reports.retain(|p| *p != process(1));
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
    let sent = latest_observations(many(100));
    assert_eq!(
        (sent.len(), sent[0].server),
        (MAX_OBSERVATIONS, ServerNumber(99))
    );
    let mut reports = PeerReports::default();
    (0..2000).for_each(|name| {
        reports.replace(MS * 1000, process(name), &latest_observations(many(100)))
    });
    assert_eq!(reports.observations, MAX_TABLE_OBSERVATIONS);
    reports.replace(
        MS * 1000,
        process(0),
        &[observation(5, ServerCondition::WarmingUp, 0)],
    );
    assert_eq!(
        reports.observations,
        MAX_TABLE_OBSERVATIONS - MAX_OBSERVATIONS + 1
    );
    let ReportsForMember { members, reports } = reports.for_member(MS * 1000, process(1));
    assert_eq!(
        (members, reports.len(), reports[0].reporters),
        (1999, MAX_REPORTS, 255)
    );
}
