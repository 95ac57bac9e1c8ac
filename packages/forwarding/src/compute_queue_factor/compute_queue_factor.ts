/**
 * Waits at plain services.
 */

/**
 * Computes how many times longer a call to a plain service takes than without a
 * queue.
 *
 * @param otherRequests - Other open requests at the endpoint
 * @param slots - Requests that it runs concurrently
 * @returns Factor of at least 1
 */
export function computeQueueFactor(
  otherRequests: number,
  slots: number,
): number {
  const slotCount = Math.max(1, slots);
  const queued = Math.max(0, otherRequests + 1 - slotCount);
  return 1 + queued / slotCount;
}
