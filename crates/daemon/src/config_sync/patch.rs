//! Submission of patches to the configuration of an institution, each made against a given version.

use std::rc::Rc;

use base::{Event, Ms, emit};
use fleet::{StoreError, next_version};
use schema::{Institution, Item, PatchRequest, PatchResponse, Verdict};

use crate::config_sync::watch::INSTITUTION_KIND;
use crate::join::sleep;
use crate::state::Daemon;

/// Timeout of one call to the platform, in ms.
const CALL_TIMEOUT_MS: u64 = 1000;
/// Time limit for submitting a patch, including retries after a lost answer, in ms.
const SUBMIT_TIMEOUT_MS: u64 = 4000;
/// Delay between two attempts, in ms.
const RETRY_DELAY_MS: u64 = 50;
/// Retry delay that the client is told while the platform is unavailable, in ms.
const CLIENT_RETRY_DELAY_MS: u64 = 5000;

fn response(verdict: Verdict, version: u64, text: impl Into<Box<str>>) -> PatchResponse {
    let retry_ms = if matches!(verdict, Verdict::Unavailable | Verdict::Unknown) {
        CLIENT_RETRY_DELAY_MS
    } else {
        0
    };
    PatchResponse {
        verdict,
        version,
        text: text.into(),
        retry_ms,
    }
}

impl Daemon {
    /// Submits a patch to the platform, logs the verdict and returns it.
    pub async fn submit_patch(self: &Rc<Self>, request: &PatchRequest) -> PatchResponse {
        let response = self.try_submit(request).await;
        let event = if response.verdict == Verdict::Accepted {
            Event::PatchAccepted
        } else {
            Event::PatchRefused
        };
        let why = format!("{:?}: {}", response.verdict, response.text);
        emit(
            event,
            &[
                ("institution", &request.institution),
                ("id", &request.id),
                ("version", &response.version),
                ("why", &why),
            ],
        );
        response
    }

    /// Object version on the platform, and the newest known configuration: the one in force on this
    /// daemon if the platform holds an older one, as after a restore of the platform.
    async fn newest_config(&self, name: &str) -> Result<(u64, Option<Institution>), StoreError> {
        let stored = self
            .platform
            .object(INSTITUTION_KIND, name, CALL_TIMEOUT_MS)
            .await?;
        let stored_config: Option<Institution> = serde_json::from_value(stored.value).ok();
        let local_config = self.config_store.institution(name);
        let newer_local = local_config.filter(|local| {
            stored_config
                .as_ref()
                .is_none_or(|config| local.version > config.version)
        });
        Ok((
            stored.version,
            newer_local.map(|local| (*local).clone()).or(stored_config),
        ))
    }

    async fn try_submit(self: &Rc<Self>, request: &PatchRequest) -> PatchResponse {
        let deadline = Ms::now().plus(SUBMIT_TIMEOUT_MS);
        let mut update_sent = false;
        loop {
            let (stored_version, base) = match self.newest_config(&request.institution).await {
                Ok(found) => found,
                Err(_) if update_sent && deadline.left() > 0 => {
                    sleep(RETRY_DELAY_MS).await;
                    continue;
                }
                Err(_) if update_sent => {
                    return response(
                        Verdict::Unknown,
                        0,
                        "the platform stopped answering after the update was sent",
                    );
                }
                Err(_) => {
                    return response(
                        Verdict::Unavailable,
                        0,
                        "the platform does not answer; the patch was not accepted",
                    );
                }
            };
            let version = base.as_ref().map_or(0, |b| b.version);
            if let Some(accepted) = base
                .iter()
                .flat_map(|b| &b.recent)
                .find(|n| n.id == request.id)
            {
                self.apply_institution(base.as_ref());
                return response(Verdict::Accepted, accepted.version, "accepted");
            }
            if version != request.version {
                let text = format!(
                    "made against version {}, but version {version} stands",
                    request.version
                );
                return response(Verdict::Conflict, version, text);
            }
            let next = match next_version(base.as_ref(), &request.id, &request.text) {
                Ok(next) if next.name == request.institution => next,
                Ok(_) => {
                    return response(
                        Verdict::Invalid,
                        version,
                        "the object holds another institution",
                    );
                }
                Err(e) => return response(Verdict::Invalid, version, e.to_string()),
            };
            let value = serde_json::to_value(&next)
                .expect("an institution has only string keys and plain values");
            match self
                .platform
                .update(
                    INSTITUTION_KIND,
                    &request.institution,
                    stored_version,
                    &value,
                    CALL_TIMEOUT_MS,
                )
                .await
            {
                Ok(()) => {
                    self.apply_institution(Some(&next));
                    return response(Verdict::Accepted, next.version, "accepted");
                }
                // Reading the object again shows whether this patch or another one won.
                Err(StoreError::Conflict) => {}
                Err(StoreError::Unavailable) if !update_sent => {
                    return response(
                        Verdict::Unavailable,
                        version,
                        "the platform does not answer; the patch was not accepted",
                    );
                }
                Err(_) => update_sent = true,
            }
            if deadline.left() == 0 {
                return response(
                    Verdict::Unknown,
                    version,
                    "the platform did not settle the update in time",
                );
            }
            sleep(RETRY_DELAY_MS).await;
        }
    }

    /// Puts an accepted configuration in force on this daemon, which pushes it if it watches the
    /// platform.
    fn apply_institution(self: &Rc<Self>, institution: Option<&Institution>) {
        let Some(institution) = institution else {
            return;
        };
        let text = serde_json::to_string(institution)
            .expect("an institution has only string keys and plain values");
        let item = Item {
            name: institution.name.clone(),
            version: institution.version,
            from: 0,
            text: text.into(),
        };
        self.apply_item(&item, true);
    }
}
