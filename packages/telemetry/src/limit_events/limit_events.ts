/**
 * A bound on the lines of a log.
 */
import {createHash} from 'node:crypto';

import type {EventFields, EventLogger} from '../create_logger/create_logger.js';

/** Options of {@link limitEvents}. */
export interface LimitEventsOptions {
  /** Lines in a second from which requests are sampled. */
  readonly linesPerSecond: number;
  /** Milliseconds of a clock that never jumps. */
  readonly now: () => number;
  /** Lines that the stream has dropped since it was last asked. */
  readonly consumeDroppedCount?: () => number;
}

const SECOND_MILLISECONDS = 1_000;

/** Part of the requests that are kept when the budget is spent. */
const SAMPLING_DIVISOR = 16;

/**
 * Bounds the lines about requests.
 *
 * Within a second, all lines are kept up to the budget. Past it, lines at
 * level `info` that name a request are kept for one request in sixteen, chosen
 * by its identifier, so that a request is kept whole, by every process alike.
 * Warnings, errors and lines about the process itself are always kept. What
 * was left out is reported once a second.
 *
 * @param logger - Where lines go
 * @param options - The budget
 * @returns A logger within the budget
 */
export function limitEvents(
  logger: EventLogger,
  options: LimitEventsOptions,
): EventLogger {
  let secondStartedAt = options.now();
  let lines = 0;
  let sampledOut = 0;
  const beginSecond = () => {
    const dropped = options.consumeDroppedCount?.() ?? 0;
    if (sampledOut > 0 || dropped > 0) {
      logger.warn('log_reduced', {sampled_out: sampledOut, dropped});
    }
    secondStartedAt = options.now();
    lines = 0;
    sampledOut = 0;
  };
  const isKept = (fields: EventFields): boolean => {
    if (options.now() - secondStartedAt >= SECOND_MILLISECONDS) {
      beginSecond();
    }
    lines += 1;
    const {request} = fields;
    if (lines <= options.linesPerSecond || request === undefined) {
      return true;
    }
    const isSampled = isInSample(String(request));
    sampledOut += isSampled ? 0 : 1;
    return isSampled;
  };
  return {
    error: (event, fields = {}) => logger.error(event, fields),
    warn: (event, fields = {}) => logger.warn(event, fields),
    info: (event, fields = {}) => {
      if (isKept(fields)) {
        logger.info(event, fields);
      }
    },
    debug: (event, fields = {}) => logger.debug(event, fields),
  };
}

function isInSample(request: string): boolean {
  const [first = 0] = createHash('sha1').update(request).digest();
  return first % SAMPLING_DIVISOR === 0;
}
