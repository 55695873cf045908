//! Watches the platform for new versions of objects, and applies them on this daemon.

use std::collections::BTreeMap;
use std::rc::Rc;

use base::{Event, Ms, emit};
use fleet::{OfferOutcome, VM_LIST_ITEM, create_patch};
use schema::{Item, Vm};

use crate::join::{notified_within, sleep};
use crate::state::Daemon;

/// Number of daemons per data centre that watch the platform.
const WATCHERS_PER_DATA_CENTER: usize = 2;
/// Object kind of institutions on the platform.
pub const INSTITUTION_KIND: &str = "institutions";
/// Time for which one watch call waits for changes, in ms.
const WATCH_TIMEOUT_MS: u64 = 5000;
/// Timeout for reading the list of VMs, in ms.
const LIST_TIMEOUT_MS: u64 = 2000;
/// Retry delay after a failed call, in ms.
const RETRY_DELAY_MS: u64 = 200;

/// Starts the tasks of the configuration sync.
pub fn run(daemon: &Rc<Daemon>) {
    monoio::spawn(apply_changes(daemon.clone()));
    monoio::spawn(watch_objects(daemon.clone()));
    monoio::spawn(watch_vms(daemon.clone()));
    monoio::spawn(super::gossip::run_gossip(daemon.clone()));
}

/// Whether this daemon reads from the platform: as a watcher of its data centre, or because it is
/// not ready, as before it has a configuration.
fn uses_platform(daemon: &Daemon) -> bool {
    daemon
        .membership
        .is_platform_watcher(WATCHERS_PER_DATA_CENTER)
        || !daemon.is_ready()
}

/// Updates the membership and the groups whenever an object in force changes.
async fn apply_changes(daemon: Rc<Daemon>) {
    loop {
        let generation = daemon.config_store.changed.generation();
        if let Some(stored) = daemon.config_store.get(VM_LIST_ITEM)
            && let Ok(vms) = serde_json::from_value::<BTreeMap<Box<str>, Vm>>(stored.value.clone())
        {
            daemon.membership.replace_vms(vms);
        }
        daemon.rebuild_groups();
        daemon.switch_over_leaving();
        // The primary of a group on a leaving VM may become known later, so this is also repeated
        // without a change.
        notified_within(
            &daemon.config_store.changed,
            generation,
            daemon.settings.timing.list_ms,
        )
        .await;
    }
}

/// Watches the institutions on the platform and applies their changes.
async fn watch_objects(daemon: Rc<Daemon>) {
    let mut after_revision = 0;
    loop {
        if !uses_platform(&daemon) {
            sleep(daemon.settings.timing.list_ms).await;
            continue;
        }
        let Ok(watched) = daemon
            .platform
            .watch(
                INSTITUTION_KIND,
                after_revision,
                if after_revision == 0 {
                    0
                } else {
                    WATCH_TIMEOUT_MS
                },
            )
            .await
        else {
            sleep(RETRY_DELAY_MS).await;
            continue;
        };
        after_revision = watched.revision;
        for change in watched.changes {
            let version = change.value["version"].as_u64().unwrap_or(0);
            let text = change.value.to_string().into();
            let item = Item {
                name: change.name,
                version,
                from: 0,
                text,
            };
            daemon.apply_item(&item, true);
        }
    }
}

/// Polls the list of VMs, and applies it as a new version when it differs from the one in force.
async fn watch_vms(daemon: Rc<Daemon>) {
    loop {
        if uses_platform(&daemon)
            && let Ok(vms) = daemon.platform.vms(LIST_TIMEOUT_MS).await
        {
            let value = serde_json::to_value(&vms)
                .expect("the list of VMs has only string keys and plain values");
            let stored = daemon.config_store.get(VM_LIST_ITEM);
            if stored.as_ref().is_none_or(|h| h.value != value) {
                // The list has no version on the platform, so the version is taken from the wall
                // clock of this daemon. A temporarily outdated list does no harm: safety does not
                // depend on it.
                let version = stored.as_ref().map_or(0, |h| h.version + 1).max(Ms::unix());
                let item = Item {
                    name: VM_LIST_ITEM.into(),
                    version,
                    from: 0,
                    text: value.to_string().into(),
                };
                daemon.apply_item(&item, true);
            }
        }
        sleep(daemon.settings.timing.list_ms).await;
    }
}

impl Daemon {
    /// Puts an item in force if it is newer. With `forward`, a daemon that watches the platform
    /// also pushes it to its data centre, as a patch if that is smaller.
    pub fn apply_item(self: &Rc<Self>, item: &Item, forward: bool) -> OfferOutcome {
        let old = self.config_store.get(&item.name);
        let outcome = self.config_store.offer(item);
        match &outcome {
            OfferOutcome::Applied => {
                emit(
                    Event::ConfigInForce,
                    &[("name", &item.name), ("version", &item.version)],
                );
                if forward
                    && self
                        .membership
                        .is_platform_watcher(WATCHERS_PER_DATA_CENTER)
                {
                    let new = self.config_store.get(&item.name);
                    let patch_item = old.zip(new).map(|(old, new)| Item {
                        from: old.version,
                        text: create_patch(&old.value, &new.value),
                        ..item.clone()
                    });
                    let smaller_patch = patch_item.filter(|c| c.text.len() < item.text.len());
                    self.push_to_data_center(smaller_patch.unwrap_or_else(|| item.clone()));
                }
            }
            OfferOutcome::Outdated => emit(
                Event::ConfigOlder,
                &[("name", &item.name), ("version", &item.version)],
            ),
            OfferOutcome::Invalid(why) => emit(
                Event::ConfigInvalid,
                &[
                    ("name", &item.name),
                    ("version", &item.version),
                    ("why", why),
                ],
            ),
            OfferOutcome::Current | OfferOutcome::NeedsFullObject => {}
        }
        outcome
    }
}
