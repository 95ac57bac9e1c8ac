/**
 * Endpoints that a gateway has lately seen leave, for the other gateways.
 */
import type {Clock, EndpointLife} from '@briarpin/coordination';
import type {LeavingEndpoint} from '@briarpin/messages';

/** Time for which a departure is told: several datagrams may be lost. */
const TOLD_MILLISECONDS = 2_500;

/** Remembers departures for a short time. */
export class RecentDepartures {
  private departures: Array<{life: EndpointLife; seenAt: number}> = [];

  /**
   * @param clock - Time
   */
  constructor(private readonly clock: Clock) {}

  /** Adds one. */
  add(life: EndpointLife): void {
    this.departures.push({life, seenAt: this.clock.now()});
  }

  /** Those that are still told. */
  list(): LeavingEndpoint[] {
    const now = this.clock.now();
    this.departures = this.departures.filter(
      ({seenAt}) => now - seenAt < TOLD_MILLISECONDS,
    );
    return this.departures.map(({life}) => ({
      endpoint: life.id,
      startedAt: life.startedAt ?? 0,
    }));
  }
}
