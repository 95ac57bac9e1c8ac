/**
 * Live migration of a running generation from an engine that is shutting down.
 */
import type {EndpointEntry} from '@briarpin/coordination';
import {decideStopAndCopy} from '@briarpin/scheduling';
import {runTask} from '@briarpin/telemetry';

import type {Dialect, MemorySource, MoveOutcome} from '../dialect/dialect.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import type {StoppedRun} from '../stopped_run/stopped_run.js';

/**
 * Timeout of one copy call. It exceeds the shutdown notice of engines, so that
 * a call fails because the engine exits rather than by timeout.
 */
const COPY_TIMEOUT_MILLISECONDS = 4_000;

/** Delay before a copy is retried for a run that was not ready. */
const NOT_READY_RETRY_DELAY_MILLISECONDS = 60;

/** Interval at which a run is looked at whose source wants no requests. */
const PAUSE_POLL_MILLISECONDS = 50;

/** Maximum number of copy calls for one run, over all targets. */
const MAXIMUM_COPY_CALLS = 12;

/** A run that can be moved to another engine. */
export interface MovableRun {
  readonly requestId: string;
  readonly source: EndpointEntry;
  /** Longest acceptable gap between events of the stream. */
  readonly targetGapMilliseconds: number;
  /** Estimated duration of a full copy on an idle link. */
  readonly idleLinkMilliseconds: number;
  /** Opens a connection to the engine that will resume the run. */
  readonly prepareTarget: (target: EndpointEntry) => void;
  /** Returns false once the run has ended or is on another engine. */
  readonly isAtSource: () => boolean;
  /** Selects the target engine; undefined when none has capacity. */
  readonly chooseTarget: (
    excluded: readonly string[],
  ) => EndpointEntry | undefined;
  /** Returns whether a target that was chosen may still receive a copy. */
  readonly mayCopyTo: (target: EndpointEntry) => boolean;
  /** Returns whether the run may resume at its source once it was stopped. */
  readonly mayResumeAtSource: () => boolean;
}

/** Outcome of a move. */
export type MoveResult =
  | StoppedRun
  /** The move did not stop the run. */
  | {readonly kind: 'kept'; readonly reason: string};

/** A copy of a run's memory that is complete up to one of its events. */
export interface RunCopy {
  readonly target: EndpointEntry;
  readonly handle: string;
}

/** Context of {@link moveRun}. */
type MoveContext = Pick<ForwardingContext, 'clock' | 'logger'> & {
  readonly dialect: Dialect;
  readonly limits: EndpointPauseLimits;
};

/** The part of the limits of endpoints that copies must keep to. */
type EndpointPauseLimits = Pick<
  ForwardingContext['limits'],
  'computePauseMilliseconds' | 'recordPause'
>;

/**
 * Moves a run by iterative pre-copy: copies its memory while it runs, then
 * stops it for the last copy.
 *
 * @param run - The run
 * @param context - Shared context of the gateway
 * @param onStopping - Called immediately before each call that stops the run
 * @returns Outcome of the move
 */
export async function moveRun(
  run: MovableRun,
  context: MoveContext,
  onStopping: () => void,
): Promise<MoveResult> {
  const {clock, limits} = context;
  const excluded: string[] = [];
  let target = run.chooseTarget(excluded);
  let copy: RunCopy | undefined;
  let rounds = 0;
  let stop = false;
  const chooseNextTarget = (previous: EndpointEntry) => {
    dropCopy(copy, context);
    copy = undefined;
    excluded.push(previous.id);
    target = run.chooseTarget(excluded);
    stop = false;
    rounds = 0;
  };
  for (let calls = 0; calls < MAXIMUM_COPY_CALLS; calls += 1) {
    await waitForPause(run, context);
    if (!run.isAtSource()) {
      break;
    }
    if (
      target !== undefined &&
      (limits.computePauseMilliseconds(target.id) > 0 || !run.mayCopyTo(target))
    ) {
      chooseNextTarget(target);
    }
    if (target === undefined) {
      return {kind: 'kept', reason: 'no engine has room'};
    }
    if (stop) {
      onStopping();
    }
    const startedAt = clock.now();
    const outcome = await copyOnce(run, context, {target, stop});
    const durationMilliseconds = clock.now() - startedAt;
    switch (outcome.kind) {
      case 'copied': {
        const {handle} = outcome;
        if (stop) {
          const memorySource = createMemorySource(run, handle);
          return {kind: 'stopped', target, memorySource};
        }
        copy = {target, handle};
        rounds += 1;
        stop = decideStopAndCopy({
          rounds,
          durationMilliseconds,
          idleLinkMilliseconds: run.idleLinkMilliseconds,
          targetGapMilliseconds: run.targetGapMilliseconds,
        });
        break;
      }
      case 'no_room': {
        if (stop && outcome.handle !== undefined) {
          if (copy !== undefined && !run.mayResumeAtSource()) {
            const memorySource = createMemorySource(run, copy.handle);
            return {kind: 'stopped_at_copy', target: copy.target, memorySource};
          }
          const memorySource = createMemorySource(run, outcome.handle);
          return {kind: 'stopped_at_source', memorySource};
        }
        chooseNextTarget(target);
        break;
      }
      case 'not_running':
      case 'in_progress':
        await clock.sleep(NOT_READY_RETRY_DELAY_MILLISECONDS);
        break;
      case 'unknown': {
        if (copy === undefined) {
          return {kind: 'kept', reason: outcome.message};
        }
        const memorySource = createMemorySource(run, copy.handle);
        return {kind: 'source_lost', target: copy.target, memorySource};
      }
    }
  }
  dropCopy(copy, context);
  return {kind: 'kept', reason: 'the run has ended'};
}

/** Waits while the source wants no requests and still runs the generation. */
async function waitForPause(
  {source, isAtSource}: MovableRun,
  {clock, limits}: MoveContext,
): Promise<void> {
  for (;;) {
    const pause = limits.computePauseMilliseconds(source.id);
    if (pause <= 0 || !isAtSource()) {
      return;
    }
    await clock.sleep(Math.min(pause, PAUSE_POLL_MILLISECONDS));
  }
}

/** Requests one copy and opens the connection of the following call. */
async function copyOnce(
  run: MovableRun,
  {clock, dialect, limits, logger}: MoveContext,
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
  if (outcome.kind === 'no_room' && outcome.pauseMilliseconds !== undefined) {
    limits.recordPause(source.id, outcome.pauseMilliseconds);
  }
  logger.info('run_copied', {
    request: requestId,
    source: source.id,
    target: target.id,
    source_software: source.softwareVersion,
    target_software: target.softwareVersion,
    same_zone: target.availabilityZone === source.availabilityZone,
    stop,
    outcome: outcome.kind,
    milliseconds: Math.round(clock.now() - startedAt),
  });
  return outcome;
}

/** Identifies a copy by its handle and the address of its source engine. */
function createMemorySource(
  {source}: MovableRun,
  handle: string,
): MemorySource {
  return {host: source.host, port: source.port, handle};
}

/**
 * Releases the memory and the slot that a copy occupies at its target, unless
 * that wants no requests; it then releases them itself after some time. Runs in
 * the background; failures are logged.
 */
export function dropCopy(
  copy: RunCopy | undefined,
  {dialect, limits, logger}: Omit<MoveContext, 'clock'>,
): void {
  if (
    copy === undefined ||
    limits.computePauseMilliseconds(copy.target.id) > 0
  ) {
    return;
  }
  const {target, handle} = copy;
  runTask('drop_copy', logger, async () => {
    const pause = await dialect.dropCopy({holder: target, handle});
    if (pause !== undefined) {
      limits.recordPause(target.id, pause);
    }
  });
}
