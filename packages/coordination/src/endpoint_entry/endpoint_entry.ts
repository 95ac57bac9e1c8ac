/**
 * What is known and reported of an endpoint.
 */

/** Entry that an endpoint publishes about itself. */
export interface EndpointEntry {
  /**
   * Identifier of the endpoint; distinguishes incarnations unless a restarted
   * endpoint keeps it.
   */
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly availabilityZone: string;
  /** Version of its software; versions have no order. */
  readonly softwareVersion: string;
  readonly state: 'ready' | 'draining';
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Warm-up time after the start, in milliseconds. */
  readonly coldMilliseconds: number;
  /** Start of this incarnation, in milliseconds since the epoch; optional. */
  readonly startedAt?: number;
  /** Increases with each entry of one incarnation; optional. */
  readonly sequence?: number;
}

/** Process lifetime of an endpoint, between a start and the next one. */
export interface EndpointIncarnation {
  readonly id: string;
  readonly startedAt?: number;
}

/** Reason why an incarnation of an endpoint no longer receives work. */
export type LeavingReason =
  | 'draining'
  | 'entry_removed'
  | 'restarted'
  | 'told_by_endpoint'
  | 'told_by_peer';

/** Departure of an incarnation, as processes report it to each other. */
export interface EndpointDeparture extends EndpointIncarnation {
  /**
   * True if the endpoint has announced it; false if its entry is gone or is of
   * another incarnation, so that a later entry of this one shows that it lives.
   */
  readonly hasNotice: boolean;
  /** Sequence number of the last entry that is known. */
  readonly sequence?: number;
}
