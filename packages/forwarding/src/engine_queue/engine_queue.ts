/**
 * Requests that wait at the gateway until an engine, or an endpoint of a plain
 * service, has room.
 */
import type {Clock, RoutedService} from '@briarpin/coordination';
import {findCallRoom, findEngineRoom} from '@briarpin/scheduling';
import type {QueueSummary} from '@briarpin/telemetry';

import {createAdmissionRequest} from '../create_admission_request/create_admission_request.js';
import {
  createNotSent,
  type EngineAcquisition,
} from '../engine_acquisition/engine_acquisition.js';
import {findUntriedEndpoints} from '../find_untried_endpoints/find_untried_endpoints.js';
import type {Exchange} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {RunTimes} from '../run_times/run_times.js';
import {ServiceQueue} from '../service_queue/service_queue.js';
import {summariseQueue} from '../summarise_queue/summarise_queue.js';

/** Mean interval of the reviews while requests wait. */
const REVIEW_INTERVAL_MILLISECONDS = 20;

/** Reviews on the timer and after reports are at least this far apart. */
const MINIMUM_REVIEW_INTERVAL_MILLISECONDS = 10;

/** Options of {@link EngineQueue}. */
export interface EngineQueueOptions {
  readonly clock: Clock;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/**
 * Lets requests wait until the admission of their service starts or rejects
 * them. Reviews the waiting requests when work of this gateway ends, when other
 * gateways report, and on a timer while any request waits.
 */
export class EngineQueue {
  private readonly services = new Map<string, ServiceQueue>();
  private readonly runTimes = new RunTimes();
  private lastIdentifier = 0;
  private reviewedAt = Number.NEGATIVE_INFINITY;
  private isTimerRunning = false;
  private isReviewRequested = false;

  /**
   * @param options - Clock and random source
   */
  constructor(private readonly options: EngineQueueOptions) {}

  /** Number of waiting requests. */
  get size(): number {
    let size = 0;
    this.services.forEach(service => (size += service.size));
    return size;
  }

  /**
   * Waits for an engine with room for a request.
   *
   * @param exchange - The request
   * @param context - Shared context of the gateway
   * @returns The engine; a failure with `Retry-After` if the request cannot be
   *   served in its time, its caller has disconnected or the gateway shuts
   *   down; or that no engine may run it
   */
  acquire(
    exchange: Exchange,
    context: ForwardingContext,
  ): Promise<EngineAcquisition> {
    if (exchange.signal.aborted) {
      return Promise.resolve(createNotSent('the caller left before it waited'));
    }
    if (findUntriedEndpoints(exchange, context).length === 0) {
      return Promise.resolve({kind: 'none'});
    }
    return new Promise<EngineAcquisition>(resolve =>
      this.submit(exchange, context, resolve),
    ).then(acquisition =>
      exchange.signal.aborted
        ? createNotSent('the caller left or the time is over')
        : acquisition,
    );
  }

  /**
   * Reviews the waiting requests once the current callbacks have run, after work
   * of this gateway has ended. Requests that were placed before are then counted
   * at their engines.
   */
  requestReview(): void {
    if (this.isReviewRequested || this.size === 0) {
      return;
    }
    this.isReviewRequested = true;
    setImmediate(() => {
      this.isReviewRequested = false;
      this.review();
    });
  }

  /** Reviews the waiting requests. */
  review(): void {
    this.reviewedAt = this.options.clock.now();
    this.services.forEach(service => service.review(this.reviewedAt));
  }

  /** Reviews the waiting requests after a report of another gateway. */
  reviewAfterReport(): void {
    const elapsed = this.options.clock.now() - this.reviewedAt;
    if (this.size > 0 && elapsed >= MINIMUM_REVIEW_INTERVAL_MILLISECONDS) {
      this.review();
    }
  }

  /**
   * Records that a run has ended at an engine.
   *
   * @param route - Name of its route
   * @param outputTokens - Tokens that it generated; 0 for a call
   * @param milliseconds - Time since it was sent
   */
  recordRun(route: string, outputTokens: number, milliseconds: number): void {
    this.runTimes.record(route, outputTokens, milliseconds);
  }

  /**
   * Estimates how long a run takes.
   *
   * @param route - Name of its route
   * @param outputTokens - Tokens that it is expected to generate; 0 for a call
   * @returns Milliseconds; 0 while no run of the route has ended
   */
  estimateRun(route: string, outputTokens: number): number {
    return this.runTimes.estimate(route, outputTokens);
  }

  /**
   * Charges an organisation for work that it received from engines through other
   * gateways. Plain services count calls, which are not reported, instead of
   * tokens.
   *
   * @param organisation - The organisation
   * @param tokens - Prompt and output tokens
   */
  charge(organisation: string, tokens: number): void {
    const now = this.options.clock.now();
    for (const service of this.services.values()) {
      if (service.countsTokens) {
        service.charge(organisation, tokens, now);
      }
    }
  }

  /** Summarises the waiting requests and the recent work by organisation. */
  summarise(): QueueSummary[] {
    const now = this.options.clock.now();
    const waiting: string[] = [];
    const work = new Map<string, number>();
    for (const service of this.services.values()) {
      waiting.push(...service.listOrganisations());
      service
        .sumRecentWork(now)
        .forEach((tokens, organisation) =>
          work.set(organisation, (work.get(organisation) ?? 0) + tokens),
        );
    }
    return summariseQueue(waiting, work);
  }

  private submit(
    exchange: Exchange,
    context: ForwardingContext,
    onSettled: (acquisition: EngineAcquisition) => void,
  ): void {
    this.lastIdentifier += 1;
    const request = createAdmissionRequest(exchange, context, {
      id: String(this.lastIdentifier),
      runTimes: this.runTimes,
    });
    this.findService(exchange.service).submit(
      {request, exchange, context, onSettled},
      this.options.clock.now(),
    );
    this.startTimer();
  }

  private findService({name, engine}: RoutedService): ServiceQueue {
    let service = this.services.get(name);
    if (service === undefined) {
      service = new ServiceQueue({
        random: this.options.random,
        findRoom: engine === undefined ? findCallRoom : findEngineRoom,
        countsTokens: engine !== undefined,
      });
      this.services.set(name, service);
    }
    return service;
  }

  private startTimer(): void {
    if (!this.isTimerRunning && this.size > 0) {
      this.isTimerRunning = true;
      void this.runTimer();
    }
  }

  private async runTimer(): Promise<void> {
    const {clock, random} = this.options;
    while (this.size > 0) {
      // Gateways that review at different moments do not all fill the same room.
      const interval = REVIEW_INTERVAL_MILLISECONDS * (0.5 + random());
      await clock.sleep(interval);
      if (
        clock.now() - this.reviewedAt >=
        MINIMUM_REVIEW_INTERVAL_MILLISECONDS
      ) {
        this.review();
      }
    }
    this.isTimerRunning = false;
  }
}
