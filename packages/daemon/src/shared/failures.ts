/**
 * Typed failures with their outcome and a remedy for the caller.
 */
import {FailureKind, Outcome, type Failure} from '@briarpin/messages';

/** Fields of a failure that override the defaults of its kind. */
export interface FailureDetails {
  readonly message?: string;
  readonly retryAfterMilliseconds?: number;
  readonly deathId?: string;
}

interface FailureDefaults {
  readonly outcome: Outcome;
  readonly message: string;
  readonly remedy: string;
  readonly retryAfterMilliseconds?: number;
}

/**
 * Remedy, and its time for callers unless another is known: gateways learn in it
 * that an instance leaves or has become fit.
 */
const RETRY_LATER = {
  remedy: 'send the request again after the time in Retry-After',
  retryAfterMilliseconds: 1_000,
};

const RETRY_REMEDY = 'send the request again';

const FAILURE_DEFAULTS: Readonly<
  Partial<Record<FailureKind, FailureDefaults>>
> = {
  [FailureKind.LEAVING]: {
    outcome: Outcome.NOT_RUN,
    message: 'the instance is leaving and takes no new work',
    ...RETRY_LATER,
  },
  [FailureKind.OVERLOADED]: {
    outcome: Outcome.NOT_RUN,
    message: 'the request could not be finished before its deadline',
    ...RETRY_LATER,
  },
  [FailureKind.DEADLINE_PASSED]: {
    outcome: Outcome.NOT_RUN,
    message: 'the deadline passed before the request started',
    remedy: 'send the request again with a later deadline',
  },
  [FailureKind.ENDPOINT_DIED]: {
    outcome: Outcome.UNKNOWN,
    message: 'the endpoint died while it ran the request',
    remedy: RETRY_REMEDY,
  },
  [FailureKind.REVOKED]: {
    outcome: Outcome.NOT_RUN,
    message: 'the request was withdrawn before it started',
    remedy: RETRY_REMEDY,
  },
  [FailureKind.MODEL_NOT_LOADED]: {
    outcome: Outcome.NOT_RUN,
    message: 'the endpoint does not hold the model',
    ...RETRY_LATER,
  },
  [FailureKind.QUARANTINED]: {
    outcome: Outcome.NOT_RUN,
    message: 'endpoints died while they ran this request',
    remedy: 'change the request, or send it again after an hour',
  },
  [FailureKind.GENERATION_LOST]: {
    outcome: Outcome.UNKNOWN,
    message: 'the rest of the generation is lost',
    remedy: 'send the request again as a new one',
  },
  [FailureKind.CLAIMED_ELSEWHERE]: {
    outcome: Outcome.UNKNOWN,
    message: 'another attempt claimed this Idempotency-Key and left no answer',
    remedy: 'look at the service whether the call took effect',
  },
  [FailureKind.LOG_UNAVAILABLE]: {
    outcome: Outcome.NOT_RUN,
    message: 'the log did not confirm the claim before the deadline',
    ...RETRY_LATER,
  },
  [FailureKind.TOO_LARGE]: {
    outcome: Outcome.NOT_RUN,
    message: 'the request does not fit into the memory of an endpoint',
    remedy: 'send a shorter prompt',
  },
  [FailureKind.OVER_ALLOWANCE]: {
    outcome: Outcome.NOT_RUN,
    message: 'the organisation has too many requests waiting',
    ...RETRY_LATER,
  },
  [FailureKind.NO_ENDPOINT]: {
    outcome: Outcome.NOT_RUN,
    message: 'no endpoint can take the request now',
    ...RETRY_LATER,
  },
  [FailureKind.INVALID_REQUEST]: {
    outcome: Outcome.NOT_RUN,
    message: 'the request contradicts an earlier one',
    remedy: 'use a new Idempotency-Key for a new request',
  },
};

/**
 * Creates a failure with the defaults of its kind.
 *
 * @param kind - Kind of the failure
 * @param details - Fields that differ from the defaults
 * @returns The failure; its outcome is unknown when the kind has no defaults
 *
 * @example
 * createFailure(FailureKind.LEAVING).outcome; //=> Outcome.NOT_RUN
 */
export function createFailure(
  kind: FailureKind,
  details: FailureDetails = {},
): Failure {
  const defaults: FailureDefaults = FAILURE_DEFAULTS[kind] ?? {
    outcome: Outcome.UNKNOWN,
    message: 'the request failed',
    remedy: RETRY_REMEDY,
  };
  return {
    kind,
    outcome: defaults.outcome,
    message: details.message ?? defaults.message,
    remedy: defaults.remedy,
    retryAfterMilliseconds:
      details.retryAfterMilliseconds ?? defaults.retryAfterMilliseconds ?? 0,
    deathId: details.deathId ?? '',
  };
}
