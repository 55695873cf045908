//! Writes of a client, and rule LOST: an acknowledged commit is not in the log of a member that is promoted.

use world::{Entry, Group};

use crate::client::Client;
use crate::{Case, Verdict};

/// Number of writes at a time.
const WRITES: usize = 20;

/// A write that was acknowledged with the member's signature.
pub struct Acked {
    item: String,
    data: String,
}

impl Acked {
    fn is_in(&self, log: &[Entry]) -> bool {
        let mut writes = log.iter().flat_map(|e| e.writes.iter());
        writes.any(|(item, data)| **item == *self.item && **data == *self.data)
    }
}

/// Writes one item after the other, whose names begin with `prefix`.
///
/// # Errors
/// The verdict if one is not acknowledged.
pub async fn write_all(case: &Case, addr: &str, prefix: &str) -> Result<Vec<Acked>, Verdict> {
    let Some((mut client, line)) = Client::connect(addr, "slot c1").await else {
        return Err(Verdict::NotRun("no session".to_owned()));
    };
    case.record
        .line(&format!("client: CONNECT slot c1 -> {line}"));
    let mut acked = Vec::new();
    for n in 0..WRITES {
        let (id, item) = (format!("{prefix}-w{n:02}"), format!("{prefix}-slot{n}"));
        let data = format!("rig{n}");
        let answer = client
            .query(&id, &format!("WRITE {item} {data}"), 3000)
            .await;
        case.record.line(&format!(
            "client: QUERY {id} WRITE {item} {data} -> {answer:?}"
        ));
        if answer.is_none_or(|lines| lines[0] != format!("COMPLETE {id}.{item}")) {
            return Err(Verdict::NotRun(format!("{id} was not acknowledged")));
        }
        acked.push(Acked { item, data });
    }
    Ok(acked)
}

/// Records where the logs of the members end.
pub fn record_ends(case: &Case, group: &Group) {
    for member in &group.members {
        let end = member.received_pos();
        let id = member.id.borrow();
        case.record
            .line(&format!("log of {id} ends at {}.{}", end.term, end.log));
    }
}

/// Compares the logs of the promoted members with what was acknowledged before any promotion.
pub async fn judge(case: &Case, group: &Group, acked: &[Acked], addr: &str) -> Verdict {
    record_ends(case, group);
    let mut lost = 0;
    let promotions = group.promoted.borrow().len();
    for promoted in group.promoted.borrow().iter() {
        case.record.line(&format!(
            "{} was promoted at {} to lead term {} with {} entries",
            promoted.id,
            promoted.at.0,
            promoted.term,
            promoted.log.len()
        ));
        let missing = acked.iter().filter(|a| !a.is_in(&promoted.log)).count();
        lost = lost.max(missing);
    }
    if let Some((mut client, _)) = Client::connect(addr, "slot c2").await {
        for write in acked.iter().rev().take(3) {
            let text = format!("READ {}", write.item);
            let answer = client
                .query(&format!("r-{}", write.item), &text, 3000)
                .await;
            case.record.line(&format!("client: {text} -> {answer:?}"));
        }
    }
    let is_kept = |a: &&Acked| group.members.iter().any(|m| a.is_in(&m.log.borrow()));
    let (all, kept) = (acked.len(), acked.iter().filter(is_kept).count());
    if lost == 0 {
        return Verdict::Held(format!(
            "no promoted member lacks one of {all} acknowledged commits; {promotions} promotions"
        ));
    }
    Verdict::Broken(format!(
        "LOST: {lost} of {all} acknowledged commits are not in the log of the promoted member; {kept} are in \
         any log now"
    ))
}
