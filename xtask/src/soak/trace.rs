//! Texts about promotions, with the times that the daemons' logs have.

use std::path::Path;

use base::Ms;
use world::{Promoted, PromotionRequest, World};

/// An instant in milliseconds since 1970, as in log lines.
pub fn unix(at: Ms) -> u64 {
    Ms::unix().saturating_sub(at.elapsed())
}

/// Token, sender and times of an order.
pub fn describe_call(call: &PromotionRequest) -> String {
    let arrived_at = call.arrived_at.get().map(unix);
    let arrived_at = arrived_at.map_or("never".to_owned(), |at| at.to_string());
    format!(
        "token {} of {}, called at {}, arrived at {arrived_at}",
        call.token,
        call.holder,
        unix(call.called_at)
    )
}

/// Who was promoted, by which order, and where the logs ended.
pub fn describe_promotion(promotion: &Promoted) -> String {
    let order = promotion.order.as_deref().map(describe_call);
    let ends = promotion.ends.iter();
    let ends: Vec<String> = ends
        .map(|(id, pos)| format!("{id}={}:{}", pos.term, pos.log))
        .collect();
    format!(
        "promotion of {} to term {} at {}, order: {}, ends: {}",
        promotion.id,
        promotion.term,
        unix(promotion.at),
        order.unwrap_or_else(|| "none".to_owned()),
        ends.join(" ")
    )
}

/// Writes all orders and promotions of a run to a file.
///
/// # Errors
/// The file cannot be written.
pub fn write_trace(world: &World, folder: &Path, seed: u64) -> std::io::Result<()> {
    let mut lines = Vec::new();
    for call in world.order_calls.borrow().iter() {
        let text = describe_call(call);
        let line = format!("{}: order for {}, {text}", call.group, call.member);
        lines.push((call.called_at, line));
    }
    for group in &world.groups {
        for promotion in group.promoted.borrow().iter() {
            let line = format!("{}: {}", group.name, describe_promotion(promotion));
            lines.push((promotion.at, line));
        }
    }
    lines.sort_by_key(|line| line.0);
    let text: String = lines.into_iter().map(|line| line.1 + "\n").collect();
    std::fs::write(folder.join(format!("{seed}-orders.txt")), text)
}
