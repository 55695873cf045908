//! Publishes the list of VMs and the institutions on the platform.

use serde_json::{Value, json};

use super::{Cluster, GroupSpec, MemberRef, parse_daemon_name};

impl Cluster {
    pub(super) fn publish_vms(&mut self) -> Result<(), String> {
        let vm = |name: &str, center: u8, role: &str, addr: &str| json!({"name": name, "data_center": format!("dc{center}"), "role": role, "addr": addr, "state": "live"});
        let mut vms = Vec::new();
        for name in self.daemon_names() {
            let (center, _) = parse_daemon_name(&name);
            vms.push(vm(&name, center, "entry", &self.internal_addr(&name)));
        }
        vms.extend(
            self.members()
                .iter()
                .map(|m| vm(&m.name, m.center, "upstream", &m.addr)),
        );
        self.vms = vms;
        self.admin(&json!({"vms": self.vms}))?;
        Ok(())
    }

    /// Changes the state of a VM in the platform's list.
    pub fn set_vm_state(&mut self, name: &str, state: &str) -> Result<(), String> {
        for vm in &mut self.vms {
            if vm["name"] == name {
                vm["state"] = json!(state);
            }
        }
        self.admin(&json!({"vms": self.vms}))?;
        Ok(())
    }

    pub(super) fn publish_institutions(&self) -> Result<(), String> {
        for deployment in &self.deployments {
            let value = self.initial_institution(&deployment.name)?;
            self.admin(&json!({"restore": format!("institutions/{}", deployment.name), "version": 1, "value": value}))?;
        }
        Ok(())
    }

    /// First version of an institution's object.
    pub fn initial_institution(&self, name: &str) -> Result<Value, String> {
        let deployment = self
            .deployments
            .iter()
            .find(|d| d.name == name)
            .ok_or("no such institution")?;
        let members = |group: &GroupSpec| -> Vec<Value> {
            let list = self.group_members(&deployment.name, &group.name);
            let member = |m: &MemberRef| json!({"name": m.name, "data_center": format!("dc{}", m.center), "addr": m.addr});
            list.iter().map(member).collect()
        };
        Ok(deployment.institution(members))
    }
}
