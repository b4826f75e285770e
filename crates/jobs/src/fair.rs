//! Shares of organisations: which of an organisation's jobs are within its weight.
//!
//! Load pattern: one organisation sends several times its weight for some seconds while the others send
//! what they always do, and the pool is short of capacity. Jobs beyond the weight wait behind those of
//! the others, so that they only get what is left. While capacity is not short, nothing waits, and
//! unused shares go to whoever needs them.

use indexmap::IndexMap;

/// Time by which an organisation's jobs may be ahead of its weight, in milliseconds. Jobs that arrive
/// at random exceed their rate over shorter times; a longer time would give a sudden rise of one
/// organisation the capacity of the others for as long.
const BURST_MS: u64 = 1_500;

/// Weights of organisations, and how far their accepted jobs are ahead of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shares {
    organisations: IndexMap<String, Share>,
}

/// Share of one organisation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Share {
    /// Jobs within the weight, in thousandths of a job a second.
    weight: u64,
    /// Time by which the weight allows all jobs counted so far, in thousandths of a millisecond.
    used_until: u64,
}

impl Shares {
    /// Sets the weights of all organisations, in thousandths of a job a second; what they have used is
    /// kept.
    pub fn configure<'a>(&mut self, weights: impl Iterator<Item = (&'a str, u64)>) {
        let former = std::mem::take(&mut self.organisations);
        for (name, weight) in weights {
            let used_until = former.get(name).map_or(0, |share| share.used_until);
            self.organisations.insert(name.to_owned(), Share { weight, used_until });
        }
    }

    /// Counts a job that was first requested at a time in milliseconds, and returns whether it is
    /// beyond the weight of its organisation.
    ///
    /// Jobs beyond the weight use nothing of it. An organisation that is not known, or has no weight,
    /// has no share to exceed.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut shares = jobs::fair::Shares::default();
    /// shares.configure([("a", 2_000)].into_iter());
    /// // Two jobs a second, up to 1.5 s ahead.
    /// let beyond: Vec<bool> = (0..6).map(|_| shares.count("a", 10_000)).collect();
    /// assert_eq!(beyond, [false, false, false, false, true, true]);
    /// assert!(!shares.count("a", 10_500));
    /// assert!(!shares.count("b", 10_000));
    /// ```
    pub fn count(&mut self, organisation: &str, at: u64) -> bool {
        let Some(share) = self.organisations.get_mut(organisation) else { return false };
        if share.weight == 0 {
            return false;
        }
        let used_until = share.used_until.max(at * 1_000);
        if share.is_used_up(at) {
            return true;
        }
        share.used_until = used_until + 1_000_000_000 / share.weight;
        false
    }

    /// Organisations whose next job at a time in milliseconds would be beyond their weight.
    pub fn used_up(&self, at: u64) -> impl Iterator<Item = &str> {
        let organisations = self.organisations.iter();
        organisations.filter(move |(_, share)| share.is_used_up(at)).map(|(name, _)| name.as_str())
    }
}

impl Share {
    fn is_used_up(&self, at: u64) -> bool {
        self.weight > 0 && self.used_until > (at + BURST_MS) * 1_000
    }
}
