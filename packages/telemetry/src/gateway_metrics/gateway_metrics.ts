/**
 * Metrics of a gateway in the Prometheus text format.
 */
import {Counter, Gauge, Registry} from 'prom-client';

import type {HistogramRegistry} from '../histogram_registry/histogram_registry.js';
import {
  createQueueMetrics,
  type QueueGauges,
  type QueueMetrics,
} from '../queue_metrics/queue_metrics.js';

/** Counters of a gateway and the rendering of all its metrics. */
export interface GatewayMetrics extends QueueMetrics {
  /** Counts an ended request by its outcome and status. */
  readonly countRequest: (outcome: string, status: number) => void;
  /** Counts a log event by its name. */
  readonly countEvent: (event: string) => void;
  /** Counts a call to the platform's store by its topic and kind. */
  readonly countStoreCall: (topic: string, call: string) => void;
  /**
   * Counts a request that was rejected since no endpoint is in an allowed region
   * and zone, by its organisation.
   */
  readonly countUnallowedRequest: (organisation: string) => void;
  /** Counts a request or a copy of a run's memory sent to a cold endpoint. */
  readonly countColdRequest: () => void;
  /** Renders all metrics as text. */
  readonly render: () => Promise<string>;
  readonly contentType: string;
}

/** Pace of an endpoint. */
export interface PaceMetric {
  readonly endpoint: string;
  /** Time between two events, or of a call, without load. */
  readonly paceMilliseconds: number;
  /** Open requests that the endpoint takes now. */
  readonly concurrencyLimit: number;
  /** Open requests of all gateways. */
  readonly openRequests: number;
}

/** Values that are read when metrics are rendered. */
export interface GatewayGauges {
  readonly openRequests: () => number;
  readonly configurationVersion: () => number;
  readonly storeAgeMilliseconds: () => number;
  readonly readyEndpoints: () => number;
  /** Absent where no request waits for an engine. */
  readonly queue?: QueueGauges;
  /** Bytes of bodies, buffered responses and unsent bytes. */
  readonly heldBytes: () => number;
  /** Lists the endpoints that state their pace; absent if none can. */
  readonly listPaces?: () => readonly PaceMetric[];
}

/**
 * Creates the metrics of a gateway.
 *
 * The number of series is bounded: outcomes, statuses and event names are few,
 * and the histogram registry limits its own series.
 *
 * @param histograms - Latencies by organisation and class
 * @param gauges - Values that are read when metrics are rendered
 * @returns Functions that count and render
 */
export function createGatewayMetrics(
  histograms: HistogramRegistry,
  gauges: GatewayGauges,
): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'briarpin_requests_total',
    help: 'Requests that have ended.',
    labelNames: ['outcome', 'status'],
    registers,
  });
  const events = new Counter({
    name: 'briarpin_events_total',
    help: 'Events of the log, those that were sampled out included.',
    labelNames: ['event'],
    registers,
  });
  const storeCalls = new Counter({
    name: 'briarpin_store_calls_total',
    help: 'Calls to the store of the platform.',
    labelNames: ['topic', 'call'],
    registers,
  });
  const unallowedRequests = new Counter({
    name: 'briarpin_requests_without_allowed_endpoint_total',
    help: 'Requests rejected since no endpoint is in an allowed region and zone.',
    labelNames: ['organisation'],
    registers,
  });
  const coldRequests = new Counter({
    name: 'briarpin_cold_requests_total',
    help: 'Requests and copies of runs that were sent to cold endpoints.',
    registers,
  });
  addGauge('briarpin_open_requests', 'Requests that are open.', {
    registers,
    read: gauges.openRequests,
  });
  addGauge('briarpin_configuration_version', 'Version in force.', {
    registers,
    read: gauges.configurationVersion,
  });
  addGauge('briarpin_store_age_milliseconds', 'Age of what is in force.', {
    registers,
    read: gauges.storeAgeMilliseconds,
  });
  addGauge('briarpin_ready_endpoints', 'Endpoints that take work.', {
    registers,
    read: gauges.readyEndpoints,
  });
  addGauge(
    'briarpin_held_bytes',
    'Bytes of bodies, responses and unsent bytes.',
    {
      registers,
      read: gauges.heldBytes,
    },
  );
  addLatencies(histograms, registers);
  addPaces(gauges.listPaces ?? (() => []), registers);
  return {
    ...createQueueMetrics(registry, gauges.queue),
    countRequest: (outcome, status) =>
      requests.inc({outcome, status: String(status)}),
    countEvent: event => events.inc({event}),
    countStoreCall: (topic, call) => storeCalls.inc({topic, call}),
    countUnallowedRequest: organisation =>
      unallowedRequests.inc({organisation}),
    countColdRequest: () => coldRequests.inc(),
    render: () => registry.metrics(),
    contentType: registry.contentType,
  };
}

function addGauge(
  name: string,
  help: string,
  {registers, read}: {registers: Registry[]; read: () => number},
): void {
  const gauge: Gauge = new Gauge({
    name,
    help,
    registers,
    collect: () => gauge.set(read()),
  });
}

function addLatencies(
  histograms: HistogramRegistry,
  registers: Registry[],
): void {
  const gauge: Gauge = new Gauge({
    name: 'briarpin_latency_milliseconds',
    help: 'Latencies by organisation and class since the start.',
    labelNames: ['measure', 'organisation', 'class', 'quantile'],
    registers,
    collect: () => {
      for (const summary of histograms.summarise()) {
        const labels = {
          measure: summary.measure,
          organisation: summary.organisation,
          class: summary.requestClass,
        };
        gauge.set({...labels, quantile: '0.5'}, summary.p50);
        gauge.set({...labels, quantile: '0.95'}, summary.p95);
        gauge.set({...labels, quantile: '0.99'}, summary.p99);
        gauge.set({...labels, quantile: '1'}, summary.maximum);
      }
    },
  });
}

/** Adds the gauges of endpoints; those of an endpoint end when it leaves. */
function addPaces(
  listPaces: () => readonly PaceMetric[],
  registers: Registry[],
): void {
  const add = (
    name: string,
    help: string,
    read: (pace: PaceMetric) => number,
  ) => {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: ['endpoint'],
      registers,
      collect: () => {
        gauge.reset();
        for (const pace of listPaces()) {
          gauge.set({endpoint: pace.endpoint}, read(pace));
        }
      },
    });
  };
  add(
    'briarpin_endpoint_pace_milliseconds',
    'Time between two events, or of a call, without load.',
    ({paceMilliseconds}) => paceMilliseconds,
  );
  add(
    'briarpin_endpoint_concurrency_limit',
    'Open requests that an endpoint takes now.',
    ({concurrencyLimit}) => concurrencyLimit,
  );
  add(
    'briarpin_endpoint_open_requests',
    'Open requests of all gateways at an endpoint.',
    ({openRequests}) => openRequests,
  );
}
