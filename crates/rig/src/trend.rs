//! What a soak's samples say: whether a figure stays flat while its load comes and goes in the same pattern.

/// One figure over time.
#[derive(Clone, Debug, Default)]
pub struct TimeSeries {
    pub name: String,
    /// Hours since the start, and the figure.
    pub points: Vec<(f64, f64)>,
}

/// What became of a figure once it was warm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slope {
    pub mean: f64,
    /// Per hour, and what of it is noise: two standard errors.
    pub per_hour: f64,
    pub noise: f64,
}

impl Slope {
    /// Under 1 % of its mean an hour, or not to be told from its noise, or under `grain` an hour.
    pub fn is_flat(&self, grain: f64) -> bool {
        self.per_hour <= (0.01 * self.mean).max(self.noise).max(grain)
    }
}

impl TimeSeries {
    /// The slope over whole mornings of `period` hours, the first quarter of them left out as warm-up. Each point is
    /// held against the mean of its own place in the morning, so that the pattern itself is no slope. None with fewer
    /// than two mornings to compare.
    pub fn slope(&self, period: f64) -> Option<Slope> {
        const PARTS: usize = 16;
        let last = self.points.last()?.0;
        let mornings = ((last + period * 0.02) / period).floor() as usize;
        let warm = mornings.div_ceil(4);
        if mornings < warm + 2 {
            return None;
        }
        // Means of each part of each morning: neighbours in time are no independent samples.
        let mut parts = vec![vec![(0.0, 0.0, 0u32); mornings]; PARTS];
        for (at, value) in &self.points {
            let morning = (at / period) as usize;
            let part = ((at / period).fract() * PARTS as f64) as usize;
            if (warm..mornings).contains(&morning) {
                let of = &mut parts[part.min(PARTS - 1)][morning];
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
        let groups = all.len() as f64 / (mornings - warm) as f64;
        let (xx, xy) = all.iter().fold((0.0, 0.0), |(xx, xy), (x, y)| (xx + x * x, xy + x * y));
        let per_hour = if xx > 0.0 { xy / xx } else { 0.0 };
        let left: f64 = all.iter().map(|(x, y)| (y - per_hour * x).powi(2)).sum();
        let freedom = (all.len() as f64 - groups - 1.0).max(1.0);
        let noise = if xx > 0.0 { 2.0 * (left / freedom / xx).sqrt() } else { 0.0 };
        Some(Slope { mean: sum / groups.max(1.0), per_hour, noise })
    }
}

#[cfg(test)]
#[path = "trend_test.rs"]
mod tests;
