/**
 * Moving running generations away from an engine that is leaving.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import {decideLastCopy} from '@briarpin/scheduling';
import {runTask} from '@briarpin/telemetry';

import type {Dialect, MemorySource, MoveOutcome} from '../dialect/dialect.js';
import type {ForwardingContext} from '../exchange/exchange.js';

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

/** A run that has ended at its source and has to go on elsewhere. */
export type StoppedRun =
  /** The run has stopped; it goes on at the target. */
  | {
      readonly kind: 'stopped';
      readonly target: EndpointEntry;
      readonly memorySource: MemorySource;
    }
  /**
   * The source has ended before the last copy; the target has all but the
   * newest tokens.
   */
  | {
      readonly kind: 'source_lost';
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

/** A complete copy of a run's memory up to some of its events. */
export interface RunCopy {
  readonly target: EndpointEntry;
  readonly handle: string;
}

type MoveParts = Pick<ForwardingContext, 'clock' | 'logger'> & {
  readonly dialect: Dialect;
};

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
  parts: MoveParts,
  onStopping: () => void,
): Promise<MoveResult> {
  const {clock} = parts;
  const excluded: string[] = [];
  let target = run.chooseTarget(excluded);
  let copy: RunCopy | undefined;
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
    const outcome = await copyOnce(run, parts, {target, stop});
    const durationMilliseconds = clock.now() - startedAt;
    switch (outcome.kind) {
      case 'copied': {
        const {handle} = outcome;
        if (stop) {
          const memorySource = locate(run, handle);
          return {kind: 'stopped', target, memorySource};
        }
        copy = {target, handle};
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
          const memorySource = locate(run, outcome.handle);
          return {kind: 'stopped_at_source', memorySource};
        }
        dropCopy(copy, parts);
        copy = undefined;
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
      case 'unknown': {
        if (copy === undefined) {
          return {kind: 'kept', reason: outcome.message};
        }
        const memorySource = locate(run, copy.handle);
        return {kind: 'source_lost', target: copy.target, memorySource};
      }
    }
  }
  dropCopy(copy, parts);
  return {kind: 'kept', reason: 'the run has ended'};
}

/** Asks for one copy and opens the connection that comes after it. */
async function copyOnce(
  run: MovableRun,
  {clock, dialect, logger}: MoveParts,
  {target, stop}: {target: EndpointEntry; stop: boolean},
): Promise<MoveOutcome> {
  const {source, requestId} = run;
  const startedAt = clock.now();
  const copying = dialect.moveRun({
    source,
    target,
    requestId,
    stop,
    timeoutMilliseconds: COPY_TIMEOUT_MILLISECONDS,
  });
  if (stop) {
    run.prepareTarget(target);
  } else {
    dialect.prepareMove(source);
  }
  const outcome = await copying;
  logger.info('run_copied', {
    request: requestId,
    source: source.id,
    target: target.id,
    same_zone: target.availabilityZone === source.availabilityZone,
    stop,
    outcome: outcome.kind,
    milliseconds: Math.round(clock.now() - startedAt),
  });
  return outcome;
}

/** Names a copy by the address of the engine that made it. */
function locate({source}: MovableRun, handle: string): MemorySource {
  return {host: source.host, port: source.port, handle};
}

/** Frees the memory and the slot that a copy takes at its target. */
export function dropCopy(
  copy: RunCopy | undefined,
  {dialect, logger}: Pick<ForwardingContext, 'dialect' | 'logger'>,
): void {
  if (copy !== undefined) {
    const {target, handle} = copy;
    runTask('drop_copy', logger, () =>
      dialect.dropCopy({holder: target, handle}),
    );
  }
}
