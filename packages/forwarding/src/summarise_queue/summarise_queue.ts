/**
 * Summary of the waiting requests by organisation, for the metrics.
 */
import type {QueueSummary} from '@briarpin/telemetry';

/**
 * Summarises waiting requests and recent work.
 *
 * The fair share divides the work evenly among the organisations with waiting
 * requests or recent work, since all have the same weight.
 *
 * @param waiting - Organisation of each waiting request
 * @param receivedTokens - Recent work by organisation, in tokens
 * @returns One summary for each organisation
 */
export function summariseQueue(
  waiting: readonly string[],
  receivedTokens: ReadonlyMap<string, number>,
): QueueSummary[] {
  const organisations = [...new Set([...receivedTokens.keys(), ...waiting])];
  let total = 0;
  receivedTokens.forEach(tokens => (total += tokens));
  return organisations.map(organisation => ({
    organisation,
    waiting: waiting.filter(name => name === organisation).length,
    receivedShare: (receivedTokens.get(organisation) ?? 0) / Math.max(1, total),
    fairShare: 1 / organisations.length,
  }));
}
