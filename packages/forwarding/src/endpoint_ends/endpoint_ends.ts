/**
 * Finds out whether the process of an endpoint has ended.
 */
import {
  isLaterIncarnation,
  type EndpointEntry,
  type EndpointRegistry,
} from '@briarpin/coordination';
import type {ListenerState} from '@briarpin/platform';

import type {EndpointAddress} from '../dialect/dialect.js';

/** Options of {@link EndpointEnds}. */
export interface EndpointEndsOptions {
  readonly endpoints: Pick<EndpointRegistry, 'find'>;
  readonly probeListener: (address: EndpointAddress) => Promise<ListenerState>;
  /** Called when an endpoint is found to have ended. */
  readonly onEnded: (endpoint: EndpointEntry) => void;
}

/**
 * Decides whether an endpoint has ended, by proof and not by what its entry in
 * the store suggests: an endpoint whose entry is gone may be cut off from the
 * store, or leave without a notice, and serve on.
 */
export class EndpointEnds {
  /**
   * @param options - Where evidence is found
   */
  constructor(private readonly options: EndpointEndsOptions) {}

  /**
   * Finds out whether an endpoint has ended, so that its open connections were
   * closed whatever it still had to send: after a crash, or after a shutdown that
   * it had announced.
   *
   * @param endpoint - Endpoint whose connection has just been closed in order
   * @returns True when it has ended; false when it has not, or nothing shows it
   */
  async hasEnded(endpoint: EndpointEntry): Promise<boolean> {
    if (this.hasLaterIncarnation(endpoint)) {
      return true;
    }
    const state = await this.options.probeListener(endpoint);
    const hasEnded =
      state === 'not_listening' ||
      this.hasLaterIncarnation(endpoint) ||
      (state === 'undecided' && this.isGone(endpoint));
    if (hasEnded) {
      this.options.onEnded(endpoint);
    }
    return hasEnded;
  }

  private hasLaterIncarnation(endpoint: EndpointEntry): boolean {
    const current = this.options.endpoints.find(endpoint.id);
    return current !== undefined && isLaterIncarnation(current, endpoint);
  }

  private isGone({id}: EndpointEntry): boolean {
    return this.options.endpoints.find(id) === undefined;
  }
}
