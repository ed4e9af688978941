//! Trend analysis of a soak test: whether a metric stays flat under a load that repeats the same pattern.

/// Samples of one metric.
#[derive(Clone, Debug, Default)]
pub struct TimeSeries {
    pub name: String,
    /// Hours since the start, and the value.
    pub points: Vec<(f64, f64)>,
}

/// The trend of a metric after the warm-up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    pub mean: f64,
    /// Change per hour.
    pub per_hour: f64,
    /// Two standard errors of `per_hour`.
    pub noise: f64,
}

impl Slope {
    /// Whether the metric rises by at most 1 % of its mean, its noise or `grain` per hour, whichever is
    /// largest.
    pub fn is_flat(&self, grain: f64) -> bool {
        self.per_hour <= (0.01 * self.mean).max(self.noise).max(grain)
    }
}

impl TimeSeries {
    /// Returns the slope over whole load cycles of `period` hours, without the first quarter of them, which
    /// is the warm-up. Each sample is compared with the mean at the same position of the cycle, so that the
    /// pattern itself does not count as a slope. None with fewer than two cycles to compare.
    pub fn slope(&self, period: f64) -> Option<Slope> {
        const PARTS: usize = 16;
        let last = self.points.last()?.0;
        let cycles = ((last + period * 0.02) / period).floor() as usize;
        let warm = cycles.div_ceil(4);
        if cycles < warm + 2 {
            return None;
        }
        // Uses the mean of each part of each cycle, since adjacent samples are not independent.
        let mut parts = vec![vec![(0.0, 0.0, 0u32); cycles]; PARTS];
        for (at, value) in &self.points {
            let cycle = (at / period) as usize;
            let part = ((at / period).fract() * PARTS as f64) as usize;
            if (warm..cycles).contains(&cycle) {
                let of = &mut parts[part.min(PARTS - 1)][cycle];
                *of = (of.0 + at, of.1 + value, of.2 + 1);
            }
        }
        let (mut all, mut sum) = (Vec::new(), 0.0);
        for part in &parts {
            let of: Vec<(f64, f64)> = part[warm..]
                .iter()
                .filter(|(_, _, n)| *n > 0)
                .map(|(at, value, n)| (at / f64::from(*n), value / f64::from(*n)))
                .collect();
            let n = of.len() as f64;
            if of.len() < 2 {
                continue;
            }
            let (at, value) = of.iter().fold((0.0, 0.0), |(a, v), p| (a + p.0 / n, v + p.1 / n));
            sum += value;
            all.extend(of.into_iter().map(|p| (p.0 - at, p.1 - value)));
        }
        let groups = all.len() as f64 / (cycles - warm) as f64;
        let (xx, xy) = all.iter().fold((0.0, 0.0), |(xx, xy), (x, y)| (xx + x * x, xy + x * y));
        let per_hour = if xx > 0.0 { xy / xx } else { 0.0 };
        let residual: f64 = all.iter().map(|(x, y)| (y - per_hour * x).powi(2)).sum();
        let degrees_of_freedom = (all.len() as f64 - groups - 1.0).max(1.0);
        let noise = if xx > 0.0 { 2.0 * (residual / degrees_of_freedom / xx).sqrt() } else { 0.0 };
        Some(Slope { mean: sum / groups.max(1.0), per_hour, noise })
    }
}

#[cfg(test)]
#[path = "trend_test.rs"]
mod tests;
