//! Time as a line over the size of the work, learned from what was seen.

/// Part of the earlier observations that a new one leaves: about the last seventy
/// count, which daemons see within some seconds of load.
const KEPT_SHARE: f64 = 0.985;
/// Weight of each of the two points that stand for the line known beforehand.
const PRIOR_WEIGHT: f64 = 1.0;
/// Size of the farther of these points, in tokens: a prompt of middling length.
const PRIOR_TOKENS: f64 = 8_000.0;
/// Observations farther from the line than so many mean distances are taken as far.
const OUTLIER_SPREADS: f64 = 4.0;
/// Weight of the newest distance in the mean distance.
const SPREAD_WEIGHT: f64 = 0.05;
/// Shortest times of a line: no engine reads a million tokens in ten milliseconds.
const LEAST_TOKEN_MS: f64 = 1e-5;
const LEAST_FIXED_MS: f64 = 0.5;

/// Time of work: a fixed part and one that grows with its tokens, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearLatency {
    /// Beside the tokens.
    pub fixed_ms: f64,
    /// Per token.
    pub token_ms: f64,
}

impl LinearLatency {
    /// Returns the time of work on `tokens`.
    #[must_use]
    pub fn at(&self, tokens: f64) -> f64 {
        self.fixed_ms + tokens * self.token_ms
    }
}

/// A line fitted to observations by least squares.
///
/// Old observations fade, so that it follows engines that turn slow; single ones far
/// off, as after a pause of the whole instance, are cut to the usual distance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyFit {
    prior: LinearLatency,
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    spread: f64,
    line: LinearLatency,
}

impl LatencyFit {
    /// Starts from what is known beforehand.
    #[must_use]
    pub fn new(prior: LinearLatency) -> Self {
        Self {
            prior,
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
            spread: prior.at(PRIOR_TOKENS),
            line: prior,
        }
    }

    /// Returns the line as known now.
    #[must_use]
    pub fn line(&self) -> LinearLatency {
        self.line
    }

    /// Takes the time that work on `tokens` took.
    pub fn note(&mut self, tokens: f64, taken_ms: f64) {
        let expected = self.line.at(tokens);
        let reach = OUTLIER_SPREADS * self.spread;
        let taken = taken_ms.clamp(expected - reach, expected + reach);
        self.spread += SPREAD_WEIGHT * ((taken_ms - expected).abs() - self.spread);
        for sum in [
            &mut self.weight,
            &mut self.sum_x,
            &mut self.sum_y,
            &mut self.sum_xx,
            &mut self.sum_xy,
        ] {
            *sum *= KEPT_SHARE;
        }
        self.weight += 1.0;
        self.sum_x += tokens;
        self.sum_y += taken;
        self.sum_xx += tokens * tokens;
        self.sum_xy += tokens * taken;
        self.line = self.fitted();
    }

    fn fitted(&self) -> LinearLatency {
        let (near, far) = (self.prior.fixed_ms, self.prior.at(PRIOR_TOKENS));
        let weight = self.weight + 2.0 * PRIOR_WEIGHT;
        let sum_x = self.sum_x + PRIOR_WEIGHT * PRIOR_TOKENS;
        let sum_y = self.sum_y + PRIOR_WEIGHT * (near + far);
        let sum_xx = self.sum_xx + PRIOR_WEIGHT * PRIOR_TOKENS * PRIOR_TOKENS;
        let sum_xy = self.sum_xy + PRIOR_WEIGHT * PRIOR_TOKENS * far;
        // Two points at different sizes keep this above zero.
        let spread = weight * sum_xx - sum_x * sum_x;
        let slope = (weight * sum_xy - sum_x * sum_y) / spread;
        let token_ms = slope.max(LEAST_TOKEN_MS);
        let fixed_ms = (sum_y - token_ms * sum_x) / weight;
        if fixed_ms >= LEAST_FIXED_MS {
            return LinearLatency { fixed_ms, token_ms };
        }
        // The best line through the least fixed time.
        let token_ms = (sum_xy - LEAST_FIXED_MS * sum_x) / sum_xx;
        LinearLatency {
            fixed_ms: LEAST_FIXED_MS,
            token_ms: token_ms.max(LEAST_TOKEN_MS),
        }
    }
}
