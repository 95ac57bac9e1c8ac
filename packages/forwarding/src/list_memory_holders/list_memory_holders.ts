/**
 * Lists the engines that hold the memory of a run that was stopped to be moved.
 */
import type {EndpointEntry} from '@briarpin/coordination';

import type {ForwardingContext} from '../exchange/exchange.js';
import type {StoppedRun} from '../run_evacuation/run_evacuation.js';

/**
 * Lists the engines at which a stopped run may continue: the target before the
 * source, but those that want no requests last.
 *
 * @param source - Engine that ran it
 * @param moved - How it was stopped
 * @param context - Shared context of the gateway
 * @returns The engines, in the order in which they should be tried
 */
export function listMemoryHolders(
  source: EndpointEntry,
  moved: StoppedRun,
  {endpoints, limits}: Pick<ForwardingContext, 'endpoints' | 'limits'>,
): EndpointEntry[] {
  const targets =
    moved.kind === 'stopped_at_source' ||
    endpoints.hasOtherSoftware(moved.target)
      ? []
      : [moved.target];
  const holders = moved.kind === 'source_lost' ? targets : [...targets, source];
  const getPause = ({id}: EndpointEntry) => limits.computePauseMilliseconds(id);
  return holders.sort((left, right) => getPause(left) - getPause(right));
}
