/**
 * Fingerprint by which a forwarded request is recognised when it comes again.
 */
import {computeFingerprint} from '@briarpin/coordination';

/** Digits of a fingerprint, short enough for log lines and datagrams. */
const FINGERPRINT_DIGITS = 16;

/** What two requests must have in common to count as the same one. */
export interface RequestIdentity {
  /** Absent where no key is required. */
  readonly organisation?: string;
  /** Path and query. */
  readonly path: string;
  readonly body: Buffer;
}

/**
 * Computes the fingerprint of a request.
 *
 * Every attempt of a caller has an identifier of its own, and the operators may
 * change the type of its route, so that neither is part of the fingerprint.
 *
 * @param identity - Caller, path and body of the request
 * @returns Hexadecimal digits
 *
 * @example
 * computeRequestFingerprint({path: '/stock/1', body}); //=> '4f6a3c0b9d1e2f75'
 */
export function computeRequestFingerprint({
  organisation = '',
  path,
  body,
}: RequestIdentity): string {
  const digest = computeFingerprint(organisation, path, body);
  return digest.slice(0, FINGERPRINT_DIGITS);
}
