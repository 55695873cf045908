//! Merging of counters and histograms.

use crate::{Hist, Window};

impl Hist {
    /// Adds the counts of another histogram.
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

    /// Returns the number of recorded values.
    pub fn total(&self) -> u64 {
        self.counts.iter().map(|b| b.count).sum()
    }

    /// Returns the number of values in the buckets whose upper bound is at most `bound_us`.
    ///
    /// Values below `bound_us` in a bucket with a higher bound are not counted.
    pub fn count_up_to(&self, bound_us: u64) -> u64 {
        self.counts
            .iter()
            .filter(|b| b.upto_us <= bound_us)
            .map(|b| b.count)
            .sum()
    }

    /// Returns the smallest bucket bound, in µs, that at least `percent` of all values do not
    /// exceed; 0 if there are none.
    pub fn quantile(&self, percent: f64) -> u64 {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let rank = (self.total() as f64 * percent / 100.0).ceil() as u64;
        let mut seen = 0;
        for bucket in &self.counts {
            seen += bucket.count;
            if seen >= rank {
                return bucket.upto_us;
            }
        }
        0
    }
}

impl Window {
    /// Adds the counts of another window; `age_s` and `span_s` do not change.
    pub fn merge(&mut self, other: &Window) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.hist.merge(&other.hist);
        self.ages.merge(&other.ages);
        for served in &other.reads {
            let existing = self
                .reads
                .iter_mut()
                .find(|r| r.rule == served.rule && r.place == served.place);
            match existing {
                Some(row) => row.count += served.count,
                None => self.reads.push(served.clone()),
            }
        }
    }
}
