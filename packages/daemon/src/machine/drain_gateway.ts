/**
 * Drains a gateway before a graceful shutdown.
 */
import type {ForwardingGateway, Shutdown} from '@briarpin/forwarding';

/**
 * Drains a gateway: continues to serve callers until the platform has
 * deregistered the instance, then stops listening and waits for open requests.
 * What is not answered when the time is nearly over is answered with a failure.
 *
 * @param shutdown - Times of the steps
 * @param gateway - Gateway to drain
 * @returns Resolves when no connection is open or the time is over
 */
export async function drainGateway(
  shutdown: Shutdown,
  gateway: Pick<
    ForwardingGateway,
    'stopListening' | 'drain' | 'answerOpenRequests'
  >,
): Promise<void> {
  await shutdown.waitUntil(() => shutdown.remainingListeningMilliseconds);
  gateway.stopListening();
  await gateway.drain();
  await gateway.answerOpenRequests();
}
