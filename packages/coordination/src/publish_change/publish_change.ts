/**
 * Publishes configuration changes on behalf of operators.
 */
import {randomUUID} from 'node:crypto';

import type {ConfigurationChange} from '@briarpin/messages';
import {Result} from 'true-myth';

import {computeBackoff} from '../_lib/backoff.js';
import type {AppendOnlyLog} from '../append_only_log/append_only_log.js';
import type {Clock} from '../clock/clock.js';
import type {ConfigurationReplica} from '../configuration_replica/configuration_replica.js';
import {CONFIGURATION_STREAM} from '../constants.js';

const RESULT_POLL_MILLISECONDS = 10;

/** Reason why a change is not confirmed to be in force. */
export type PublishError =
  | {
      readonly kind: 'conflict';
      readonly message: string;
      /** Offset of the value in force. */
      readonly currentOffset: number;
    }
  | {readonly kind: 'unavailable'; readonly message: string};

/** Options of {@link publishChange}. */
export interface PublishChangeOptions {
  readonly log: AppendOnlyLog;
  readonly clock: Clock;
  /** Random number generator for backoff jitter, returns values in [0, 1). */
  readonly random: () => number;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  /** Local replica, which must be following the log. */
  readonly replica: ConfigurationReplica;
  /** Offset of the base value; defaults to the value at the replica. */
  readonly baseOffset?: number;
}

/**
 * Publishes a change and waits until its result has been read from the log.
 *
 * An append without a response is retried with the same change identifier, and
 * replicas apply an identifier only once. Of concurrent changes to a key with
 * the same base, one is accepted and the others fail with `conflict`.
 *
 * @param key - The key
 * @param value - New value; null removes the key
 * @param options - Log, clock, replica and deadline
 * @returns The offset that set the value, or the reason why it is not confirmed
 *     to be set
 *
 * @example
 * await publishChange('defaults.weight', 2, {log, clock, replica, ...});
 */
export async function publishChange(
  key: string,
  value: unknown,
  options: PublishChangeOptions,
): Promise<Result<number, PublishError>> {
  const {clock, replica} = options;
  const changeId = randomUUID();
  replica.watchChange(changeId);
  const change: ConfigurationChange = {
    kind: 'change',
    changeId,
    key,
    value,
    baseOffset: options.baseOffset ?? replica.table.find(key)?.offset ?? 0,
  };
  for (let failures = 1; clock.now() < options.deadline; failures += 1) {
    const appended = await options.log.append(CONFIGURATION_STREAM, change);
    if (appended.isOk) {
      return waitForResult(change, appended.value, options);
    }
    await clock.sleep(computeBackoff(failures, options.random));
    const result = findResult(change, replica);
    if (result !== undefined) {
      return result;
    }
  }
  return Result.err(unavailable());
}

async function waitForResult(
  change: ConfigurationChange,
  offset: number,
  options: PublishChangeOptions,
): Promise<Result<number, PublishError>> {
  const {clock, replica} = options;
  while (replica.table.version < offset) {
    if (clock.now() >= options.deadline) {
      return Result.err(unavailable());
    }
    await clock.sleep(RESULT_POLL_MILLISECONDS);
  }
  return findResult(change, replica) ?? Result.err(unavailable());
}

function findResult(
  change: ConfigurationChange,
  replica: ConfigurationReplica,
): Result<number, PublishError> | undefined {
  const evaluated = replica.findEvaluatedChange(change.changeId);
  if (evaluated === undefined) {
    return undefined;
  }
  return evaluated.result === 'accepted'
    ? Result.ok(evaluated.offset)
    : Result.err(conflict(change, replica));
}

function conflict(
  change: ConfigurationChange,
  replica: ConfigurationReplica,
): PublishError {
  const currentOffset = replica.table.find(change.key)?.offset ?? 0;
  const message =
    `${change.key} was changed at offset ${currentOffset} by somebody else; ` +
    'look at the value in force and make the change again if it is still wanted';
  return {kind: 'conflict', message, currentOffset};
}

function unavailable(): PublishError {
  const message =
    'the log did not answer in time; the change may still come into force: ' +
    'look at the value in force before making it again';
  return {kind: 'unavailable', message};
}
