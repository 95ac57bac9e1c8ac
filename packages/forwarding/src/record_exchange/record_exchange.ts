/**
 * What is kept of a request that has ended: a line, counts and latencies.
 */
import type {Knowledge} from '../admit_request/admit_request.js';
import type {
  Exchange,
  ExchangeEnd,
  ForwardingParts,
} from '../exchange/exchange.js';

/**
 * Records the end of a request.
 *
 * @param exchange - The request
 * @param end - How it ended
 * @param parts - Log, metrics and histograms
 * @param knowledge - What was in force, and how old that knowledge is
 */
export function recordExchange(
  exchange: Exchange,
  end: ExchangeEnd,
  parts: Pick<ForwardingParts, 'clock' | 'metrics' | 'histograms' | 'logger'>,
  knowledge: Knowledge,
): void {
  const milliseconds = Math.round(parts.clock.now() - exchange.arrivedAt);
  parts.metrics.countRequest(end.outcome, end.status);
  logEnd(exchange, end, {logger: parts.logger, knowledge, milliseconds});
  recordLatencies(exchange, end, {
    histograms: parts.histograms,
    milliseconds,
  });
}

function logEnd(
  {facts, route, organisation, tried}: Exchange,
  {outcome, status, reason, firstMilliseconds}: ExchangeEnd,
  {
    logger,
    knowledge: {configuration, ageMilliseconds},
    milliseconds,
  }: Pick<ForwardingParts, 'logger'> & {
    readonly knowledge: Knowledge;
    readonly milliseconds: number;
  },
): void {
  // A request that did not end well is kept whatever the log's budget.
  const level = outcome === 'done' ? 'info' : 'warn';
  logger[level]('request', {
    request: facts.requestId,
    organisation: organisation?.name,
    route: route.name,
    configuration: configuration?.version,
    age: Math.round(ageMilliseconds),
    outcome,
    status,
    reason,
    endpoints: tried.join(','),
    first:
      firstMilliseconds === undefined
        ? undefined
        : Math.round(firstMilliseconds),
    milliseconds,
  });
}

function recordLatencies(
  {organisation, route}: Exchange,
  {firstMilliseconds}: ExchangeEnd,
  {
    histograms,
    milliseconds,
  }: Pick<ForwardingParts, 'histograms'> & {readonly milliseconds: number},
): void {
  const name = organisation?.name ?? 'public';
  if (firstMilliseconds !== undefined) {
    histograms.record(
      'first_token_milliseconds',
      name,
      route.name,
      firstMilliseconds,
    );
  }
  histograms.record('end_to_end_milliseconds', name, route.name, milliseconds);
}
