//! Configuration: racing patches, lost answers, outages, cuts, restarts, restored objects.

use std::process::{Command, Stdio};
use std::time::Instant;

use serde_json::{Value, json};

use crate::cluster::{Cluster, Plan};
use crate::prove::Ctx;
use crate::prove::scene::{Facts, Scene, ms, pause};

/// A change must be in force everywhere within this time, in ms; the target of the project.
const FORCE_MAX_MS: u128 = 7000;

/// A patch that changes the limit of callers.
fn text(callers: u64) -> String {
    json!([{ "op": "replace", "path": "/callers", "value": callers }]).to_string()
}

/// Submits a patch at one daemon; returns the exit code and the answer.
fn submit(
    cluster: &Cluster,
    daemon: &str,
    version: u64,
    id: &str,
    text: &str,
) -> Result<std::process::Child, String> {
    use std::io::Write;
    let file = cluster.settings_file(daemon);
    let mut child = Command::new(cluster.binary())
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

fn answer(child: std::process::Child) -> Result<(i32, Value), String> {
    let output = child.wait_with_output().map_err(|e| e.to_string())?;
    let value = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    Ok((output.status.code().unwrap_or(-1), value))
}

/// Versions in force on the daemons that can be heard.
fn versions(cluster: &Cluster) -> Result<Vec<(String, u64)>, String> {
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
async fn in_force(
    cluster: &Cluster,
    version: u64,
    daemons: usize,
) -> Result<std::time::Duration, String> {
    let begin = Instant::now();
    loop {
        let held = versions(cluster)?
            .into_iter()
            .filter(|(_, v)| *v >= version)
            .count();
        if held >= daemons {
            return Ok(begin.elapsed());
        }
        if begin.elapsed().as_millis() > 3 * FORCE_MAX_MS {
            return Err(format!(
                "version {version} is in force on {held} of {daemons} daemons only"
            ));
        }
        pause(20).await;
    }
}

/// Eight operators patch the same version at different daemons, three times over.
pub async fn race(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(
        Ctx {
            naive: false,
            ..ctx
        },
        Plan::default(),
    )
    .await?;
    let daemons = scene.cluster.daemons();
    let mut facts = Facts::default();
    let mut slowest = std::time::Duration::ZERO;
    for round in 0..3_u64 {
        let version = round + 1;
        let mut children = Vec::new();
        for (i, daemon) in daemons.iter().take(8).enumerate() {
            let id = format!("race-{round}-{i}");
            children.push(submit(
                &scene.cluster,
                daemon,
                version,
                &id,
                &text(100 + i as u64),
            )?);
        }
        let mut codes = Vec::new();
        for child in children {
            codes.push(answer(child)?.0);
        }
        let won = codes.iter().filter(|c| **c == 0).count();
        let told = codes.iter().filter(|c| **c == 3).count();
        facts.expect(won == 1, "not exactly one patch won");
        facts.expect(
            won + told == codes.len(),
            "a losing operator was not told of the conflict",
        );
        slowest = slowest.max(in_force(&scene.cluster, version + 1, daemons.len()).await?);
    }
    facts.expect(
        slowest.as_millis() < FORCE_MAX_MS,
        "a change was not in force everywhere within 7 s",
    );
    facts.tell("in_force_ms", ms(slowest));
    scene.finish().await?;
    Ok(facts)
}

/// The platform loses the answers of updates that took effect.
pub async fn lost(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(
        Ctx {
            naive: false,
            ..ctx
        },
        Plan::default(),
    )
    .await?;
    let mut facts = Facts::default();
    for round in 0..4_u64 {
        scene.cluster.admin(&json!({"lose": 1}))?;
        let id = format!("lost-{round}");
        let (code, told) = answer(submit(
            &scene.cluster,
            "entry-21",
            round + 1,
            &id,
            &text(200 + round),
        )?)?;
        facts.expect(
            code == 0,
            "a patch that took effect was not told as accepted",
        );
        facts.expect(
            told["answer"]["version"] == json!(round + 2),
            "the patch was applied more than once",
        );
        let (code, told) = answer(submit(
            &scene.cluster,
            "entry-31",
            round + 1,
            &id,
            &text(200 + round),
        )?)?;
        facts.expect(
            code == 0 && told["answer"]["version"] == json!(round + 2),
            "the same patch asked again had another outcome",
        );
    }
    scene.finish().await?;
    Ok(facts)
}

/// Outage, a data centre cut off, a restart while cut off, and an older object restored.
pub async fn outage(ctx: Ctx) -> Result<Facts, String> {
    let mut scene = Scene::start(
        Ctx {
            naive: false,
            ..ctx
        },
        Plan::default(),
    )
    .await?;
    let mut facts = Facts::default();
    let all = scene.cluster.daemons().len();
    let (code, _) = answer(submit(&scene.cluster, "entry-11", 1, "first", &text(300))?)?;
    facts.expect(code == 0, "a patch was refused although nothing had failed");
    in_force(&scene.cluster, 2, all).await?;

    scene.cluster.admin(&json!({"down": true}))?;
    pause(500).await;
    let (code, told) = answer(submit(&scene.cluster, "entry-11", 2, "down", &text(301))?)?;
    facts.expect(
        code == 5,
        "a patch during an outage was not refused as unavailable",
    );
    facts.expect(
        told["answer"]["retry_ms"].as_u64().is_some_and(|ms| ms > 0),
        "the operator was not told when to come back",
    );
    scene.cluster.kill("entry-22");
    scene.cluster.start_daemon(2, 2)?;
    let restarted = in_force(&scene.cluster, 2, all).await?;
    scene.cluster.admin(&json!({"down": false}))?;

    // One data centre loses the platform alone, and hears of the change from its peers.
    scene.cluster.isolate_platform(3, true)?;
    let (code, _) = answer(submit(&scene.cluster, "entry-11", 2, "second", &text(302))?)?;
    facts.expect(code == 0, "a patch was refused after the outage");
    let cut_off = in_force(&scene.cluster, 3, all).await?;
    scene.cluster.isolate_platform(3, false)?;

    // The platform restores the first version: no daemon goes back, and a patch heals the store.
    let first = scene.cluster.first_institution("lakeshore")?;
    scene
        .cluster
        .admin(&json!({"restore": "institutions/lakeshore", "version": 9, "value": first}))?;
    pause(1500).await;
    let back = versions(&scene.cluster)?
        .into_iter()
        .filter(|(_, v)| *v < 3)
        .count();
    facts.expect(back == 0, "a daemon went back to an older version");
    let (code, _) = answer(submit(&scene.cluster, "entry-31", 3, "third", &text(303))?)?;
    facts.expect(
        code == 0,
        "a patch against the version in force was refused after the restore",
    );
    let healed = in_force(&scene.cluster, 4, all).await?;
    for (name, took) in [
        ("restarted_ms", restarted),
        ("cut_off_ms", cut_off),
        ("healed_ms", healed),
    ] {
        facts.expect(
            took.as_millis() < FORCE_MAX_MS,
            "a change was not in force everywhere within 7 s",
        );
        facts.tell(name, ms(took));
    }
    scene.finish().await?;
    Ok(facts)
}
