/**
 * Limits the number of log lines by sampling requests.
 */
import {createHash} from 'node:crypto';

import type {EventFields, EventLogger} from '../create_logger/create_logger.js';

/** Options of {@link limitEvents}. */
export interface LimitEventsOptions {
  /** Lines per second above which requests are sampled. */
  readonly linesPerSecond: number;
  /** Time of a monotonic clock, in milliseconds. */
  readonly now: () => number;
  /** Returns the number of lines dropped by the stream since the last call. */
  readonly consumeDroppedCount?: () => number;
}

const SECOND_MILLISECONDS = 1_000;

/** One in this many requests is logged when the budget is exhausted. */
const SAMPLING_DIVISOR = 16;

/**
 * Limits the lines about requests.
 *
 * Within a second, all lines are written up to the budget. Beyond it, lines at
 * level `info` with a `request` field are written for one request in sixteen.
 * The sample depends only on the identifier of the request, so that every
 * process writes all lines of the same requests. Lines at other levels and
 * lines without a request are always written. The number of omitted lines is
 * reported at most once a second, with the next line at level `info`.
 *
 * @param logger - Logger that receives the remaining lines
 * @param options - Line budget, clock and count of dropped lines
 * @returns A logger that samples requests once the budget is exhausted
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
