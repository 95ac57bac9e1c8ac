/**
 * Computes how long after the arrival of a request its stream may be taken up.
 */
import type {Route} from '@briarpin/coordination';

import type {RequestMetadata} from '../dialect/dialect.js';

/**
 * Time after the end of a request's own time in which its caller may still take
 * its stream up: the patience of callers, and clocks that differ.
 */
const TAKE_UP_MILLISECONDS = 60_000;

/**
 * Computes how long after the arrival of a request its caller may take its stream
 * up; seen from an attempt that takes it up, how long ago the stream may have
 * begun.
 *
 * @param route - Route of the request
 * @param metadata - What the request states about itself
 * @returns The time in milliseconds
 */
export function computeTakeUpTime(
  {timeoutMilliseconds}: Pick<Route, 'timeoutMilliseconds'>,
  {deadlineMilliseconds = 0}: Pick<RequestMetadata, 'deadlineMilliseconds'>,
): number {
  return (
    Math.max(timeoutMilliseconds, deadlineMilliseconds) + TAKE_UP_MILLISECONDS
  );
}
