/**
 * Constants of this package; names end in the unit where there is one.
 */

/** Log stream of configuration changes and restatements. */
export const CONFIGURATION_STREAM = 'configuration';

/** Log stream of claims for non-idempotent calls. */
export const CLAIMS_STREAM = 'claims';

/** Log stream of reports on requests that are suspected of causing crashes. */
export const SUSPICIONS_STREAM = 'suspicions';

/** Minimum delay after a failed log operation. */
export const LOG_BACKOFF_MINIMUM_MILLISECONDS = 50;

/** Maximum delay after a failed log operation, before the minimum is added. */
export const LOG_BACKOFF_MAXIMUM_MILLISECONDS = 2_000;

/** Processes per availability zone that poll the configuration stream. */
export const LOG_POLLERS_PER_AVAILABILITY_ZONE = 3;

/** Number of records after which a restatement of all keys is appended. */
export const RESTATE_AFTER_RECORDS = 200;

/** Time after which a restatement of all keys is appended. */
export const RESTATE_AFTER_MILLISECONDS = 600_000;

/** Additional delay of a restatement for each rank of the poller. */
export const RESTATE_STAGGER_MILLISECONDS = 30_000;

/** Staleness of the configuration at which any process polls the log itself. */
export const STALENESS_TIMEOUT_MILLISECONDS = 2_000;

/** Time after the last crash at which a suspicion expires. */
export const SUSPICION_LIFETIME_MILLISECONDS = 3_600_000;

/** Requests in a table of suspicions, so that its memory stays bounded. */
export const MAXIMUM_SUSPECTS = 10_000;

/** Crashes that a process stores under its key. */
export const MAXIMUM_STORED_SUSPICION_RECORDS = 200;

/**
 * Suspects that a process stores under its key, over all crashes, so that they
 * fit into one record of the store.
 */
export const MAXIMUM_STORED_SUSPECTS = 10_000;

/**
 * Maximum backoff of an operation on a keyed topic, before the minimum delay is
 * added: a tenth of the shortest time for which keys may be used without an
 * update.
 */
export const TOPIC_BACKOFF_MAXIMUM_MILLISECONDS = 400;

/**
 * Maximum delay between failed reads of a topic that other processes read on
 * behalf of this one, and between failed calls that nothing waits for.
 */
export const RARE_RETRY_MILLISECONDS = 2_000;

/**
 * Grace period after a store outage, during which running endpoints rewrite
 * their expired entries.
 */
export const EXPIRED_ENTRY_GRACE_MILLISECONDS = 2_000;

/**
 * Time for which an endpoint that only a peer has reported is used: a read of
 * the store confirms it before then.
 */
export const UNCONFIRMED_ENTRY_LIFETIME_MILLISECONDS = 8_000;

/** Missed heartbeats after which the store may expire an entry. */
export const HEARTBEATS_UNTIL_EXPIRY = 2;

/**
 * Average time between two registrations of a process. One registration is
 * enough; the repetitions restore an entry that the store has lost. Until then,
 * a process that starts is found by its own registration.
 */
export const REGISTRATION_INTERVAL_MILLISECONDS = 120_000;

/** Time for which late entries of a removed endpoint are recognized. */
export const REMOVED_ENTRY_RETENTION_MILLISECONDS = 120_000;

/**
 * Processes that read a busy topic on behalf of all. With three, one may fail
 * and one may be located elsewhere.
 */
export const READERS_PER_TOPIC = 3;

/** Streams in a table of origins: about 20 MB. */
export const MAXIMUM_STREAM_ORIGINS = 100_000;

/** Time between two visits of all origins to forget the old ones. */
export const STREAM_ORIGIN_SWEEP_MILLISECONDS = 5_000;

/** Time for which software versions that no endpoint has are remembered. */
export const SOFTWARE_HISTORY_MILLISECONDS = 120_000;

/**
 * Time without a read of the endpoints after which the history of software
 * versions starts anew; gateways that others inform read every 5 to 8 seconds.
 */
export const SOFTWARE_HISTORY_GAP_MILLISECONDS = 10_000;
