//! Configuration push: concurrent patches, lost answers, outages, partitions, restarts and restored
//! objects.

use std::process::{Command, Stdio};
use std::time::Instant;

use serde_json::{Value, json};

use crate::cluster::{Cluster, ClusterConfig};
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, millis, sleep_ms};

/// Maximum time until a change is in force on every daemon; the project's target.
const MAX_CONFIG_PUSH_MS: u128 = 7000;

/// JSON patch that sets the limit of callers.
fn callers_patch(callers: u64) -> String {
    json!([{ "op": "replace", "path": "/callers", "value": callers }]).to_string()
}

/// Starts an operator's command that submits a patch at one daemon.
fn spawn_patch(
    cluster: &Cluster,
    daemon: &str,
    version: u64,
    id: &str,
    text: &str,
) -> Result<std::process::Child, String> {
    use std::io::Write;
    let file = cluster.settings_file(daemon);
    let mut child = Command::new(cluster.daemon_binary())
        .args([
            "config",
            "--config",
            &file,
            "--json",
            "patch",
            "--version",
            &version.to_string(),
            "--id",
            id,
            "lakeshore",
            "-",
        ])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|e| e.to_string())?;
    let mut input = child
        .stdin
        .take()
        .ok_or("the command has no standard input")?;
    input
        .write_all(text.as_bytes())
        .map_err(|e| e.to_string())?;
    Ok(child)
}

/// Waits for the command; returns its exit code and its JSON output, `Null` if it isn't JSON.
fn patch_result(child: std::process::Child) -> Result<(i32, Value), String> {
    let output = child.wait_with_output().map_err(|e| e.to_string())?;
    let value = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    Ok((output.status.code().unwrap_or(-1), value))
}

/// Version in force on each daemon that answers, by daemon name.
fn versions_in_force(cluster: &Cluster) -> Result<Vec<(String, u64)>, String> {
    let stats = cluster.stats()?;
    let daemons = stats["daemons"].as_array().cloned().unwrap_or_default();
    Ok(daemons
        .iter()
        .map(|d| {
            let known = d["versions"]
                .as_array()
                .into_iter()
                .flatten()
                .find(|k| k["name"] == "lakeshore");
            let version = known.and_then(|k| k["version"].as_u64()).unwrap_or(0);
            (d["name"].as_str().unwrap_or_default().to_owned(), version)
        })
        .collect())
}

/// Waits until `daemons` daemons have this version or a later one in force; returns the time it
/// took.
async fn wait_in_force(
    cluster: &Cluster,
    version: u64,
    daemons: usize,
) -> Result<std::time::Duration, String> {
    let begin = Instant::now();
    loop {
        let updated = versions_in_force(cluster)?
            .into_iter()
            .filter(|(_, v)| *v >= version)
            .count();
        if updated >= daemons {
            return Ok(begin.elapsed());
        }
        if begin.elapsed().as_millis() > 3 * MAX_CONFIG_PUSH_MS {
            return Err(format!(
                "version {version} is in force on {updated} of {daemons} daemons only"
            ));
        }
        sleep_ms(20).await;
    }
}

/// Submits a patch of version `version` at a daemon and waits until it is in force everywhere.
pub(super) async fn patch(
    cluster: &Cluster,
    version: u64,
    id: &str,
    text: &str,
) -> Result<(), String> {
    let daemons = cluster.daemon_names();
    let child = spawn_patch(cluster, &daemons[0], version, id, text)?;
    let (code, value) = patch_result(child)?;
    if code != 0 {
        return Err(format!("the patch exited with {code}: {value}"));
    }
    wait_in_force(cluster, version + 1, daemons.len()).await?;
    Ok(())
}

/// Guards against concurrent patches of which more than one is accepted, or of which a rejected one
/// does not exit with the code of a conflict.
///
/// Three times, eight operators patch the same version at different daemons at once.
pub async fn racing_patches(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(
        CaseContext {
            naive: false,
            ..ctx
        },
        ClusterConfig::default(),
    )
    .await?;
    let daemons = harness.cluster.daemon_names();
    let mut report = CaseReport::default();
    let mut slowest = std::time::Duration::ZERO;
    for round in 0..3_u64 {
        let version = round + 1;
        let mut children = Vec::new();
        for (i, daemon) in daemons.iter().take(8).enumerate() {
            let id = format!("race-{round}-{i}");
            children.push(spawn_patch(
                &harness.cluster,
                daemon,
                version,
                &id,
                &callers_patch(100 + i as u64),
            )?);
        }
        let mut codes = Vec::new();
        for child in children {
            codes.push(patch_result(child)?.0);
        }
        // Exit codes of the command: 0 accepted, 3 conflict.
        let accepted = codes.iter().filter(|c| **c == 0).count();
        let conflicts = codes.iter().filter(|c| **c == 3).count();
        report.check(
            accepted == 1,
            "not exactly one of the concurrent patches was accepted",
        );
        report.check(
            accepted + conflicts == codes.len(),
            "a patch that was not accepted did not exit with the code of a conflict",
        );
        slowest = slowest.max(wait_in_force(&harness.cluster, version + 1, daemons.len()).await?);
    }
    report.check(
        slowest.as_millis() < MAX_CONFIG_PUSH_MS,
        "a change was not in force on every daemon within 7 s",
    );
    report.record("in_force_ms", millis(slowest));
    harness.finish().await?;
    Ok(report)
}

/// Guards against a patch that is reported as failed, or applied twice, when the platform's answer
/// is lost.
///
/// The platform applies an update and drops its answer; afterwards the same patch is submitted
/// again under its identifier at another daemon.
pub async fn lost_answers(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(
        CaseContext {
            naive: false,
            ..ctx
        },
        ClusterConfig::default(),
    )
    .await?;
    let mut report = CaseReport::default();
    for round in 0..4_u64 {
        harness.cluster.admin(&json!({"lose": 1}))?;
        let id = format!("lost-{round}");
        let (code, reply) = patch_result(spawn_patch(
            &harness.cluster,
            "entry-21",
            round + 1,
            &id,
            &callers_patch(200 + round),
        )?)?;
        report.check(
            code == 0,
            "a patch that took effect was not reported as accepted",
        );
        report.check(
            reply["answer"]["version"] == json!(round + 2),
            "the patch was applied more than once",
        );
        let (code, reply) = patch_result(spawn_patch(
            &harness.cluster,
            "entry-31",
            round + 1,
            &id,
            &callers_patch(200 + round),
        )?)?;
        report.check(
            code == 0 && reply["answer"]["version"] == json!(round + 2),
            "the repeated patch had another outcome",
        );
    }
    harness.finish().await?;
    Ok(report)
}

/// Guards against daemons that lose, miss or revert a configuration.
///
/// The platform is down while a daemon restarts; one data centre is cut off from the platform
/// during a change; and the platform restores an older version of the object. No daemon may return
/// to an older version, and each change must reach every daemon in time.
pub async fn outage(ctx: CaseContext) -> Result<CaseReport, String> {
    let mut harness = Harness::start(
        CaseContext {
            naive: false,
            ..ctx
        },
        ClusterConfig::default(),
    )
    .await?;
    let mut report = CaseReport::default();
    let all = harness.cluster.daemon_names().len();
    let (code, _) = patch_result(spawn_patch(
        &harness.cluster,
        "entry-11",
        1,
        "first",
        &callers_patch(300),
    )?)?;
    report.check(code == 0, "a patch was refused without any fault");
    wait_in_force(&harness.cluster, 2, all).await?;

    harness.cluster.admin(&json!({"down": true}))?;
    sleep_ms(500).await;
    let (code, reply) = patch_result(spawn_patch(
        &harness.cluster,
        "entry-11",
        2,
        "down",
        &callers_patch(301),
    )?)?;
    // Exit code 5: unavailable.
    report.check(
        code == 5,
        "a patch during an outage was not refused as unavailable",
    );
    report.check(
        reply["answer"]["retry_ms"]
            .as_u64()
            .is_some_and(|ms| ms > 0),
        "the refusal did not state a retry delay",
    );
    harness.cluster.kill("entry-22");
    harness.cluster.start_daemon(2, 2)?;
    let restarted = wait_in_force(&harness.cluster, 2, all).await?;
    harness.cluster.admin(&json!({"down": false}))?;

    // One data centre is cut off from the platform only, and gets the change by gossip.
    harness.cluster.cut_off_platform(3, true)?;
    let (code, _) = patch_result(spawn_patch(
        &harness.cluster,
        "entry-11",
        2,
        "second",
        &callers_patch(302),
    )?)?;
    report.check(code == 0, "a patch was refused after the outage");
    let partitioned = wait_in_force(&harness.cluster, 3, all).await?;
    harness.cluster.cut_off_platform(3, false)?;

    // The platform restores the first version: no daemon may revert to it, and the next patch
    // repairs the stored object.
    let first = harness.cluster.initial_institution("lakeshore")?;
    harness
        .cluster
        .admin(&json!({"restore": "institutions/lakeshore", "version": 9, "value": first}))?;
    sleep_ms(1500).await;
    let reverted = versions_in_force(&harness.cluster)?
        .into_iter()
        .filter(|(_, v)| *v < 3)
        .count();
    report.check(reverted == 0, "a daemon reverted to an older version");
    let (code, _) = patch_result(spawn_patch(
        &harness.cluster,
        "entry-31",
        3,
        "third",
        &callers_patch(303),
    )?)?;
    report.check(
        code == 0,
        "a patch against the version in force was refused after the restore",
    );
    let repaired = wait_in_force(&harness.cluster, 4, all).await?;
    for (name, took) in [
        ("restarted_ms", restarted),
        ("cut_off_ms", partitioned),
        ("healed_ms", repaired),
    ] {
        report.check(
            took.as_millis() < MAX_CONFIG_PUSH_MS,
            "a change was not in force on every daemon within 7 s",
        );
        report.record(name, millis(took));
    }
    harness.finish().await?;
    Ok(report)
}
