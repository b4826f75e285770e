//! Forecast of the next peaks of the pools, from the work that arrives at them.
//!
//! Load pattern: the demand of the queues peaks in turn, each peak a fixed time after the one before,
//! and in the same order of the pools. A machine that moves once a peak shows arrives when half of it
//! is over. Peaks may be missing or larger than usual, and bursts may come beside them. Neither the
//! number of pools nor the time between peaks is known in advance. Without a clear pattern there is no
//! forecast.

use std::collections::VecDeque;

use indexmap::IndexMap;

/// Rate above which a pool has a peak, in percent of its usual rate in a peak.
const ONSET_PERCENT: u64 = 40;
/// Starts of peaks that are kept; several cycles of a dozen pools.
const MAX_ONSETS: usize = 48;
/// Most recent starts of peaks that decide on the spacing.
const RECENT_ONSETS: usize = 6;
/// Fewest starts of peaks with an equal spacing; two spacings can agree, one can't.
const MIN_ONSETS: usize = 3;
/// Part of the recent starts that has to agree with the spacing, in percent.
const MIN_AGREEING_PERCENT: usize = 66;
/// Part of the expected peaks that has to have come, in percent.
const MIN_FILLED_PERCENT: usize = 60;
/// Deviation from the spacing up to which a start agrees with it, in percent of the spacing.
const TOLERANCE_PERCENT: u64 = 15;
/// Longest such deviation, in milliseconds; the estimated rate lags by up to half a second.
const MAX_TOLERANCE_MS: u64 = 700;
/// Shortest spacing that is recognised, in milliseconds; a move takes longer.
const MIN_SPACING_MS: u64 = 1_000;
/// Time after which an expected peak that has not begun is dropped, in milliseconds.
const GRACE_MS: u64 = 1_300;
/// Peaks in a row that may be missing before the pattern counts as ended.
const MAX_MISSING: u64 = 2;
/// Bound of the hits less the misses that are remembered.
const MAX_TRUST: i32 = 3;
/// Hits that a miss outweighs: machines that are missing at a peak cost more than idle ones.
const MISS_WEIGHT: i32 = 2;
/// Rate in a peak, in percent of the pool's usual rate beside its peaks; bursts stay below it.
const MIN_RISE_PERCENT: u64 = 300;

/// A peak that is expected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExpectedPeak {
    /// Pool that the peak comes to.
    pub pool: String,
    /// Time at which its start should show in the pool's arrival rate, in milliseconds.
    pub starts_at: u64,
    /// Rate at which work should arrive, in thousandths of a core.
    pub rate: u64,
}

/// Start of a peak that was observed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Onset {
    pool: String,
    at: u64,
}

/// What is known of a pool.
#[derive(Debug, Clone, Default)]
struct PoolHistory {
    observed_at: Option<u64>,
    /// Usual rate beside its peaks, in thousandths of a core.
    quiet_rate: u64,
    /// Usual rate in its peaks, in thousandths of a core; 0 before its first peak has ended.
    peak_rate: u64,
    /// Start and observed rates of the peak in progress.
    peak: Option<(u64, Vec<u64>)>,
}

/// Equal spacing of the observed peaks.
#[derive(Debug, Clone, PartialEq)]
struct Pattern {
    /// Time of the peak with number 0 and time between two peaks, in milliseconds.
    origin: f64,
    spacing: f64,
    /// Pools of the observed peaks, by number.
    pools: IndexMap<i64, String>,
    /// Number of the last observed peak.
    last: i64,
}

/// Recognises peaks that come in turn, and forecasts the next ones.
///
/// # Examples
///
/// ```
/// use jobs::forecast::Forecaster;
/// let mut forecaster = Forecaster::default();
/// // Three pools peak in turn for 4 s each.
/// for at in (0..20_000).step_by(200) {
///     for (n, pool) in ["a", "b", "c"].into_iter().enumerate() {
///         let rate = if at / 4_000 % 3 == n as u64 { 900_000 } else { 10_000 };
///         forecaster.observe(pool, at, rate, 200_000);
///     }
/// }
/// let next = &forecaster.upcoming(19_800)[0];
/// assert_eq!((next.pool.as_str(), next.starts_at, next.rate), ("c", 20_000, 900_000));
/// ```
#[derive(Debug, Clone, Default)]
pub struct Forecaster {
    pools: IndexMap<String, PoolHistory>,
    onsets: VecDeque<Onset>,
    /// The expected peak that is awaited, to compare it with what comes.
    awaited: Option<ExpectedPeak>,
    /// Expected peaks that came less those that did not, which count [`MISS_WEIGHT`] times.
    trust: i32,
    /// Numbers of expected peaks that came and that did not, since they were last taken.
    outcomes: (u64, u64),
}

impl Forecaster {
    /// Takes in the rate at which work arrived at a pool at a time, in thousandths of a core.
    ///
    /// `floor` is the least rate that counts as a peak. An observation that is not newer than the
    /// last one of the pool changes nothing.
    pub fn observe(&mut self, pool: &str, at: u64, rate: u64, floor: u64) {
        let history = self.pools.entry(pool.to_owned()).or_default();
        if history.observed_at.is_some_and(|last| at <= last) {
            return;
        }
        history.observed_at = Some(at);
        let onset_rate = floor
            .max(history.peak_rate * ONSET_PERCENT / 100)
            .max(history.quiet_rate * MIN_RISE_PERCENT / 100);
        match &mut history.peak {
            None if rate >= onset_rate => {
                history.peak = Some((at, vec![rate]));
                let index = self.onsets.partition_point(|onset| onset.at <= at);
                self.onsets.insert(index, Onset { pool: pool.to_owned(), at });
                if self.onsets.len() > MAX_ONSETS {
                    self.onsets.pop_front();
                }
            }
            None => history.quiet_rate = (history.quiet_rate * 7 + rate) / 8,
            Some((_, rates)) if rate >= onset_rate / 2 => rates.push(rate),
            Some((_, rates)) => {
                // The first rates include an extrapolated rise, and the last ones the fall.
                rates.sort_unstable();
                let median = rates[rates.len() / 2];
                let known = history.peak_rate;
                history.peak_rate = if known == 0 { median } else { (known + median) / 2 };
                history.peak = None;
            }
        }
    }

    /// Start of the peak that a pool has now, in milliseconds.
    pub fn peak_since(&self, pool: &str) -> Option<u64> {
        self.pools.get(pool)?.peak.as_ref().map(|(since, _)| *since)
    }

    /// Next peaks in order of time, at most one for each pool; empty while no pattern is certain.
    pub fn upcoming(&mut self, now: u64) -> Vec<ExpectedPeak> {
        self.settle_awaited(now);
        let expected = self.expected_peaks(now);
        if self.awaited.is_none() {
            self.awaited = expected.first().cloned();
        }
        // After misses, further peaks have to come as expected before they are forecast again.
        if self.trust < 0 { Vec::new() } else { expected }
    }

    /// Returns how many expected peaks came and how many did not since the last call.
    ///
    /// Those that were not forecast for lack of certainty are included.
    pub fn take_outcomes(&mut self) -> (u64, u64) {
        std::mem::take(&mut self.outcomes)
    }

    /// Compares the awaited peak with those that came.
    fn settle_awaited(&mut self, now: u64) {
        let Some(awaited) = &self.awaited else { return };
        let earliest = awaited.starts_at.saturating_sub(GRACE_MS);
        let came = self.onsets.iter().rev().any(|onset| {
            onset.pool == awaited.pool
                && (earliest..awaited.starts_at + GRACE_MS).contains(&onset.at)
        });
        if came {
            self.trust = (self.trust + 1).min(MAX_TRUST);
            self.outcomes.0 += 1;
            self.awaited = None;
        } else if now >= awaited.starts_at + GRACE_MS {
            self.trust = (self.trust - MISS_WEIGHT).max(-MAX_TRUST);
            self.outcomes.1 += 1;
            self.awaited = None;
        }
    }

    fn expected_peaks(&self, now: u64) -> Vec<ExpectedPeak> {
        let Some(pattern) = self.pattern(now) else { return Vec::new() };
        let Some(order) = pattern.order(self.pools.len()) else { return Vec::new() };
        let heights = self.pools.values().map(|pool| pool.peak_rate).filter(|rate| *rate > 0);
        let Some(least_height) = heights.min() else { return Vec::new() };
        let mut expected: Vec<ExpectedPeak> = Vec::new();
        for number in pattern.last + 1..=pattern.last + order + to_signed(MAX_MISSING) {
            let starts_at = to_time(pattern.origin + pattern.spacing * number as f64);
            if now >= starts_at + GRACE_MS {
                continue;
            }
            let Some(pool) = pattern.pool(number, order).or_else(|| self.only_unseen(&pattern))
            else {
                break;
            };
            if expected.iter().any(|peak| peak.pool == *pool) {
                break;
            }
            let height = self.pools.get(pool).map_or(0, |history| history.peak_rate);
            let rate = if height > 0 { height } else { least_height };
            expected.push(ExpectedPeak { pool: pool.to_owned(), starts_at, rate });
        }
        expected
    }

    /// The pool without a peak in the pattern, if there is just one.
    fn only_unseen(&self, pattern: &Pattern) -> Option<&str> {
        let mut unseen =
            self.pools.keys().filter(|pool| !pattern.pools.values().any(|seen| seen == *pool));
        let pool = unseen.next()?;
        unseen.next().is_none().then_some(pool.as_str())
    }

    /// The spacing with which most of the recent peaks agree, if it is clear.
    fn pattern(&self, now: u64) -> Option<Pattern> {
        let first = self.onsets.len().saturating_sub(RECENT_ONSETS);
        let recent: Vec<&Onset> = self.onsets.range(first..).collect();
        let mut best: Option<(usize, u64, Pattern)> = None;
        for (i, anchor) in recent.iter().enumerate() {
            for other in &recent[i + 1..] {
                let spacing = other.at - anchor.at;
                if spacing < MIN_SPACING_MS {
                    continue;
                }
                let Some((agreeing, error, pattern)) = self.fit(anchor.at, spacing, &recent) else {
                    continue;
                };
                let better = best.as_ref().is_none_or(|(count, least, _)| {
                    agreeing > *count || (agreeing == *count && error < *least)
                });
                if better {
                    best = Some((agreeing, error, pattern));
                }
            }
        }
        let pattern = best?.2;
        let last_at = pattern.origin + pattern.spacing * pattern.last as f64;
        let ends_at = to_time(last_at + pattern.spacing * (MAX_MISSING + 1) as f64);
        (now < ends_at + GRACE_MS).then_some(pattern)
    }

    /// Fits a spacing to the observed peaks.
    ///
    /// Returns the number of recent ones that agree, their mean deviation and the pattern; `None` if
    /// too few agree.
    fn fit(&self, anchor: u64, spacing: u64, recent: &[&Onset]) -> Option<(usize, u64, Pattern)> {
        let tolerance = (spacing * TOLERANCE_PERCENT / 100).min(MAX_TOLERANCE_MS) as f64;
        let mut pattern = Pattern {
            origin: anchor as f64,
            spacing: spacing as f64,
            pools: IndexMap::new(),
            last: 0,
        };
        let agreeing = pattern.agreeing(recent, tolerance);
        let (first, last) = (agreeing.first()?.0, agreeing.last()?.0);
        let since_first = recent.iter().filter(|onset| onset.at >= agreeing[0].1.at).count();
        let slots = usize::try_from(last - first + 1).ok()?;
        // Two of three intervals between random peaks are often alike.
        let stray_starts = agreeing.len() == MIN_ONSETS && since_first > MIN_ONSETS;
        if agreeing.len() < MIN_ONSETS
            || stray_starts
            || agreeing.len() * 100 < since_first * MIN_AGREEING_PERCENT
            || agreeing.len() * 100 < slots * MIN_FILLED_PERCENT
        {
            return None;
        }
        let deviation =
            |(number, onset): &(i64, &Onset)| (pattern.time(*number) - onset.at as f64).abs();
        let error = agreeing.iter().map(deviation).sum::<f64>() / agreeing.len() as f64;
        pattern.refine(&agreeing);
        let all: Vec<&Onset> = self.onsets.iter().collect();
        pattern.pools = pattern
            .agreeing(&all, tolerance)
            .into_iter()
            .map(|(number, onset)| (number, onset.pool.clone()))
            .collect();
        pattern.last = last;
        Some((agreeing.len(), to_time(error), pattern))
    }
}

impl Pattern {
    fn time(&self, number: i64) -> f64 {
        self.origin + self.spacing * number as f64
    }

    /// Numbers of the starts that agree with the spacing, in order; the first one of each number.
    fn agreeing<'a>(&self, onsets: &[&'a Onset], tolerance: f64) -> Vec<(i64, &'a Onset)> {
        let mut agreeing: Vec<(i64, &Onset)> = Vec::new();
        for onset in onsets {
            let number = to_number((onset.at as f64 - self.origin) / self.spacing);
            let agrees = (onset.at as f64 - self.time(number)).abs() <= tolerance;
            if agrees && agreeing.last().is_none_or(|(last, _)| number > *last) {
                agreeing.push((number, onset));
            }
        }
        agreeing
    }

    /// Sets origin and spacing to the line with the least squares of the deviations.
    fn refine(&mut self, agreeing: &[(i64, &Onset)]) {
        let count = agreeing.len() as f64;
        let mean_number = agreeing.iter().map(|(n, _)| *n as f64).sum::<f64>() / count;
        let mean_at = agreeing.iter().map(|(_, onset)| onset.at as f64).sum::<f64>() / count;
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (number, onset) in agreeing {
            let distance = *number as f64 - mean_number;
            covariance += distance * (onset.at as f64 - mean_at);
            variance += distance * distance;
        }
        if variance > 0.0 {
            self.spacing = covariance / variance;
            self.origin = mean_at - self.spacing * mean_number;
        }
    }

    /// Number of peaks after which the pools repeat; `None` if unclear.
    ///
    /// `pools` is the number of all pools. Before the first repetition, all pools but one must have
    /// had one peak each.
    fn order(&self, pools: usize) -> Option<i64> {
        let repeats = (1..=to_signed(pools as u64)).filter_map(|order| {
            let pairs = self
                .pools
                .iter()
                .filter_map(|(number, pool)| Some((pool, self.pools.get(&(number + order))?)));
            let (mut equal, mut count) = (0, 0);
            for (earlier, later) in pairs {
                count += 1;
                equal += usize::from(earlier == later);
            }
            // A burst may take the place of a peak.
            (equal * 4 >= count * 3 && equal > 0).then_some((equal, order))
        });
        if let Some((_, order)) = repeats.max_by_key(|(equal, order)| (*equal, -order)) {
            return Some(order);
        }
        let mut seen: Vec<&String> = self.pools.values().collect();
        seen.sort();
        seen.dedup();
        let distinct = seen.len() == self.pools.len();
        let count = to_signed(pools as u64);
        let (first, last) = (self.pools.keys().min()?, self.pools.keys().max()?);
        let gapless = last - first + 1 == to_signed(seen.len() as u64);
        (distinct && gapless && seen.len() >= MIN_ONSETS && seen.len() + 1 >= pools)
            .then_some(count)
    }

    /// Pool of a peak, from the last cycle in which it came.
    fn pool(&self, number: i64, order: i64) -> Option<&str> {
        let first = *self.pools.keys().min()?;
        let mut earlier = number - order;
        while earlier >= first {
            if let Some(pool) = self.pools.get(&earlier) {
                return Some(pool);
            }
            earlier -= order;
        }
        None
    }
}

fn to_signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are positive milliseconds far below 2^53"
)]
fn to_time(at: f64) -> u64 {
    at.round().max(0.0) as u64
}

#[expect(clippy::cast_possible_truncation, reason = "numbers of peaks are small")]
fn to_number(ratio: f64) -> i64 {
    ratio.round() as i64
}
