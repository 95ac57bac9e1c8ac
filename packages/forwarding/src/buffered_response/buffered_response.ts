/**
 * A response of an endpoint that has been read to its end.
 */

/** A response of an endpoint whose body has been read to its end. */
export interface BufferedResponse {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer;
}
