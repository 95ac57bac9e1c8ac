/**
 * Fingerprints of requests.
 */
import {createHash} from 'node:crypto';

/**
 * Computes the fingerprint of a request.
 *
 * @param organisation - Organisation that sent the request
 * @param fields - Values that identify the request, in a fixed order
 * @returns SHA-256 digest in hexadecimal
 *
 * @example
 * computeFingerprint('quilters', '/hold/1', body); //=> 'b5bb9d80…'
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
