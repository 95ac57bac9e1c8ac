/**
 * Records an ended request in the log, the metrics and the histograms.
 */
import type {ConfigurationSnapshot} from '../admit_request/admit_request.js';
import {describeConnection} from '../describe_connection/describe_connection.js';
import type {Exchange, ExchangeResult} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';

/**
 * Records the end of a request.
 *
 * @param exchange - The request
 * @param result - How the request ended
 * @param context - Clock, log, metrics and histograms
 * @param snapshot - Configuration in force, and its age
 */
export function recordExchange(
  exchange: Exchange,
  result: ExchangeResult,
  context: Pick<
    ForwardingContext,
    'clock' | 'metrics' | 'histograms' | 'logger' | 'shutdown' | 'durations'
  >,
  snapshot: ConfigurationSnapshot,
): void {
  const milliseconds = Math.round(context.clock.now() - exchange.arrivedAt);
  context.metrics.countRequest(result.outcome, result.status);
  if (result.outcome === 'done') {
    context.durations.record(exchange, milliseconds);
  }
  const {logger, shutdown} = context;
  logResult(exchange, result, {logger, shutdown, snapshot, milliseconds});
  recordLatencies(exchange, result, {
    histograms: context.histograms,
    milliseconds,
  });
}

function logResult(
  exchange: Exchange,
  {outcome, status, reason, firstByteMilliseconds}: ExchangeResult,
  {
    logger,
    shutdown,
    snapshot: {configuration, ageMilliseconds},
    milliseconds,
  }: Pick<ForwardingContext, 'logger' | 'shutdown'> & {
    readonly snapshot: ConfigurationSnapshot;
    readonly milliseconds: number;
  },
): void {
  const {metadata, route, organisation, triedEndpointIds} = exchange;
  // Warnings are exempt from the log's budget, so every failure is logged.
  const level = outcome === 'done' ? 'info' : 'warn';
  logger[level]('request', {
    request: metadata.requestId,
    resumes: metadata.resumedRequestId,
    after_event: metadata.lastEventId,
    organisation: organisation?.name,
    route: route.name,
    configuration: configuration?.version,
    age: Math.round(ageMilliseconds),
    outcome,
    status,
    reason,
    endpoints: triedEndpointIds.join(','),
    first:
      firstByteMilliseconds === undefined
        ? undefined
        : Math.round(firstByteMilliseconds),
    milliseconds,
    ...describeConnection(exchange.connectionPosition, shutdown),
  });
}

function recordLatencies(
  {organisation, route}: Exchange,
  {firstByteMilliseconds}: ExchangeResult,
  {
    histograms,
    milliseconds,
  }: Pick<ForwardingContext, 'histograms'> & {readonly milliseconds: number},
): void {
  const name = organisation?.name ?? 'public';
  if (firstByteMilliseconds !== undefined) {
    histograms.record(
      'first_token_milliseconds',
      name,
      route.name,
      firstByteMilliseconds,
    );
  }
  histograms.record('end_to_end_milliseconds', name, route.name, milliseconds);
}
