//! The `config` commands.

use std::collections::BTreeMap;
use std::io::Read;

use schema::{PatchRequest, PatchResponse, Verdict};

use crate::args::Target;
use crate::finish;
use crate::operator::{Fleet, block_on};

/// Prints an institution's configuration as it is in force.
pub fn show(to: &Target, institution: &str) -> i32 {
    finish(block_on(async {
        let value = Fleet::open(to)?.object(institution).await?;
        let value =
            value.ok_or_else(|| format!("no configuration of {institution:?} is in force"))?;
        println!(
            "{}",
            serde_json::to_string_pretty(&value).map_err(|e| e.to_string())?
        );
        Ok(())
    }))
}

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

/// Submits a patch and tells what became of it.
pub fn patch(
    to: &Target,
    institution: &str,
    version: u64,
    id: Option<Box<str>>,
    file: &str,
) -> i32 {
    let id = id.unwrap_or_else(|| format!("{:016x}", fastrand::u64(..)).into());
    let result = block_on(async {
        let ask = PatchRequest {
            institution: institution.into(),
            version,
            id: id.clone(),
            text: read(file)?.into(),
        };
        Fleet::open(to)?
            .ask::<_, PatchResponse>("/v1/patch", &ask)
            .await
    });
    let answer = match result {
        Ok(answer) => answer,
        Err(text) => {
            return finish(Err(format!(
                "{text}; the outcome is unknown, repeat with --id {id}"
            )));
        }
    };
    if to.json {
        println!("{}", serde_json::json!({ "id": id, "answer": answer }));
    } else {
        println!(
            "{:?}: version {}, {}",
            answer.verdict, answer.version, answer.text
        );
        if answer.retry_ms > 0 {
            println!("come back in {} ms with --id {id}", answer.retry_ms);
        }
    }
    exit_code(answer.verdict)
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

/// Shows on which daemons each version is in force, and which daemons cannot be heard.
pub fn status(to: &Target) -> i32 {
    finish(block_on(async {
        let heard = Fleet::open(to)?.hear_all().await?;
        let mut versions: BTreeMap<Box<str>, BTreeMap<u64, Vec<Box<str>>>> = BTreeMap::new();
        for stats in &heard.stats {
            for known in stats.versions.iter().filter(|k| !k.name.starts_with('@')) {
                let by = versions.entry(known.name.clone()).or_default();
                by.entry(known.version)
                    .or_default()
                    .push(stats.name.clone());
            }
        }
        let silent: Vec<&str> = heard.silent.iter().map(|(n, _)| &**n).collect();
        if to.json {
            println!(
                "{}",
                serde_json::json!({ "versions": versions, "silent": silent })
            );
            return Ok(());
        }
        for (name, by) in &versions {
            for (version, daemons) in by.iter().rev() {
                println!(
                    "{name} version {version}: in force on {} daemons: {}",
                    daemons.len(),
                    daemons.join(" ")
                );
            }
        }
        for (name, why) in &heard.silent {
            println!("not heard: {name} ({why})");
        }
        Ok(())
    }))
}

/// Prints the newest patches of an institution.
pub fn history(to: &Target, institution: &str) -> i32 {
    finish(block_on(async {
        let value = Fleet::open(to)?.object(institution).await?;
        let value =
            value.ok_or_else(|| format!("no configuration of {institution:?} is in force"))?;
        if to.json {
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
