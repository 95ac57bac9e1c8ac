/**
 * What became of one request, from the logs of all instances.
 */
import {parseLogLine} from '@briarpin/telemetry';

/** One line of the timeline. */
export interface ExplainedStep {
  readonly time: string;
  readonly instance: string;
  readonly text: string;
}

/** A request, explained. */
export interface Explanation {
  readonly steps: readonly ExplainedStep[];
  readonly cause: string;
}

type LogFields = Readonly<Record<string, string>>;

/** Events of an instance that explain requests which do not name them. */
const INSTANCE_EVENTS: readonly string[] = [
  'store_lost',
  'store_regained',
  'leaving',
  'started',
  'log_reduced',
];

/** Fields that name endpoints. */
const ENDPOINT_FIELDS = ['endpoint', 'endpoints', 'source', 'target'] as const;

/** Events of endpoints that explain requests there. */
const ENDPOINT_EVENTS: readonly string[] = [
  'endpoint_leaving',
  'endpoint_ready',
  'evacuation',
];

/** Fields that every line has. */
const COMMON_FIELDS: readonly string[] = [
  'time',
  'level',
  'event',
  'instance',
  'request',
];

/**
 * Explains a request.
 *
 * Beside its own lines, the timeline shows what its gateway lost or regained
 * while it was open, and what became of the endpoints that it was at.
 *
 * @param lines - Lines of the logs, of any instances, in any order
 * @param requestId - The request
 * @returns Its timeline and the cause of its end; undefined when no line
 *     names it
 *
 * @example
 * explainRequest(readFileSync('log', 'utf8').split('\n'), '9c41d07be2a35f68');
 */
export function explainRequest(
  lines: Iterable<string>,
  requestId: string,
): Explanation | undefined {
  const all = [...lines]
    .map(parseLogLine)
    .filter(fields => fields['event'] !== undefined)
    .sort(byTime);
  const own = all.filter(fields => fields['request'] === requestId);
  const last = own.at(-1);
  if (last === undefined) {
    return undefined;
  }
  const context = findContext(all, own);
  const timeline = all.filter(
    fields => own.includes(fields) || context.includes(fields),
  );
  return {
    steps: timeline.map(toStep),
    cause: findCause(own, context),
  };
}

function byTime(left: LogFields, right: LogFields): number {
  return (left['time'] ?? '') < (right['time'] ?? '') ? -1 : 1;
}

/** Lines that do not name the request and explain it. */
function findContext(
  all: readonly LogFields[],
  own: readonly LogFields[],
): LogFields[] {
  const startedAt = findStart(own);
  const endedAt = toMilliseconds(own.at(-1));
  const instances = new Set(own.map(fields => fields['instance']));
  const endpoints = new Set(own.flatMap(readEndpoints));
  return all.filter(fields => {
    const at = toMilliseconds(fields);
    const event = fields['event'] ?? '';
    if (at < startedAt || at > endedAt || !instances.has(fields['instance'])) {
      return false;
    }
    return (
      INSTANCE_EVENTS.includes(event) ||
      (ENDPOINT_EVENTS.includes(event) &&
        endpoints.has(fields['endpoint'] ?? ''))
    );
  });
}

/** The last line tells how long the request was open. */
function findStart(own: readonly LogFields[]): number {
  const durations = own.map(fields => Number(fields['milliseconds'] ?? 0));
  const age = Number(own.at(-1)?.['age'] ?? 0);
  const longest = Math.max(0, ...durations);
  return toMilliseconds(own[0]) - longest - age;
}

function toMilliseconds(fields: LogFields | undefined): number {
  return Date.parse(fields?.['time'] ?? '');
}

function readEndpoints(fields: LogFields): string[] {
  return ENDPOINT_FIELDS.flatMap(name =>
    (fields[name] ?? '').split(','),
  ).filter(name => name !== '');
}

function toStep(fields: LogFields): ExplainedStep {
  const details = Object.entries(fields)
    .filter(([name]) => !COMMON_FIELDS.includes(name))
    .map(([name, value]) => `${name}=${value}`);
  return {
    time: fields['time'] ?? '',
    instance: fields['instance'] ?? '',
    text: [fields['event'], ...details].join(' '),
  };
}

function findCause(
  own: readonly LogFields[],
  context: readonly LogFields[],
): string {
  const last = own.at(-1) ?? {};
  const reason = last['reason'] ?? 'no reason was logged';
  if (last['event'] === 'refused') {
    return explainRefusal(last, context);
  }
  if (last['event'] !== 'request') {
    return 'no line tells the end: the process ended, or the log is cut';
  }
  if (last['outcome'] === 'done') {
    return `answered with ${last['status']}`;
  }
  const broke = own.findLast(fields => fields['event'] === 'stream_broke');
  if (broke !== undefined && last['status'] === '200') {
    return explainCut(own, broke, context);
  }
  const failures = own
    .filter(fields => fields['event'] === 'attempt_failed')
    .map(fields => `${fields['endpoint']}: ${fields['reason']}`);
  const attempts = failures.length === 0 ? '' : ` (${failures.join('; ')})`;
  switch (last['outcome']) {
    case 'not_run':
      return `not run: ${reason}${attempts}`;
    case 'left':
      return `the caller left: ${reason}`;
    default:
      return `it may have run: ${reason}${attempts}`;
  }
}

function explainRefusal(
  refused: LogFields,
  context: readonly LogFields[],
): string {
  const lost = context.findLast(fields => fields['event'] === 'store_lost');
  const why =
    lost === undefined ? '' : `; the store was lost: ${lost['cause']}`;
  const {reason, age} = refused;
  return `refused by the gateway: ${reason}; its knowledge was ${age} ms old${why}`;
}

/** A stream that was cut: why its engine ended, and why it did not go on. */
function explainCut(
  own: readonly LogFields[],
  broke: LogFields,
  context: readonly LogFields[],
): string {
  const {endpoint, reason} = broke;
  const leaving = context.find(
    fields =>
      fields['event'] === 'endpoint_leaving' && fields['endpoint'] === endpoint,
  );
  const moveFailed = own.findLast(fields => fields['event'] === 'move_failed');
  const engine =
    leaving === undefined
      ? `engine ${endpoint} broke it off without a notice (${reason})`
      : `engine ${endpoint} left (${leaving['reason']})`;
  const move =
    moveFailed === undefined
      ? 'the run was not moved in time'
      : `the run could not be moved: ${moveFailed['reason']}`;
  const goesOn = leaving === undefined ? 'the route allows no new run' : move;
  return `cut after ${broke['events']} events: ${engine}; ${goesOn}`;
}
