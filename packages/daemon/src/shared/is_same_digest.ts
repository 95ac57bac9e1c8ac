/**
 * Comparison of digests.
 */
import {timingSafeEqual} from 'node:crypto';

/**
 * Compares two digests; in constant time when their lengths are equal.
 */
export function isSameDigest(left: Buffer, right: Buffer): boolean {
  return left.length === right.length && timingSafeEqual(left, right);
}
