//! Linear latency model: time as a function of work size, fitted to observations.

/// Factor by which each new observation decays the weight of earlier ones: about the last
/// seventy count, which a daemon makes within some seconds of load.
const DECAY_FACTOR: f64 = 0.985;
/// Weight of each of the two points that represent the prior.
const PRIOR_WEIGHT: f64 = 1.0;
/// Size of the larger of these points: a prompt of medium length.
const PRIOR_TOKENS: f64 = 8_000.0;
/// Observations that deviate by more than this many mean deviations are clamped.
const OUTLIER_DEVIATIONS: f64 = 4.0;
/// Weight of the newest deviation in the moving mean of the deviation.
const DEVIATION_WEIGHT: f64 = 0.05;
/// Lower bounds of the fitted times: no engine prefills a million tokens in 10 ms.
const MIN_TOKEN_MS: f64 = 1e-5;
const MIN_FIXED_MS: f64 = 0.5;

/// Latency of work: a fixed time plus a time per token, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinearLatency {
    /// Time independent of the number of tokens.
    pub fixed_ms: f64,
    /// Time per token.
    pub token_ms: f64,
}

impl LinearLatency {
    /// Returns the time of work on `tokens`.
    #[must_use]
    pub fn at(&self, tokens: f64) -> f64 {
        self.fixed_ms + tokens * self.token_ms
    }
}

/// Linear latency fitted to observations by least squares.
///
/// The weight of old observations decays, so that the fit follows engines that become
/// slow. Outliers, such as after a pause of the whole instance, are clamped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencyFit {
    prior: LinearLatency,
    weight: f64,
    sum_x: f64,
    sum_y: f64,
    sum_xx: f64,
    sum_xy: f64,
    mean_deviation: f64,
    latency: LinearLatency,
}

impl LatencyFit {
    /// Creates a fit without observations, which returns `prior`.
    #[must_use]
    pub fn new(prior: LinearLatency) -> Self {
        Self {
            prior,
            weight: 0.0,
            sum_x: 0.0,
            sum_y: 0.0,
            sum_xx: 0.0,
            sum_xy: 0.0,
            mean_deviation: prior.at(PRIOR_TOKENS),
            latency: prior,
        }
    }

    /// Returns the current estimate.
    #[must_use]
    pub fn latency(&self) -> LinearLatency {
        self.latency
    }

    /// Returns the share of the estimate that observations account for, the prior the rest.
    #[must_use]
    pub fn observed_share(&self) -> f64 {
        self.weight / (self.weight + 2.0 * PRIOR_WEIGHT)
    }

    /// Records the time that work on `tokens` took.
    pub fn note(&mut self, tokens: f64, taken_ms: f64) {
        let expected = self.latency.at(tokens);
        let max_deviation = OUTLIER_DEVIATIONS * self.mean_deviation;
        let taken = taken_ms.clamp(expected - max_deviation, expected + max_deviation);
        self.mean_deviation +=
            DEVIATION_WEIGHT * ((taken_ms - expected).abs() - self.mean_deviation);
        for sum in [
            &mut self.weight,
            &mut self.sum_x,
            &mut self.sum_y,
            &mut self.sum_xx,
            &mut self.sum_xy,
        ] {
            *sum *= DECAY_FACTOR;
        }
        self.weight += 1.0;
        self.sum_x += tokens;
        self.sum_y += taken;
        self.sum_xx += tokens * tokens;
        self.sum_xy += tokens * taken;
        self.latency = self.fitted();
    }

    fn fitted(&self) -> LinearLatency {
        let (near, far) = (self.prior.fixed_ms, self.prior.at(PRIOR_TOKENS));
        let weight = self.weight + 2.0 * PRIOR_WEIGHT;
        let sum_x = self.sum_x + PRIOR_WEIGHT * PRIOR_TOKENS;
        let sum_y = self.sum_y + PRIOR_WEIGHT * (near + far);
        let sum_xx = self.sum_xx + PRIOR_WEIGHT * PRIOR_TOKENS * PRIOR_TOKENS;
        let sum_xy = self.sum_xy + PRIOR_WEIGHT * PRIOR_TOKENS * far;
        // Positive, because the prior has points at two different sizes.
        let determinant = weight * sum_xx - sum_x * sum_x;
        let slope = (weight * sum_xy - sum_x * sum_y) / determinant;
        let token_ms = slope.max(MIN_TOKEN_MS);
        let fixed_ms = (sum_y - token_ms * sum_x) / weight;
        if fixed_ms >= MIN_FIXED_MS {
            return LinearLatency { fixed_ms, token_ms };
        }
        // Best fit with the fixed time at its lower bound.
        let token_ms = (sum_xy - MIN_FIXED_MS * sum_x) / sum_xx;
        LinearLatency {
            fixed_ms: MIN_FIXED_MS,
            token_ms: token_ms.max(MIN_TOKEN_MS),
        }
    }
}
