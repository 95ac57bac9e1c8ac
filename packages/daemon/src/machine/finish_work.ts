/**
 * The graceful stop of a gateway.
 */
import type {ForwardingGateway, ForwardingContext} from '@briarpin/forwarding';
import type {InstanceSettings} from '@briarpin/machines';

/** Time in which the platform takes a machine out that says it is not ready. */
const LEAVING_NOTICE_MILLISECONDS = 3_000;

/** Time left before SIGKILL when open requests are given up. */
const STOP_RESERVE_MILLISECONDS = 250;

/**
 * Serves callers until they are elsewhere and nothing is open.
 *
 * @param settings - Names the grace that a stop has
 * @param parts - The clock
 * @param gateway - What is stopped
 * @returns When it may end
 */
export async function finishWork(
  {bounds}: InstanceSettings,
  {clock}: Pick<ForwardingContext, 'clock'>,
  gateway: Pick<ForwardingGateway, 'stopListening' | 'drain'>,
): Promise<void> {
  const grace = bounds.stopGraceMilliseconds - STOP_RESERVE_MILLISECONDS;
  await clock.sleep(LEAVING_NOTICE_MILLISECONDS);
  gateway.stopListening();
  await gateway.drain(grace - LEAVING_NOTICE_MILLISECONDS);
}
