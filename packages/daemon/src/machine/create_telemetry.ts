/**
 * Creates the logger, histograms and metrics of a gateway on a machine.
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

/** Maximum number of histogram series, by organisation and route. */
const HISTOGRAM_SERIES = 512;

/** Log lines per second above which lines about requests are sampled. */
const LOG_LINES_PER_SECOND = 200;

/** Logger, histograms and metrics of a process. */
export interface Telemetry {
  readonly logger: EventLogger;
  readonly histograms: HistogramRegistry;
  readonly metrics: GatewayMetrics;
}

/**
 * Creates the telemetry of a gateway.
 *
 * @param settings - Settings of the instance
 * @param stream - Output stream of the log
 * @param gauges - Functions that read the gauges when metrics are rendered
 */
export function createTelemetry(
  settings: InstanceSettings,
  stream: NodeJS.WritableStream,
  gauges: GatewayGauges,
): Telemetry {
  const histograms = new HistogramRegistry(HISTOGRAM_SERIES);
  const metrics = createGatewayMetrics(histograms, gauges);
  const streamLogger = createLogger({
    level: 'info',
    fields: {instance: settings.instance},
    stream,
  });
  const limitedLogger = limitEvents(streamLogger, {
    linesPerSecond: LOG_LINES_PER_SECOND,
    now: () => performance.now(),
    consumeDroppedCount: () =>
      stream instanceof DroppingStream ? stream.consumeDroppedCount() : 0,
  });
  const logger = countEvents(limitedLogger, event => metrics.countEvent(event));
  return {logger, histograms, metrics};
}
