/**
 * Drains a gateway before a graceful shutdown.
 */
import type {ForwardingGateway, ForwardingContext} from '@briarpin/forwarding';
import type {InstanceSettings} from '@briarpin/machines';

/** Time in which the platform deregisters a machine that is not ready. */
const DEREGISTRATION_DELAY_MILLISECONDS = 3_000;

/** Time reserved before SIGKILL; open requests are abandoned at its start. */
const SHUTDOWN_RESERVE_MILLISECONDS = 250;

/**
 * Drains a gateway: continues to serve callers until the platform has
 * deregistered the machine, then stops listening and waits for open requests.
 *
 * @param settings - Provides the grace period of a shutdown
 * @param components - Provides the clock
 * @param gateway - Gateway to drain
 * @returns Resolves when no request is open or the grace period, less the
 *     reserve, has passed
 */
export async function drainGateway(
  {bounds}: InstanceSettings,
  {clock}: Pick<ForwardingContext, 'clock'>,
  gateway: Pick<ForwardingGateway, 'stopListening' | 'drain'>,
): Promise<void> {
  const grace = bounds.stopGraceMilliseconds - SHUTDOWN_RESERVE_MILLISECONDS;
  await clock.sleep(DEREGISTRATION_DELAY_MILLISECONDS);
  gateway.stopListening();
  await gateway.drain(grace - DEREGISTRATION_DELAY_MILLISECONDS);
}
