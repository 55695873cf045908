//! Configuration: racing patches, lost answers, outages, cuts, restarts, restored objects.

use std::process::{Command, Stdio};
use std::time::Instant;

use serde_json::{Value, json};

use crate::cluster::{Cluster, ClusterConfig};
use crate::prove::CaseContext;
use crate::prove::harness::{CaseReport, Harness, millis, sleep_ms};

/// A change must be in force everywhere within this time, in ms; the target of the project.
const MAX_CONFIG_PUSH_MS: u128 = 7000;

/// A patch that changes the limit of callers.
fn callers_patch(callers: u64) -> String {
    json!([{ "op": "replace", "path": "/callers", "value": callers }]).to_string()
}

/// Submits a patch at one daemon; returns the exit code and the answer.
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
    let mut input = child.stdin.take().ok_or("no input")?;
    input
        .write_all(text.as_bytes())
        .map_err(|e| e.to_string())?;
    Ok(child)
}

fn patch_result(child: std::process::Child) -> Result<(i32, Value), String> {
    let output = child.wait_with_output().map_err(|e| e.to_string())?;
    let value = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    Ok((output.status.code().unwrap_or(-1), value))
}

/// Versions in force on the daemons that can be heard.
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

/// Waits until all of so many daemons have a version in force; returns the time it took.
async fn wait_in_force(
    cluster: &Cluster,
    version: u64,
    daemons: usize,
) -> Result<std::time::Duration, String> {
    let begin = Instant::now();
    loop {
        let held = versions_in_force(cluster)?
            .into_iter()
            .filter(|(_, v)| *v >= version)
            .count();
        if held >= daemons {
            return Ok(begin.elapsed());
        }
        if begin.elapsed().as_millis() > 3 * MAX_CONFIG_PUSH_MS {
            return Err(format!(
                "version {version} is in force on {held} of {daemons} daemons only"
            ));
        }
        sleep_ms(20).await;
    }
}

/// Eight operators patch the same version at different daemons, three times over.
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
        let won = codes.iter().filter(|c| **c == 0).count();
        let told = codes.iter().filter(|c| **c == 3).count();
        report.check(won == 1, "not exactly one patch won");
        report.check(
            won + told == codes.len(),
            "a losing operator was not told of the conflict",
        );
        slowest = slowest.max(wait_in_force(&harness.cluster, version + 1, daemons.len()).await?);
    }
    report.check(
        slowest.as_millis() < MAX_CONFIG_PUSH_MS,
        "a change was not in force everywhere within 7 s",
    );
    report.record("in_force_ms", millis(slowest));
    harness.finish().await?;
    Ok(report)
}

/// The platform loses the answers of updates that took effect.
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
        let (code, told) = patch_result(spawn_patch(
            &harness.cluster,
            "entry-21",
            round + 1,
            &id,
            &callers_patch(200 + round),
        )?)?;
        report.check(
            code == 0,
            "a patch that took effect was not told as accepted",
        );
        report.check(
            told["answer"]["version"] == json!(round + 2),
            "the patch was applied more than once",
        );
        let (code, told) = patch_result(spawn_patch(
            &harness.cluster,
            "entry-31",
            round + 1,
            &id,
            &callers_patch(200 + round),
        )?)?;
        report.check(
            code == 0 && told["answer"]["version"] == json!(round + 2),
            "the same patch asked again had another outcome",
        );
    }
    harness.finish().await?;
    Ok(report)
}

/// Outage, a data centre cut off, a restart while cut off, and an older object restored.
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
    report.check(code == 0, "a patch was refused although nothing had failed");
    wait_in_force(&harness.cluster, 2, all).await?;

    harness.cluster.admin(&json!({"down": true}))?;
    sleep_ms(500).await;
    let (code, told) = patch_result(spawn_patch(
        &harness.cluster,
        "entry-11",
        2,
        "down",
        &callers_patch(301),
    )?)?;
    report.check(
        code == 5,
        "a patch during an outage was not refused as unavailable",
    );
    report.check(
        told["answer"]["retry_ms"].as_u64().is_some_and(|ms| ms > 0),
        "the operator was not told when to come back",
    );
    harness.cluster.kill("entry-22");
    harness.cluster.start_daemon(2, 2)?;
    let restarted = wait_in_force(&harness.cluster, 2, all).await?;
    harness.cluster.admin(&json!({"down": false}))?;

    // One data centre loses the platform alone, and hears of the change from its peers.
    harness.cluster.cut_off_platform(3, true)?;
    let (code, _) = patch_result(spawn_patch(
        &harness.cluster,
        "entry-11",
        2,
        "second",
        &callers_patch(302),
    )?)?;
    report.check(code == 0, "a patch was refused after the outage");
    let cut_off = wait_in_force(&harness.cluster, 3, all).await?;
    harness.cluster.cut_off_platform(3, false)?;

    // The platform restores the first version: no daemon goes back, and a patch heals the store.
    let first = harness.cluster.initial_institution("lakeshore")?;
    harness
        .cluster
        .admin(&json!({"restore": "institutions/lakeshore", "version": 9, "value": first}))?;
    sleep_ms(1500).await;
    let back = versions_in_force(&harness.cluster)?
        .into_iter()
        .filter(|(_, v)| *v < 3)
        .count();
    report.check(back == 0, "a daemon went back to an older version");
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
    let healed = wait_in_force(&harness.cluster, 4, all).await?;
    for (name, took) in [
        ("restarted_ms", restarted),
        ("cut_off_ms", cut_off),
        ("healed_ms", healed),
    ] {
        report.check(
            took.as_millis() < MAX_CONFIG_PUSH_MS,
            "a change was not in force everywhere within 7 s",
        );
        report.record(name, millis(took));
    }
    harness.finish().await?;
    Ok(report)
}
