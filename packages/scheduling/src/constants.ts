/**
 * Constants of the scheduling decisions, with units in their names.
 */

/** Buckets of a length histogram per doubling of the length. */
export const LENGTH_BUCKETS_PER_DOUBLING = 4;

/** Buckets of a length histogram; the last one starts at 2^20 tokens. */
export const LENGTH_BUCKETS = 81;

/** Generations after which the weight of an observed length decays to 1/e. */
export const LENGTH_DECAY_GENERATIONS = 400;

/**
 * Generations after which the weight of an observed length decays to 1/e in the
 * histogram of recent lengths.
 */
export const LENGTH_RECENT_DECAY_GENERATIONS = 40;

/** Observations between two checks for a change of the length distribution. */
export const LENGTH_CHANGE_CHECK_OBSERVATIONS = 8;

/**
 * Divergence of the recent lengths above which the distribution is considered
 * changed.
 */
export const LENGTH_CHANGE_THRESHOLD = 0.9;

/**
 * Observations that a histogram needs to be used instead of a less specific
 * one.
 */
export const LENGTH_MINIMUM_OBSERVATIONS = 200;

/** Weight of the prior in a histogram, in observations. */
export const LENGTH_PRIOR_OBSERVATIONS = 0.5;

/** Median length of the prior. */
export const LENGTH_PRIOR_MEDIAN_TOKENS = 2_000;

/** Maximum number of length histograms of single organisations. */
export const LENGTH_MAXIMUM_SERIES = 2_048;

/**
 * Lower bound of the persistent margin, in standard deviations of the predicted
 * peak.
 */
export const MARGIN_MINIMUM_DEVIATIONS = 0;

/**
 * Strength with which the margin is reduced when the deviation is a large share
 * of the memory.
 */
export const MARGIN_DAMPING = 3;

/**
 * Upper bound of the persistent margin, in standard deviations of the predicted
 * peak.
 */
export const MARGIN_MAXIMUM_DEVIATIONS = 4;

/** Increase of the persistent margin for each report of preemptions. */
export const MARGIN_PERSISTENT_STEP_DEVIATIONS = 0.1;

/** Increase of the transient margin for each report of preemptions. */
export const MARGIN_TRANSIENT_STEP_DEVIATIONS = 0.5;

/** Upper bound of the transient margin, in standard deviations. */
export const MARGIN_TRANSIENT_MAXIMUM_DEVIATIONS = 3;

/** Completed generations after which the transient margin decays to 1/e. */
export const MARGIN_TRANSIENT_DECAY_GENERATIONS = 200;

/** Share of the memory that is reserved for urgent requests. */
export const URGENT_RESERVE_SHARE = 0.03;

/** Share of the margin that is applied to urgent requests. */
export const URGENT_MARGIN_SHARE = 0.25;

/** Cost of one prompt token relative to one generated token. */
export const PROMPT_TOKEN_COST = 0.1;

/**
 * Uncharged tokens beyond the prediction at which an organisation is charged.
 */
export const CHARGE_STEP_TOKENS = 64;

/** Time over which an unused urgent allowance accumulates. */
export const URGENT_BURST_SECONDS = 10;

/** Time constant of the exponential average of the throughput. */
export const THROUGHPUT_WINDOW_MILLISECONDS = 5_000;

/** Maximum time that a quarantined request waits for an empty engine. */
export const QUARANTINE_MAXIMUM_WAIT_MILLISECONDS = 10_000;

/**
 * Tokens that a quarantined request generates before other requests may start
 * beside it.
 */
export const QUARANTINE_RELEASE_TOKENS = 8;

/** Age at which the weight of a load report is one half. */
export const REPORT_HALF_LIFE_MILLISECONDS = 2_000;

/** Age of its last load report at which an endpoint is treated as unhealthy. */
export const REPORT_TIMEOUT_MILLISECONDS = 10_000;

/** Retries that a budget holds after a long time without requests. */
export const RETRY_BURST = 10;

/** Interval at which the predicted peak is recomputed from scratch. */
export const PREDICTION_REFRESH_MILLISECONDS = 100;

/** Expected length of a generation when no length has been observed. */
export const DEFAULT_EXPECTED_TOKENS = 200;

/**
 * Observed lengths that are required before a request is refused because it is
 * predicted to miss its deadline.
 */
export const REFUSAL_MINIMUM_OBSERVATIONS = 50;

/**
 * Share of the time to its deadline after which the predicted wait of a queued
 * request is reviewed.
 */
export const REVIEW_DEADLINE_SHARE = 0.08;

/**
 * Minimum time after which the predicted wait of a queued request is reviewed.
 */
export const REVIEW_MINIMUM_MILLISECONDS = 800;

/**
 * Factor by which a predicted wait is multiplied before it is compared with the
 * deadline.
 */
export const WAIT_SAFETY_FACTOR = 1.5;
