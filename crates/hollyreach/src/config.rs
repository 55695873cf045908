//! The `config` commands.

use std::collections::BTreeMap;
use std::io::Read;

use schema::{PatchRequest, PatchResponse, Verdict};

use crate::args::Target;
use crate::operator::{FleetClient, block_on};
use crate::report_result;

/// Prints the configuration of an institution that is in force.
pub fn show(target: &Target, institution: &str) -> i32 {
    report_result(block_on(async {
        let value = FleetClient::open(target)?.object(institution).await?;
        let value =
            value.ok_or_else(|| format!("no configuration of {institution:?} is in force"))?;
        println!(
            "{}",
            serde_json::to_string_pretty(&value).map_err(|e| e.to_string())?
        );
        Ok(())
    }))
}

/// Reads a file; `-` is standard input.
fn read(file: &str) -> Result<String, String> {
    if file != "-" {
        return std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"));
    }
    let mut text = String::new();
    std::io::stdin()
        .read_to_string(&mut text)
        .map_err(|e| e.to_string())?;
    Ok(text)
}

/// Submits a patch and prints its result.
pub fn patch(
    target: &Target,
    institution: &str,
    version: u64,
    id: Option<Box<str>>,
    file: &str,
) -> i32 {
    let id = id.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)).into());
    let result = block_on(async {
        let request = PatchRequest {
            institution: institution.into(),
            version,
            id: id.clone(),
            text: read(file)?.into(),
        };
        FleetClient::open(target)?
            .request::<_, PatchResponse>("/v1/patch", &request)
            .await
    });
    let response = match result {
        Ok(response) => response,
        Err(text) => {
            return report_result(Err(format!(
                "{text}; the outcome of the patch is unknown, retry with --id {id}"
            )));
        }
    };
    if target.json {
        println!("{}", serde_json::json!({ "id": id, "answer": response }));
    } else {
        println!(
            "{:?}: version {}, {}",
            response.verdict, response.version, response.text
        );
        if response.retry_ms > 0 {
            println!("retry in {} ms with --id {id}", response.retry_ms);
        }
    }
    exit_code(response.verdict)
}

const fn exit_code(verdict: Verdict) -> i32 {
    match verdict {
        Verdict::Accepted => 0,
        Verdict::Conflict => 3,
        Verdict::Invalid => 4,
        Verdict::Unavailable => 5,
        Verdict::Unknown => 6,
    }
}

/// Prints the daemons on which each version is in force, and the daemons that did not answer.
pub fn status(target: &Target) -> i32 {
    report_result(block_on(async {
        let fleet = FleetClient::open(target)?.collect_stats().await?;
        let mut versions: BTreeMap<Box<str>, BTreeMap<u64, Vec<Box<str>>>> = BTreeMap::new();
        for stats in &fleet.stats {
            for known in stats.versions.iter().filter(|k| !k.name.starts_with('@')) {
                let by_version = versions.entry(known.name.clone()).or_default();
                by_version
                    .entry(known.version)
                    .or_default()
                    .push(stats.name.clone());
            }
        }
        let silent: Vec<&str> = fleet.unreachable.iter().map(|(n, _)| &**n).collect();
        if target.json {
            println!(
                "{}",
                serde_json::json!({ "versions": versions, "silent": silent })
            );
            return Ok(());
        }
        for (name, by_version) in &versions {
            for (version, daemons) in by_version.iter().rev() {
                println!(
                    "{name} version {version}: in force on {} daemons: {}",
                    daemons.len(),
                    daemons.join(" ")
                );
            }
        }
        for (name, error) in &fleet.unreachable {
            println!("not heard: {name} ({error})");
        }
        Ok(())
    }))
}

/// Prints version and identifier of the most recent patches of an institution.
pub fn history(target: &Target, institution: &str) -> i32 {
    report_result(block_on(async {
        let value = FleetClient::open(target)?.object(institution).await?;
        let value =
            value.ok_or_else(|| format!("no configuration of {institution:?} is in force"))?;
        if target.json {
            println!("{}", value["recent"]);
            return Ok(());
        }
        for note in value["recent"].as_array().into_iter().flatten() {
            println!(
                "version {} patch {}",
                note["version"],
                note["id"].as_str().unwrap_or("?")
            );
        }
        Ok(())
    }))
}
