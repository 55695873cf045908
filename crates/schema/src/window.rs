//! Merging of counts.

use crate::{Hist, Window};

impl Hist {
    /// Adds another histogram.
    pub fn merge(&mut self, other: &Hist) {
        for bucket in &other.counts {
            match self
                .counts
                .binary_search_by_key(&bucket.upto_us, |b| b.upto_us)
            {
                Ok(at) => self.counts[at].count += bucket.count,
                Err(at) => self.counts.insert(at, *bucket),
            }
        }
    }

    /// Values recorded.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|b| b.count).sum()
    }

    /// Values up to a bound, in µs.
    pub fn upto(&self, bound_us: u64) -> u64 {
        self.counts
            .iter()
            .filter(|b| b.upto_us <= bound_us)
            .map(|b| b.count)
            .sum()
    }

    /// The value below which `percent` of all values lie, in µs.
    pub fn quantile(&self, percent: f64) -> u64 {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let wanted = (self.total() as f64 * percent / 100.0).ceil() as u64;
        let mut seen = 0;
        for bucket in &self.counts {
            seen += bucket.count;
            if seen >= wanted {
                return bucket.upto_us;
            }
        }
        0
    }
}

impl Window {
    /// Adds the counts of another span; age and length stay.
    pub fn merge(&mut self, other: &Window) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.hist.merge(&other.hist);
        self.ages.merge(&other.ages);
        for served in &other.reads {
            let same = self
                .reads
                .iter_mut()
                .find(|r| r.rule == served.rule && r.place == served.place);
            match same {
                Some(row) => row.count += served.count,
                None => self.reads.push(served.clone()),
            }
        }
    }
}
