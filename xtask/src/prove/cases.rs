//! The list of all cases.

use crate::prove::{
    Case, at_most_once, bounded_staleness, configuration, golden, overload, primary,
    rolling_restart, sessions,
};

/// Builds a [`Case`] from its name, property, faults and function.
macro_rules! case {
    ($name:literal, $property:literal, $faults:literal, $run:path) => {
        Case {
            name: $name,
            property: $property,
            faults: $faults,
            run: |ctx| Box::pin($run(ctx)),
        }
    };
}

#[allow(clippy::too_many_lines)]
/// Returns all cases in the order in which they run.
pub fn all() -> Vec<Case> {
    vec![
        case!(
            "golden-session",
            "a session gets the same answers through the fleet and directly",
            "none; compared with the primary and a golden file",
            golden::session
        ),
        case!(
            "kill-primary",
            "acknowledged writes survive, service resumes",
            "kill of the primary, lagging replicas",
            primary::kill_primary
        ),
        case!(
            "freeze-primary",
            "no write is acknowledged by a former primary",
            "suspension of the primary until it has been replaced",
            primary::suspend_primary
        ),
        case!(
            "cut-primary",
            "acknowledged writes survive, service resumes",
            "two-way partition of the primary's data centre",
            primary::cut_primary
        ),
        case!(
            "cut-one-way",
            "acknowledged writes survive, service resumes",
            "one-way partition of the primary's data centre",
            primary::cut_one_way
        ),
        case!(
            "platform-down",
            "service resumes although no promotion is ordered",
            "platform outage and kill of the primary",
            primary::platform_down
        ),
        case!(
            "reconfigured-group",
            "service resumes",
            "change of the group's settings, then kill of the primary",
            primary::reconfigured_group
        ),
        case!(
            "lagging-replica",
            "a lagging replica is not promoted",
            "replica that lags by 1.5 s, kill of the primary",
            primary::lagging_replica
        ),
        case!(
            "two-lost",
            "refusals are true, service resumes with a majority",
            "kill of two members, restart of one",
            primary::majority_lost
        ),
        case!(
            "slow-primary",
            "no failover from a slow primary",
            "suspensions of the primary for 500 ms",
            primary::slow_primary
        ),
        case!(
            "wardens-paused",
            "late and concurrent failover controllers do no harm",
            "suspension of random daemons during a failover",
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
            "a leaving primary is replaced by a switchover",
            "the primary's VM is listed as leaving",
            primary::switchover
        ),
        case!(
            "leaving",
            "a leaving replica gets no new statements after 3 s",
            "a replica's VM is listed as leaving",
            primary::leaving_replica
        ),
        case!(
            "old-primary-reads",
            "read-your-writes across a change of primary",
            "reads right after a suspended former primary resumes",
            primary::old_primary_reads
        ),
        case!(
            "roam",
            "read-your-writes after roaming without a token",
            "replicas that lag by 300 ms and 30 ms",
            sessions::roam_without_token
        ),
        case!(
            "roam-token",
            "read-your-writes after roaming with a token",
            "replicas that lag by 300 ms and 30 ms",
            sessions::roam_with_token
        ),
        case!(
            "mixing",
            "transactions and settings of sessions stay separate",
            "shared connections, callers that disconnect",
            sessions::session_isolation
        ),
        case!(
            "crossed",
            "a caller gets its own answer",
            "an upstream that answers with the previous statement's answer",
            sessions::crossed_answers
        ),
        case!(
            "cancel",
            "a cancel request ends its own statement only",
            "cancel request beside another session's statement",
            sessions::cancel_statement
        ),
        case!(
            "malformed",
            "a faulty caller does not disturb others",
            "malformed, truncated and oversized messages",
            sessions::malformed_input
        ),
        case!(
            "aged",
            "reads never exceed the maximum age they accept",
            "replicas that lag by 1.5 s and 5 s",
            bounded_staleness::bounded_staleness
        ),
        case!(
            "at-most-once",
            "writes refused as not run did not run, none runs twice",
            "kill of entry daemon, owner, upstream and links at numbered steps",
            at_most_once::kill_at_each_step
        ),
        case!(
            "keyed",
            "an unknown outcome is resolved by its idempotency key",
            "lost answers, kills, failover",
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
            "refusals are true and immediate, answers keep their deadline",
            "offered load of three times the capacity",
            overload::overload
        ),
        case!(
            "config-race",
            "exactly one of several concurrent patches is accepted",
            "operators patch the same version at once",
            configuration::racing_patches
        ),
        case!(
            "config-lost",
            "a patch whose answer is lost is applied once",
            "answers lost by the platform",
            configuration::lost_answers
        ),
        case!(
            "config-outage",
            "a change comes into force on every daemon and never reverts",
            "platform outage, partition, restart, restored object",
            configuration::outage
        ),
        case!(
            "rolling",
            "a planned stop interrupts no request",
            "stop and restart of every daemon under load",
            rolling_restart::rolling
        ),
    ]
}
