//! Patches against a numbered version of an institution's configuration.

use std::rc::Rc;

use base::{Event, Ms, emit};
use fleet::{StoreError, next_version};
use schema::{Institution, Item, PatchRequest, PatchResponse, Verdict};

use crate::config_sync::watch::INSTITUTION_KIND;
use crate::join::sleep;
use crate::state::Daemon;

/// Time for one call to the platform, in ms.
const CALL_MS: u64 = 1000;
/// Time to settle an update whose answer was lost, in ms.
const SETTLE_MS: u64 = 4000;
/// Pause between two attempts, in ms.
const STEP_MS: u64 = 50;
/// When to come back while the platform is down, in ms.
const RETRY_MS: u64 = 5000;

fn verdict(verdict: Verdict, version: u64, text: impl Into<Box<str>>) -> PatchResponse {
    let retry_ms = if matches!(verdict, Verdict::Unavailable | Verdict::Unknown) {
        RETRY_MS
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
    /// Applies a patch and tells what became of it.
    pub async fn submit_patch(self: &Rc<Self>, ask: &PatchRequest) -> PatchResponse {
        let answer = self.try_submit(ask).await;
        let event = if answer.verdict == Verdict::Accepted {
            Event::PatchAccepted
        } else {
            Event::PatchRefused
        };
        let why = format!("{:?}: {}", answer.verdict, answer.text);
        emit(
            event,
            &[
                ("institution", &ask.institution),
                ("id", &ask.id),
                ("version", &answer.version),
                ("why", &why),
            ],
        );
        answer
    }

    /// The newest configuration known: the store's, or the one in force if that is newer, as after
    /// the platform restored an older object. Also the store's own version.
    async fn newest(&self, name: &str) -> Result<(u64, Option<Institution>), StoreError> {
        let stored = self
            .platform
            .object(INSTITUTION_KIND, name, CALL_MS)
            .await?;
        let read: Option<Institution> = serde_json::from_value(stored.value).ok();
        let held = self.config_store.institution(name);
        let newer = held.filter(|h| read.as_ref().is_none_or(|r| h.version > r.version));
        Ok((stored.version, newer.map(|h| (*h).clone()).or(read)))
    }

    async fn try_submit(self: &Rc<Self>, ask: &PatchRequest) -> PatchResponse {
        let until = Ms::now().plus(SETTLE_MS);
        let mut sent = false;
        loop {
            let (stored, base) = match self.newest(&ask.institution).await {
                Ok(found) => found,
                Err(_) if sent && until.left() > 0 => {
                    sleep(STEP_MS).await;
                    continue;
                }
                Err(_) if sent => {
                    return verdict(
                        Verdict::Unknown,
                        0,
                        "the platform stopped answering after the update was sent",
                    );
                }
                Err(_) => {
                    return verdict(
                        Verdict::Unavailable,
                        0,
                        "the platform does not answer; the patch was not accepted",
                    );
                }
            };
            let version = base.as_ref().map_or(0, |b| b.version);
            if let Some(note) = base.iter().flat_map(|b| &b.recent).find(|n| n.id == ask.id) {
                self.put_in_force(base.as_ref());
                return verdict(Verdict::Accepted, note.version, "accepted");
            }
            if version != ask.version {
                let text = format!(
                    "made against version {}, but version {version} stands",
                    ask.version
                );
                return verdict(Verdict::Conflict, version, text);
            }
            let next = match next_version(base.as_ref(), &ask.id, &ask.text) {
                Ok(next) if next.name == ask.institution => next,
                Ok(_) => {
                    return verdict(
                        Verdict::Invalid,
                        version,
                        "the object holds another institution",
                    );
                }
                Err(e) => return verdict(Verdict::Invalid, version, e.to_string()),
            };
            let value = serde_json::to_value(&next).expect("an institution is plain data");
            match self
                .platform
                .update(INSTITUTION_KIND, &ask.institution, stored, &value, CALL_MS)
                .await
            {
                Ok(()) => {
                    self.put_in_force(Some(&next));
                    return verdict(Verdict::Accepted, next.version, "accepted");
                }
                // Whether this patch or another won shows when the object is read again.
                Err(StoreError::Conflict) => {}
                Err(StoreError::Unavailable) if !sent => {
                    return verdict(
                        Verdict::Unavailable,
                        version,
                        "the platform does not answer; the patch was not accepted",
                    );
                }
                Err(_) => sent = true,
            }
            if until.left() == 0 {
                return verdict(
                    Verdict::Unknown,
                    version,
                    "the platform did not settle the update in time",
                );
            }
            sleep(STEP_MS).await;
        }
    }

    fn put_in_force(self: &Rc<Self>, institution: Option<&Institution>) {
        let Some(institution) = institution else {
            return;
        };
        let text = serde_json::to_string(institution).expect("an institution is plain data");
        let item = Item {
            name: institution.name.clone(),
            version: institution.version,
            from: 0,
            text: text.into(),
        };
        self.apply_item(&item, true);
    }
}
