/**
 * Constants of the coordination parts, units in their names.
 */

/** Stream of the log that carries configuration. */
export const CONFIGURATION_STREAM = 'configuration';

/** Stream of the log that carries claims of non-idempotent calls. */
export const CLAIMS_STREAM = 'claims';

/** Stream of the log that carries suspicions of crashing requests. */
export const SUSPICIONS_STREAM = 'suspicions';

/** Shortest pause after the log refused or did not answer. */
export const LOG_BACKOFF_MINIMUM_MILLISECONDS = 50;

/** Longest pause after the log refused or did not answer. */
export const LOG_BACKOFF_MAXIMUM_MILLISECONDS = 2_000;

/** Processes in each availability zone that read the configuration stream. */
export const LOG_POLLERS_PER_AVAILABILITY_ZONE = 3;

/** Records after which the configuration is restated. */
export const RESTATE_AFTER_RECORDS = 200;

/** Time after which the configuration is restated. */
export const RESTATE_AFTER_MILLISECONDS = 600_000;

/** Further time that each later poller waits before it restates. */
export const RESTATE_STAGGER_MILLISECONDS = 30_000;

/** Time without news after which a process reads the log itself. */
export const NEWS_TIMEOUT_MILLISECONDS = 2_000;

/** Time for which a suspicion is kept. */
export const SUSPICION_LIFETIME_MILLISECONDS = 3_600_000;

/**
 * Longest pause of a reader of a keyed topic after a failure: a tenth of the
 * shortest time for which keys may be used without news.
 */
export const TOPIC_BACKOFF_MILLISECONDS = 400;

/**
 * Time after an outage of the store within which live endpoints write their
 * entries again.
 */
export const LAPSED_ENTRY_GRACE_MILLISECONDS = 2_000;

/**
 * Time for which an endpoint that only a peer told of is used: a read of one's
 * own has confirmed it by then.
 */
export const UNCONFIRMED_ENTRY_MILLISECONDS = 8_000;

/** Heartbeats of silence after which the store may drop an entry. */
export const HEARTBEATS_UNTIL_LAPSE = 2;

/**
 * Time between two registrations of a process. One is enough; the others make
 * up for a store that has forgotten it.
 */
export const REGISTRATION_INTERVAL_MILLISECONDS = 30_000;

/** Time for which late entries of an endpoint that is gone are told apart. */
export const DEPARTED_ENTRY_MEMORY_MILLISECONDS = 120_000;

/** Processes that read a busy topic for all: one may fail, one be elsewhere. */
export const READERS_PER_TOPIC = 3;
