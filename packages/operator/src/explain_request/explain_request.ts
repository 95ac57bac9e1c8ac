/**
 * Explanation of the outcome of one request from the logs of all instances.
 */
import {parseLogLine} from '@briarpin/telemetry';

/** Log line in the timeline of a request. */
export interface TimelineStep {
  readonly time: string;
  readonly instance: string;
  readonly text: string;
}

/** Timeline of a request and the cause of its outcome. */
export interface Explanation {
  readonly steps: readonly TimelineStep[];
  readonly cause: string;
}

type LogFields = Readonly<Record<string, string>>;

/** Events of an instance that affect requests but contain no request id. */
const INSTANCE_EVENTS: readonly string[] = [
  'store_lost',
  'store_regained',
  'leaving',
  'started',
  'log_reduced',
];

/** Log fields that contain endpoint identifiers, separated by commas. */
const ENDPOINT_FIELDS = ['endpoint', 'endpoints', 'source', 'target'] as const;

/** Events of an endpoint that affect the requests sent to it. */
const ENDPOINT_EVENTS: readonly string[] = [
  'endpoint_leaving',
  'endpoint_ready',
  'evacuation',
];

/** Log fields that the text of a step omits. */
const COMMON_FIELDS: readonly string[] = [
  'time',
  'level',
  'event',
  'instance',
  'request',
];

/**
 * Explains the outcome of a request.
 *
 * The timeline contains the log lines of the request, and the events that its
 * gateway logged while the request was open or after its last read of the
 * store: loss and recovery of the store, and state changes of the endpoints
 * that the request was sent to.
 *
 * @param lines - Log lines of any instances, in any order
 * @param requestId - Request id
 * @returns Timeline of the request and the cause of its outcome; undefined when
 *     no line contains the request id
 *
 * @example
 * explainRequest(readFileSync('log', 'utf8').split('\n'), '9c41d07be2a35f68');
 */
export function explainRequest(
  lines: Iterable<string>,
  requestId: string,
): Explanation | undefined {
  const allLines = [...lines]
    .map(parseLogLine)
    .filter(fields => fields['event'] !== undefined)
    .sort(compareTime);
  const ownLines = allLines.filter(fields => fields['request'] === requestId);
  const last = ownLines.at(-1);
  if (last === undefined) {
    return undefined;
  }
  const relatedLines = findRelatedLines(allLines, ownLines);
  const timeline = allLines.filter(
    fields => ownLines.includes(fields) || relatedLines.includes(fields),
  );
  return {
    steps: timeline.map(toStep),
    cause: describeCause(ownLines, relatedLines),
  };
}

function compareTime(left: LogFields, right: LogFields): number {
  return (left['time'] ?? '') < (right['time'] ?? '') ? -1 : 1;
}

/** Returns the lines of other events that affected the request. */
function findRelatedLines(
  allLines: readonly LogFields[],
  ownLines: readonly LogFields[],
): LogFields[] {
  const periodStart = computePeriodStart(ownLines);
  const endedAt = toMilliseconds(ownLines.at(-1));
  const instances = new Set(ownLines.map(fields => fields['instance']));
  const endpoints = new Set(ownLines.flatMap(readEndpoints));
  return allLines.filter(fields => {
    const at = toMilliseconds(fields);
    const event = fields['event'] ?? '';
    if (
      at < periodStart ||
      at > endedAt ||
      !instances.has(fields['instance'])
    ) {
      return false;
    }
    return (
      INSTANCE_EVENTS.includes(event) ||
      (ENDPOINT_EVENTS.includes(event) &&
        endpoints.has(fields['endpoint'] ?? ''))
    );
  });
}

/**
 * Returns the start of the period whose events affected the request, in
 * milliseconds since the epoch.
 *
 * The period begins before the first line of the request: by the longest logged
 * duration, which the last line contains for the whole request, and by the age
 * of the data from the store in that line.
 */
function computePeriodStart(ownLines: readonly LogFields[]): number {
  const durations = ownLines.map(fields => Number(fields['milliseconds'] ?? 0));
  const age = Number(ownLines.at(-1)?.['age'] ?? 0);
  const longest = Math.max(0, ...durations);
  return toMilliseconds(ownLines[0]) - longest - age;
}

function toMilliseconds(fields: LogFields | undefined): number {
  return Date.parse(fields?.['time'] ?? '');
}

function readEndpoints(fields: LogFields): string[] {
  return ENDPOINT_FIELDS.flatMap(name =>
    (fields[name] ?? '').split(','),
  ).filter(name => name !== '');
}

function toStep(fields: LogFields): TimelineStep {
  const details = Object.entries(fields)
    .filter(([name]) => !COMMON_FIELDS.includes(name))
    .map(([name, value]) => `${name}=${value}`);
  return {
    time: fields['time'] ?? '',
    instance: fields['instance'] ?? '',
    text: [fields['event'], ...details].join(' '),
  };
}

function describeCause(
  ownLines: readonly LogFields[],
  relatedLines: readonly LogFields[],
): string {
  const last = ownLines.at(-1) ?? {};
  const reason = last['reason'] ?? 'no reason was logged';
  if (last['event'] === 'refused') {
    return explainRefusal(last, relatedLines);
  }
  if (last['event'] !== 'request') {
    return 'no line records the end: the process ended, or the log is incomplete';
  }
  if (last['outcome'] === 'done') {
    return `answered with ${last['status']}`;
  }
  const streamBroke = ownLines.findLast(
    fields => fields['event'] === 'stream_broke',
  );
  if (streamBroke !== undefined && last['status'] === '200') {
    return explainBrokenStream(ownLines, streamBroke, relatedLines);
  }
  const failures = ownLines
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
  relatedLines: readonly LogFields[],
): string {
  const storeLost = relatedLines.findLast(
    fields => fields['event'] === 'store_lost',
  );
  const storeDetail =
    storeLost === undefined
      ? ''
      : `; the store was unreachable: ${storeLost['cause']}`;
  const {reason, age} = refused;
  return `refused by the gateway: ${reason}; its data from the store was ${age} ms old${storeDetail}`;
}

/** Explains why a stream broke off and why no other engine continued it. */
function explainBrokenStream(
  ownLines: readonly LogFields[],
  streamBroke: LogFields,
  relatedLines: readonly LogFields[],
): string {
  const {endpoint, reason} = streamBroke;
  const leaving = relatedLines.find(
    fields =>
      fields['event'] === 'endpoint_leaving' && fields['endpoint'] === endpoint,
  );
  const moveFailed = ownLines.findLast(
    fields => fields['event'] === 'move_failed',
  );
  const engine =
    leaving === undefined
      ? `engine ${endpoint} broke it off without a notice (${reason})`
      : `engine ${endpoint} left (${leaving['reason']})`;
  const move =
    moveFailed === undefined
      ? 'the run was not moved in time'
      : `the run could not be moved: ${moveFailed['reason']}`;
  const continuation =
    leaving === undefined ? 'the route allows no new run' : move;
  return `cut after ${streamBroke['events']} events: ${engine}; ${continuation}`;
}
