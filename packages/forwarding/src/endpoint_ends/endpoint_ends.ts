/**
 * Finds out whether the process of an endpoint has ended.
 */
import {
  isLaterIncarnation,
  type EndpointEntry,
  type EndpointRegistry,
} from '@briarpin/coordination';
import type {ListenerState} from '@briarpin/platform';

/** What listens at the address of an endpoint. */
export interface ListenerIdentity {
  readonly state: ListenerState;
  /** Identifier by which it names itself; absent if it does not. */
  readonly id?: string;
  /** Start that it states, in milliseconds since the epoch; optional. */
  readonly startedAt?: number;
}

/** Options of {@link EndpointEnds}. */
export interface EndpointEndsOptions {
  readonly endpoints: Pick<EndpointRegistry, 'find'>;
  /** Asks which process listens at the address of an endpoint. */
  readonly identify: (endpoint: EndpointEntry) => Promise<ListenerIdentity>;
  /** Called when an endpoint is found to have ended. */
  readonly onEnded: (endpoint: EndpointEntry) => void;
}

/**
 * Decides whether an endpoint has ended, by proof and not by what its entry in
 * the store suggests: an endpoint whose entry is gone may be cut off from the
 * store, or leave without a notice, and serve on. And a process that listens at its
 * address may be the next one.
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
    const listener = await this.options.identify(endpoint);
    const hasEnded =
      listener.state === 'not_listening' ||
      isOther(listener, endpoint) ||
      this.hasLaterIncarnation(endpoint) ||
      (listener.state === 'undecided' && this.isGone(endpoint));
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

/** Returns whether a listener says that it is another process than an endpoint. */
function isOther(listener: ListenerIdentity, endpoint: EndpointEntry): boolean {
  const hasOtherId = listener.id !== undefined && listener.id !== endpoint.id;
  const hasOtherStart =
    listener.startedAt !== undefined &&
    endpoint.startedAt !== undefined &&
    listener.startedAt !== endpoint.startedAt;
  return hasOtherId || hasOtherStart;
}
