/**
 * What a gateway on a machine tells about itself.
 */
import type {InstanceSettings} from '@briarpin/machines';
import {
  countEvents,
  createGatewayMetrics,
  createLogger,
  DroppingStream,
  HistogramRegistry,
  limitEvents,
  type EventLogger,
  type GatewayGauges,
  type GatewayMetrics,
} from '@briarpin/telemetry';

/** Histograms kept for organisations and routes. */
const HISTOGRAM_SERIES = 512;

/** Lines of the log in a second from which requests are sampled. */
const LOG_LINES_PER_SECOND = 200;

/** Logs, histograms and metrics of a process. */
export interface Telemetry {
  readonly logger: EventLogger;
  readonly histograms: HistogramRegistry;
  readonly metrics: GatewayMetrics;
}

/**
 * Creates the telemetry of a gateway.
 *
 * @param settings - Settings of the instance
 * @param stream - Where its log goes
 * @param gauges - Values that are read when metrics are rendered
 */
export function createTelemetry(
  settings: InstanceSettings,
  stream: NodeJS.WritableStream,
  gauges: GatewayGauges,
): Telemetry {
  const histograms = new HistogramRegistry(HISTOGRAM_SERIES);
  const metrics = createGatewayMetrics(histograms, gauges);
  const lines = createLogger({
    level: 'info',
    fields: {instance: settings.instance},
    stream,
  });
  const limited = limitEvents(lines, {
    linesPerSecond: LOG_LINES_PER_SECOND,
    now: () => performance.now(),
    consumeDroppedCount: () =>
      stream instanceof DroppingStream ? stream.consumeDroppedCount() : 0,
  });
  const logger = countEvents(limited, event => metrics.countEvent(event));
  return {logger, histograms, metrics};
}
