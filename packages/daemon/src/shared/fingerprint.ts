/**
 * Fingerprints of requests and comparison of digests.
 */
import {createHash, timingSafeEqual} from 'node:crypto';

/**
 * Computes the fingerprint of a request.
 *
 * @param organisation - Organisation that sent the request
 * @param fields - Values that identify the request, in a fixed order
 * @returns SHA-256 digest in hexadecimal
 */
export function computeFingerprint(
  organisation: string,
  ...fields: readonly (string | Buffer)[]
): string {
  const hash = createHash('sha256').update(organisation);
  for (const field of fields) {
    hash.update('\n').update(field);
  }
  return hash.digest('hex');
}

/**
 * Compares two digests; in constant time when their lengths are equal.
 */
export function isSameDigest(left: Buffer, right: Buffer): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}
