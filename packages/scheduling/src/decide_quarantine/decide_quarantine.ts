/**
 * Quarantine of requests that may crash their endpoint.
 */

/** Crashes from which on a request is refused. */
const REFUSAL_CRASH_COUNT = 2;

/** Whether and how a request may run. */
export type QuarantineDecision = 'run' | 'run_alone' | 'refuse';

/**
 * Decides how a request runs after endpoint crashes that it may have caused.
 *
 * After one crash it runs alone on an endpoint, so that a second crash confirms
 * the cause and affects no other request. After two crashes it is refused.
 *
 * @param crashCount - Number of endpoints that crashed while it ran
 * @returns Whether it runs, runs alone or is refused
 *
 * @example
 * decideQuarantine(1); //=> 'run_alone'
 */
export function decideQuarantine(crashCount: number): QuarantineDecision {
  if (crashCount >= REFUSAL_CRASH_COUNT) {
    return 'refuse';
  }
  return crashCount > 0 ? 'run_alone' : 'run';
}
