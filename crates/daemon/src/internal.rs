//! Handler of the calls of other daemons, operators and load balancers on the internal address.

use std::rc::Rc;

use base::{Event, emit};
use peer::{Call, HELLO_PATH, Handler, StatusAndBody, decode, encode};
use schema::{Cancel, CancelRun, Fetch, GroupRequest, GroupStat, GroupView, OrderResponse, Stats};
use serde::Serialize;

use crate::frontend::cancel_pid;
use crate::state::Daemon;

/// Timeout for forwarding a cancel request, in ms.
const CANCEL_TIMEOUT_MS: u64 = 500;

/// Creates the handler of internal calls.
pub fn handler(daemon: &Rc<Daemon>) -> Handler {
    let daemon = daemon.clone();
    Rc::new(move |call| {
        let daemon = daemon.clone();
        Box::pin(async move { daemon.handle(call).await })
    })
}

fn encoded_reply(message: &impl Serialize) -> StatusAndBody {
    (200, encode(message))
}

fn text_reply(code: u16, text: &str) -> StatusAndBody {
    (code, text.as_bytes().to_vec())
}

impl Daemon {
    async fn handle(self: &Rc<Self>, call: Call) -> StatusAndBody {
        if &*call.path == HELLO_PATH {
            return text_reply(
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
                text_reply(200, "ready\n")
            } else {
                text_reply(503, "not ready\n")
            };
        }
        if !call.trusted {
            emit(
                Event::PeerRefused,
                &[("path", &call.path), ("why", &"wrong secret")],
            );
            return text_reply(401, "wrong secret");
        }
        let answer = self.answer(&call).await;
        answer.unwrap_or_else(|| {
            emit(
                Event::PeerRefused,
                &[("path", &call.path), ("why", &"malformed")],
            );
            text_reply(400, "malformed")
        })
    }

    /// Handles a call that carried the fleet's secret; `None` if its body is malformed.
    async fn answer(self: &Rc<Self>, call: &Call) -> Option<StatusAndBody> {
        let body = &call.body;
        Some(match &*call.path {
            "/v1/run" => encoded_reply(&self.run_batch(decode(body)?, call.conn_id).await),
            "/v1/group" => {
                let request: GroupRequest = decode(body)?;
                let unknown_group = GroupView {
                    term: 0,
                    leader: "".into(),
                    reports: Vec::new(),
                };
                encoded_reply(&self.group_view(&request.group).unwrap_or(unknown_group))
            }
            "/v1/push" => encoded_reply(&self.apply_push(decode(body)?)),
            "/v1/digest" => encoded_reply(&self.handle_digest(&decode(body)?)),
            "/v1/fetch" => encoded_reply(&self.handle_fetch(&decode::<Fetch>(body)?)),
            "/v1/patch" => encoded_reply(&self.submit_patch(&decode(body)?).await),
            "/v1/pause" => encoded_reply(&self.pause_primary(&decode(body)?).await),
            "/v1/cancel" => {
                self.cancel(&decode(body)?).await;
                encoded_reply(&OrderResponse {
                    ok: true,
                    text: "".into(),
                })
            }
            "/v1/cancel-run" => {
                let request: CancelRun = decode(body)?;
                self.cancels.cancel(request.id).await;
                encoded_reply(&OrderResponse {
                    ok: true,
                    text: "".into(),
                })
            }
            "/v1/stats" => encoded_reply(&self.collect_stats()),
            _ => text_reply(404, "no such call"),
        })
    }

    fn collect_stats(&self) -> Stats {
        let groups = self.groups.borrow();
        let to_stat = |g: &Rc<crate::cluster::GroupState>| {
            let known = g.known_primary.borrow();
            GroupStat {
                group: g.name.clone(),
                term: known.term,
                leader: known.name.clone(),
                reports: g.peer_reports(),
            }
        };
        let mut stats: Vec<GroupStat> = groups.values().map(to_stat).collect();
        stats.sort_by(|a, b| a.group.cmp(&b.group));
        Stats {
            name: self.membership.own_name.clone(),
            data_center: self.membership.data_center.clone(),
            leaving: self.membership.stopping.get(),
            callers: self.sessions.open_count(),
            versions: self.config_store.versions(),
            windows: self.stats.windows(),
            changes: self.stats.changes(),
            groups: stats,
        }
    }

    /// Cancels the running request of the session that a cancel key identifies; forwards the
    /// request if another daemon serves the session.
    pub async fn cancel(self: &Rc<Self>, request: &Cancel) {
        if request.pid == cancel_pid(&self.membership.own_name) {
            let request_id = self.sessions.current(request.secret);
            emit(
                Event::CancelReceived,
                &[
                    ("running", &request_id.is_some()),
                    ("id", &request_id.unwrap_or(0)),
                ],
            );
            if let Some(id) = request_id {
                self.cancel_run(id).await;
            }
            return;
        }
        let names = self.membership.live_daemons(None);
        let Some(name) = names.iter().find(|n| cancel_pid(n) == request.pid) else {
            return;
        };
        if let Some(addr) = self.membership.daemon_addr(name) {
            let _: Result<OrderResponse, _> = self
                .peers
                .call(addr, "/v1/cancel", request, CANCEL_TIMEOUT_MS)
                .await;
        }
    }

    /// Cancels a request of a session of this daemon, on the daemon to which the request was sent.
    pub async fn cancel_run(self: &Rc<Self>, id: u64) {
        let Some(owner) = self
            .cancels
            .owner(id)
            .filter(|owner| *owner != self.membership.own_name)
        else {
            self.cancels.cancel(id).await;
            return;
        };
        let request = CancelRun { id };
        if let Some(addr) = self.membership.daemon_addr(&owner) {
            let _: Result<OrderResponse, _> = self
                .peers
                .call(addr, "/v1/cancel-run", &request, CANCEL_TIMEOUT_MS)
                .await;
        }
    }
}
