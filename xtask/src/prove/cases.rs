//! The list of all cases.

use crate::prove::{
    Case, at_most_once, bounded_staleness, configuration, golden, overload, primary,
    rolling_restart, sessions,
};

/// Makes one entry of the list.
macro_rules! case {
    ($name:literal, $holds:literal, $failures:literal, $run:path) => {
        Case {
            name: $name,
            holds: $holds,
            failures: $failures,
            run: |ctx| Box::pin($run(ctx)),
        }
    };
}

#[allow(clippy::too_many_lines)]
/// All cases, in the order in which they are run.
pub fn all() -> Vec<Case> {
    vec![
        case!(
            "golden-session",
            "a session reads as straight to the database",
            "none; differential against the primary and a golden file",
            golden::session
        ),
        case!(
            "kill-primary",
            "acknowledged writes survive, service goes on",
            "kill of the primary, lagging replicas",
            primary::kill_primary
        ),
        case!(
            "freeze-primary",
            "no write is acknowledged by an old primary",
            "pause of the primary, which wakes up after its replacement",
            primary::suspend_primary
        ),
        case!(
            "cut-primary",
            "acknowledged writes survive, service goes on",
            "two-way cut of the primary's data centre",
            primary::cut_primary
        ),
        case!(
            "cut-one-way",
            "acknowledged writes survive, service goes on",
            "one-way cut of the primary's data centre",
            primary::cut_one_way
        ),
        case!(
            "platform-down",
            "service goes on when nobody orders a promotion",
            "platform outage and kill of the primary",
            primary::platform_down
        ),
        case!(
            "lagging-replica",
            "a lagging replica does not win",
            "replica 1.5 s behind and kill of the primary",
            primary::lagging_replica
        ),
        case!(
            "two-lost",
            "refusals are true, service goes on with a majority",
            "kill of two members, restart of one",
            primary::majority_lost
        ),
        case!(
            "slow-primary",
            "no false change of primary",
            "pauses of 500 ms",
            primary::slow_primary
        ),
        case!(
            "wardens-paused",
            "late and doubled wardens do no harm",
            "pauses of random daemons during a change",
            primary::controllers_suspended
        ),
        case!(
            "in-a-row",
            "acknowledged writes survive",
            "three primaries killed and restarted in a row",
            primary::repeated_failover
        ),
        case!(
            "hand-over",
            "a leaving primary hands over",
            "the primary's VM is listed as leaving",
            primary::switchover
        ),
        case!(
            "leaving",
            "a leaving upstream gets no new work after 3 s",
            "a replica's VM is listed as leaving",
            primary::leaving_replica
        ),
        case!(
            "old-primary-reads",
            "read-your-writes across a change of primary",
            "reads right after an old primary wakes up",
            primary::old_primary_reads
        ),
        case!(
            "roam",
            "read-your-writes after roaming without a token",
            "replicas 300 ms and 30 ms behind",
            sessions::roam_without_token
        ),
        case!(
            "roam-token",
            "read-your-writes after roaming with a token",
            "replicas 300 ms and 30 ms behind",
            sessions::roam_with_token
        ),
        case!(
            "mixing",
            "transactions never mix, settings never leak",
            "shared connections, callers that vanish",
            sessions::session_isolation
        ),
        case!(
            "crossed",
            "a caller gets its own answer",
            "an upstream that answers late and shifted",
            sessions::crossed_answers
        ),
        case!(
            "cancel",
            "a cancel reaches its own request only",
            "cancels through another daemon",
            sessions::cancel_statement
        ),
        case!(
            "malformed",
            "a broken caller harms nobody else",
            "malformed, truncated and oversized messages",
            sessions::malformed_input
        ),
        case!(
            "aged",
            "stated ages are never exceeded",
            "replicas 1.5 s and 5 s behind",
            bounded_staleness::bounded_staleness
        ),
        case!(
            "at-most-once",
            "not run is true, nothing runs twice",
            "kill of entry, home, upstream and links at numbered steps",
            at_most_once::kill_at_each_step
        ),
        case!(
            "keyed",
            "an unknown outcome is settled under its key",
            "lost answers, kills, change of primary",
            at_most_once::keyed_retries
        ),
        case!(
            "connections",
            "the members' connection limits hold",
            "restarts of daemons under load",
            overload::connection_limits
        ),
        case!(
            "overload",
            "refusals are true and at once, answers keep their bound",
            "three times the capacity",
            overload::overload
        ),
        case!(
            "config-race",
            "exactly one of racing patches wins",
            "operators race on one version",
            configuration::racing_patches
        ),
        case!(
            "config-lost",
            "a lost answer is settled, once",
            "the platform loses answers",
            configuration::lost_answers
        ),
        case!(
            "config-outage",
            "in force everywhere, never back",
            "outage, cut, restart, restored object",
            configuration::outage
        ),
        case!(
            "rolling",
            "a planned stop cuts no request",
            "every daemon is stopped and replaced under load",
            rolling_restart::rolling
        ),
    ]
}
