/**
 * Tells which HTTP responses can have a body.
 */

/** Statuses whose responses end with their head, whatever their headers say. */
const STATUSES_WITHOUT_BODY: readonly number[] = [204, 304];

/**
 * Returns whether a final response can have a body.
 *
 * @param method - Method of the request
 * @param status - Status of the response
 * @returns False for a response that is complete at its head
 */
export function canHaveBody(
  method: string | undefined,
  status: number | undefined,
): boolean {
  return method !== 'HEAD' && !STATUSES_WITHOUT_BODY.includes(status ?? 0);
}
