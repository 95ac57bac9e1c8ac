/**
 * Moving running generations away from an engine that is leaving.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import {decideLastCopy} from '@briarpin/scheduling';

import type {Dialect, MemorySource, MoveOutcome} from '../dialect/dialect.js';
import type {ForwardingParts} from '../exchange/exchange.js';

/**
 * Time for one copy: longer than the notice that engines give, so that a call
 * ends with the engine.
 */
const COPY_TIMEOUT_MILLISECONDS = 4_000;

/** Pause before a run is asked for again that was not ready to be copied. */
const NOT_READY_PAUSE_MILLISECONDS = 60;

/** Copies that are tried for one run, over all targets. */
const MAXIMUM_CALLS = 12;

/** A run that can be moved. */
export interface MovableRun {
  readonly requestId: string;
  readonly source: EndpointEntry;
  /** Longest pause between events that the caller expects. */
  readonly targetGapMilliseconds: number;
  /** How long a first copy takes on an idle link, in milliseconds. */
  readonly idleLinkMilliseconds: number;
  /** Opens a connection to the engine where the run will go on. */
  readonly prepareTarget: (target: EndpointEntry) => void;
  /** False once the run has ended or is on another engine. */
  readonly isThere: () => boolean;
  /** Chooses where it goes; undefined when there is no room anywhere. */
  readonly chooseTarget: (
    excluded: readonly string[],
  ) => EndpointEntry | undefined;
}

/** A run that was stopped and has to go on. */
export type StoppedRun =
  /** The run has stopped; it goes on at the target. */
  | {
      readonly kind: 'stopped';
      readonly target: EndpointEntry;
      readonly memorySource: MemorySource;
    }
  /** The run has stopped, and only its source has the memory. */
  | {
      readonly kind: 'stopped_at_source';
      readonly memorySource: MemorySource;
    };

/** What became of a move. */
export type MoveResult =
  | StoppedRun
  /** The run was not stopped. */
  | {readonly kind: 'kept'; readonly reason: string};

/**
 * Copies a run's memory while it runs, then stops it for the last copy.
 *
 * @param run - The run
 * @param parts - Parts of the gateway
 * @param onStopping - Called right before the run is stopped
 * @returns What became of it
 */
export async function moveRun(
  run: MovableRun,
  parts: Pick<ForwardingParts, 'clock' | 'logger'> & {dialect: Dialect},
  onStopping: () => void,
): Promise<MoveResult> {
  const {clock, dialect, logger} = parts;
  const excluded: string[] = [];
  let target = run.chooseTarget(excluded);
  let rounds = 0;
  let stop = false;
  for (let calls = 0; calls < MAXIMUM_CALLS && run.isThere(); calls += 1) {
    if (target === undefined) {
      return {kind: 'kept', reason: 'no engine has room'};
    }
    if (stop) {
      onStopping();
    }
    const startedAt = clock.now();
    const copying: Promise<MoveOutcome> = dialect.moveRun({
      source: run.source,
      target,
      requestId: run.requestId,
      stop,
      timeoutMilliseconds: COPY_TIMEOUT_MILLISECONDS,
    });
    if (stop) {
      run.prepareTarget(target);
    } else {
      dialect.prepareMove(run.source);
    }
    const outcome = await copying;
    const durationMilliseconds = clock.now() - startedAt;
    logger.info('run_copied', {
      request: run.requestId,
      source: run.source.id,
      target: target.id,
      same_zone: target.availabilityZone === run.source.availabilityZone,
      stop,
      outcome: outcome.kind,
      milliseconds: Math.round(durationMilliseconds),
    });
    switch (outcome.kind) {
      case 'copied': {
        const {handle} = outcome;
        const {host, port} = run.source;
        if (stop) {
          return {kind: 'stopped', target, memorySource: {host, port, handle}};
        }
        rounds += 1;
        stop = decideLastCopy({
          rounds,
          durationMilliseconds,
          idleLinkMilliseconds: run.idleLinkMilliseconds,
          targetGapMilliseconds: run.targetGapMilliseconds,
        });
        break;
      }
      case 'no_room': {
        if (stop && outcome.handle !== undefined) {
          const {host, port} = run.source;
          const memorySource = {host, port, handle: outcome.handle};
          return {kind: 'stopped_at_source', memorySource};
        }
        excluded.push(target.id);
        target = run.chooseTarget(excluded);
        stop = false;
        rounds = 0;
        break;
      }
      case 'not_running':
      case 'in_progress':
        await clock.sleep(NOT_READY_PAUSE_MILLISECONDS);
        break;
      case 'unknown':
        return {kind: 'kept', reason: outcome.message};
    }
  }
  return {kind: 'kept', reason: 'the run has ended'};
}
