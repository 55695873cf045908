//! The watch on the platform, and what follows from new objects.

use std::collections::BTreeMap;
use std::rc::Rc;

use base::{Event, Ms, emit};
use fleet::{OfferOutcome, VM_LIST_ITEM, delta};
use schema::{Item, Vm};

use crate::join::{notified_within, sleep};
use crate::state::Daemon;

/// Daemons of a data centre that watch the platform.
const RELAYS: usize = 2;
/// Kind under which institutions are stored.
pub const INSTITUTION_KIND: &str = "institutions";
/// Longest wait of one watch, in ms.
const WATCH_MS: u64 = 5000;
/// Time for one read of the list of VMs, in ms.
const LIST_MS: u64 = 2000;
/// Pause after a failed call, in ms.
const RETRY_MS: u64 = 200;

/// Starts all tasks of the configuration sync.
pub fn run(daemon: &Rc<Daemon>) {
    monoio::spawn(apply(daemon.clone()));
    monoio::spawn(watch_objects(daemon.clone()));
    monoio::spawn(watch_vms(daemon.clone()));
    monoio::spawn(super::gossip::gossip(daemon.clone()));
}

/// Whether this daemon has to ask the platform itself.
fn asks(daemon: &Daemon) -> bool {
    daemon.membership.is_platform_watcher(RELAYS) || !daemon.is_ready()
}

/// Puts new objects in force.
async fn apply(daemon: Rc<Daemon>) {
    loop {
        let seen = daemon.config_store.changed.generation();
        if let Some(held) = daemon.config_store.get(VM_LIST_ITEM)
            && let Ok(vms) = serde_json::from_value::<BTreeMap<Box<str>, Vm>>(held.value.clone())
        {
            daemon.membership.set(vms);
        }
        daemon.rebuild_groups();
        daemon.switch_over_leaving();
        // Groups learn their primary by and by, so the look for leaving ones is repeated.
        notified_within(
            &daemon.config_store.changed,
            seen,
            daemon.settings.timing.list_ms,
        )
        .await;
    }
}

async fn watch_objects(daemon: Rc<Daemon>) {
    let mut after = 0;
    loop {
        if !asks(&daemon) {
            sleep(daemon.settings.timing.list_ms).await;
            continue;
        }
        let Ok(watched) = daemon
            .platform
            .watch(
                INSTITUTION_KIND,
                after,
                if after == 0 { 0 } else { WATCH_MS },
            )
            .await
        else {
            sleep(RETRY_MS).await;
            continue;
        };
        after = watched.revision;
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

/// Reads the list of VMs, and makes a new version of it when it differs from the one held.
async fn watch_vms(daemon: Rc<Daemon>) {
    loop {
        if asks(&daemon)
            && let Ok(vms) = daemon.platform.vms(LIST_MS).await
        {
            let value = serde_json::to_value(&vms).expect("the list is plain data");
            let held = daemon.config_store.get(VM_LIST_ITEM);
            if held.as_ref().is_none_or(|h| h.value != value) {
                // The platform gives the list no version, so this daemon's wall clock does; a list
                // that is wrong for a while harms nothing.
                let version = held.as_ref().map_or(0, |h| h.version + 1).max(Ms::unix());
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
    /// Takes an item if it is newer, and pushes it to the data centre if this daemon watches the
    /// platform.
    pub fn apply_item(self: &Rc<Self>, item: &Item, push: bool) -> OfferOutcome {
        let old = self.config_store.get(&item.name);
        let offer = self.config_store.offer(item);
        match &offer {
            OfferOutcome::Taken => {
                emit(
                    Event::ConfigInForce,
                    &[("name", &item.name), ("version", &item.version)],
                );
                if push && self.membership.is_platform_watcher(RELAYS) {
                    let new = self.config_store.get(&item.name);
                    let change = old.zip(new).map(|(old, new)| Item {
                        from: old.version,
                        text: delta(&old.value, &new.value),
                        ..item.clone()
                    });
                    let small = change.filter(|c| c.text.len() < item.text.len());
                    self.push_to_data_center(small.unwrap_or_else(|| item.clone()));
                }
            }
            OfferOutcome::Older => emit(
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
            OfferOutcome::Same | OfferOutcome::NeedsWhole => {}
        }
        offer
    }
}
