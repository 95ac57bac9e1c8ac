/**
 * Requests that the scheduling decisions work on.
 */

/** Classes of requests, most urgent first. */
export const REQUEST_CLASSES = ['urgent', 'standard', 'deferrable'] as const;

/** Class of a request. */
export type RequestClassName = (typeof REQUEST_CLASSES)[number];

/** A generation that is queued for an engine or runs on it. */
export interface GenerationRequest {
  readonly id: string;
  readonly organisation: string;
  readonly requestClass: RequestClassName;
  /** Model or service for which lengths are recorded. */
  readonly model: string;
  readonly promptTokens: number;
  /** Limit of generated tokens; undefined when the caller set none. */
  readonly maximumTokens?: number;
  /** Milliseconds since the epoch. */
  readonly deadline: number;
  /** Weight of the organisation. */
  readonly weight: number;
  /** Number of endpoints that crashed while this request ran on them. */
  readonly suspectedDeaths: number;
}
