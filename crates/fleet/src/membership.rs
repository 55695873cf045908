//! The platform's list of VMs, and the assignment of members to daemons that follows from it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base::{Ms, Signal};
use schema::{Member, Prefix, Role, Settings, Vm, VmState};

use crate::rendezvous::rank_candidates;

/// Name under which daemons share the list of VMs as an object.
pub const VM_LIST_ITEM: &str = "@vms";

/// Time for which an unreachable daemon is tried after all others.
const UNREACHABLE_AVOID_MS: u64 = 1000;
/// Time for which a stopping daemon is tried after all others.
const STOPPING_AVOID_MS: u64 = 5000;

/// The list of VMs as known to this daemon; it may be out of date.
pub struct Membership {
    /// Name of this daemon.
    pub own_name: Box<str>,
    /// Data centre of this daemon.
    pub data_center: Box<str>,
    prefixes: Vec<Prefix>,
    vms: RefCell<Rc<BTreeMap<Box<str>, Vm>>>,
    /// Daemons that are tried after all others, with the instant at which that ends.
    avoided: RefCell<BTreeMap<Box<str>, Ms>>,
    /// Set while this daemon stops.
    pub stopping: Cell<bool>,
    /// Notified when the list changes.
    pub changed: Signal,
}

impl Membership {
    /// Creates a list of this daemon and its seeds, for use until the platform's list arrives.
    pub fn new(settings: &Settings) -> Membership {
        let vm = |name: &str, center: &str, addr: &str| Vm {
            name: name.into(),
            data_center: center.into(),
            role: Role::Entry,
            addr: addr.into(),
            state: VmState::Live,
        };
        let me = vm(&settings.name, &settings.data_center, &settings.internal);
        let seeds = settings
            .seeds
            .iter()
            .map(|s| vm(&s.name, &s.data_center, &s.addr));
        let vms = seeds.chain([me]).map(|v| (v.name.clone(), v)).collect();
        Membership {
            own_name: settings.name.clone(),
            data_center: settings.data_center.clone(),
            prefixes: settings.address_map.clone(),
            vms: RefCell::new(Rc::new(vms)),
            avoided: RefCell::default(),
            stopping: Cell::new(false),
            changed: Signal::default(),
        }
    }

    /// Replaces the list of VMs; notifies `changed` if it differs.
    pub fn replace_vms(&self, vms: BTreeMap<Box<str>, Vm>) {
        if *self.vms.borrow().as_ref() != vms {
            *self.vms.borrow_mut() = Rc::new(vms);
            self.changed.notify();
        }
    }

    pub fn vms(&self) -> Rc<BTreeMap<Box<str>, Vm>> {
        self.vms.borrow().clone()
    }

    /// Returns whether the list marks a VM as leaving.
    pub fn is_leaving(&self, name: &str) -> bool {
        self.vms
            .borrow()
            .get(name)
            .is_some_and(|v| v.state == VmState::Leaving)
    }

    /// Applies the first matching prefix rewrite of the settings to an address; `None` if the
    /// result cannot be parsed.
    pub fn rewrite_address(&self, addr: &str) -> Option<SocketAddr> {
        for prefix in &self.prefixes {
            if let Some(rest) = addr.strip_prefix(&*prefix.from) {
                return format!("{}{rest}", prefix.to).parse().ok();
            }
        }
        addr.parse().ok()
    }

    /// Returns the address of a daemon, with the configured prefix rewrites applied.
    pub fn daemon_addr(&self, name: &str) -> Option<SocketAddr> {
        let vms = self.vms();
        self.rewrite_address(&vms.get(name).filter(|v| v.role == Role::Entry)?.addr)
    }

    /// Returns the names of the live daemons, limited to one data centre if it is given.
    pub fn live_daemons(&self, center: Option<&str>) -> Vec<Box<str>> {
        let vms = self.vms();
        let is_live_daemon = |v: &&Vm| v.role == Role::Entry && v.state == VmState::Live;
        let in_center = |v: &&Vm| center.is_none_or(|c| *v.data_center == *c);
        vms.values()
            .filter(is_live_daemon)
            .filter(in_center)
            .map(|v| v.name.clone())
            .collect()
    }

    /// Ranks the daemons as owners of a member: those of its data centre, or all if there are none.
    pub fn owner_ranking(&self, member: &Member) -> Vec<Box<str>> {
        let mut names = self.live_daemons(Some(&member.data_center));
        if names.is_empty() {
            names = self.live_daemons(None);
        }
        rank_candidates(&member.name, names.iter().map(|n| &**n))
            .into_iter()
            .map(Into::into)
            .collect()
    }

    /// Returns whether this daemon ranks among the first `owners` daemons for a member; never while
    /// it stops.
    pub fn is_owner(&self, member: &Member, owners: u64) -> bool {
        let ranking = self.owner_ranking(member);
        let owners = usize::try_from(owners).unwrap_or(usize::MAX);
        !self.stopping.get() && ranking.iter().take(owners).any(|n| *n == self.own_name)
    }

    /// Returns whether this daemon is one of the `count` daemons that watch the platform for its
    /// data centre, or whether that has no live daemon.
    pub fn is_platform_watcher(&self, count: usize) -> bool {
        let names = self.live_daemons(Some(&self.data_center));
        let ranking = rank_candidates("relay", names.iter().map(|n| &**n));
        ranking.is_empty() || ranking.iter().take(count).any(|n| **n == *self.own_name)
    }

    /// Records that a daemon could not be reached, so that requests go to other daemons first.
    pub fn mark_unreachable(&self, name: &str) {
        self.avoided
            .borrow_mut()
            .insert(name.into(), Ms::now().plus(UNREACHABLE_AVOID_MS));
    }

    /// Records that a daemon is stopping, so that requests go to other daemons first.
    pub fn mark_stopping(&self, name: &str) {
        self.avoided
            .borrow_mut()
            .insert(name.into(), Ms::now().plus(STOPPING_AVOID_MS));
    }

    /// Returns whether a daemon was recently unreachable or stopping.
    pub fn is_avoided(&self, name: &str) -> bool {
        self.avoided
            .borrow()
            .get(name)
            .is_some_and(|until| until.left() > 0)
    }
}
