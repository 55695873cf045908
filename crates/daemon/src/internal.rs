//! What a daemon answers to other daemons and to operators.

use std::rc::Rc;

use base::{Event, emit};
use peer::{Call, HELLO_PATH, Handler, Served, decode, encode};
use schema::{Cancel, CancelRun, Fetch, GroupRequest, GroupStat, GroupView, OrderResponse, Stats};
use serde::Serialize;

use crate::frontend::cancel_pid;
use crate::state::Daemon;

/// Time for one call that passes a cancel on, in ms.
const CANCEL_MS: u64 = 500;

/// Makes the handler of internal calls.
pub fn handler(daemon: &Rc<Daemon>) -> Handler {
    let daemon = daemon.clone();
    Rc::new(move |call| {
        let daemon = daemon.clone();
        Box::pin(async move { daemon.handle(call).await })
    })
}

fn ok(message: &impl Serialize) -> Served {
    (200, encode(message))
}

fn refused(code: u16, text: &str) -> Served {
    (code, text.as_bytes().to_vec())
}

impl Daemon {
    async fn handle(self: &Rc<Self>, call: Call) -> Served {
        if &*call.path == HELLO_PATH {
            return refused(
                if self.membership.stopping.get() {
                    503
                } else {
                    200
                },
                "",
            );
        }
        if &*call.path == "/ready" {
            return if self.is_ready() {
                refused(200, "ready\n")
            } else {
                refused(503, "not ready\n")
            };
        }
        if !call.trusted {
            emit(
                Event::PeerRefused,
                &[("path", &call.path), ("why", &"wrong secret")],
            );
            return refused(401, "wrong secret");
        }
        let answer = self.answer(&call).await;
        answer.unwrap_or_else(|| {
            emit(
                Event::PeerRefused,
                &[("path", &call.path), ("why", &"malformed")],
            );
            refused(400, "malformed")
        })
    }

    /// Answers a trusted call; `None` when it is malformed.
    async fn answer(self: &Rc<Self>, call: &Call) -> Option<Served> {
        let body = &call.body;
        Some(match &*call.path {
            "/v1/run" => ok(&self.run_batch(decode(body)?, call.link).await),
            "/v1/group" => {
                let ask: GroupRequest = decode(body)?;
                let none = GroupView {
                    term: 0,
                    leader: "".into(),
                    reports: Vec::new(),
                };
                ok(&self.group_view(&ask.group).unwrap_or(none))
            }
            "/v1/push" => ok(&self.apply_push(decode(body)?)),
            "/v1/digest" => ok(&self.handle_digest(&decode(body)?)),
            "/v1/fetch" => ok(&self.handle_fetch(&decode::<Fetch>(body)?)),
            "/v1/patch" => ok(&self.submit_patch(&decode(body)?).await),
            "/v1/pause" => ok(&self.pause_primary(&decode(body)?).await),
            "/v1/cancel" => {
                self.cancel(&decode(body)?).await;
                ok(&OrderResponse {
                    ok: true,
                    text: "".into(),
                })
            }
            "/v1/cancel-run" => {
                let ask: CancelRun = decode(body)?;
                self.cancels.cancel(ask.id).await;
                ok(&OrderResponse {
                    ok: true,
                    text: "".into(),
                })
            }
            "/v1/stats" => ok(&self.collect_stats()),
            _ => refused(404, "no such call"),
        })
    }

    fn collect_stats(&self) -> Stats {
        let groups = self.groups.borrow();
        let group = |g: &Rc<crate::cluster::GroupState>| {
            let route = g.known_leader.borrow();
            GroupStat {
                group: g.name.clone(),
                term: route.term,
                leader: route.leader.clone(),
                reports: g.peer_reports(),
            }
        };
        let mut list: Vec<GroupStat> = groups.values().map(group).collect();
        list.sort_by(|a, b| a.group.cmp(&b.group));
        Stats {
            name: self.membership.me.clone(),
            data_center: self.membership.data_center.clone(),
            leaving: self.membership.stopping.get(),
            callers: self.sessions.open(),
            versions: self.config_store.versions(),
            windows: self.stats.windows(),
            changes: self.stats.changes(),
            groups: list,
        }
    }

    /// Cancels the running request of a session, here or on the daemon that its key names.
    pub async fn cancel(self: &Rc<Self>, ask: &Cancel) {
        if ask.pid == cancel_pid(&self.membership.me) {
            let running = self.sessions.current(ask.secret);
            emit(
                Event::CancelReceived,
                &[
                    ("running", &running.is_some()),
                    ("id", &running.unwrap_or(0)),
                ],
            );
            if let Some(id) = running {
                self.cancel_run(id).await;
            }
            return;
        }
        let names = self.membership.daemons(None);
        let Some(name) = names.iter().find(|n| cancel_pid(n) == ask.pid) else {
            return;
        };
        if let Some(addr) = self.membership.daemon(name) {
            let _: Result<OrderResponse, _> =
                self.peers.call(addr, "/v1/cancel", ask, CANCEL_MS).await;
        }
    }

    /// Cancels a request wherever it runs now.
    pub async fn cancel_run(self: &Rc<Self>, id: u64) {
        let Some(owner) = self.cancels.owner(id).filter(|h| *h != self.membership.me) else {
            self.cancels.cancel(id).await;
            return;
        };
        let ask = CancelRun { id };
        if let Some(addr) = self.membership.daemon(&owner) {
            let _: Result<OrderResponse, _> = self
                .peers
                .call(addr, "/v1/cancel-run", &ask, CANCEL_MS)
                .await;
        }
    }
}
