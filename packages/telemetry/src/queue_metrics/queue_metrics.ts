/**
 * Metrics of the requests that wait at a gateway for an engine.
 */
import {Counter, Gauge, type Registry} from 'prom-client';

/** Waiting requests and recent work of one organisation. */
export interface QueueSummary {
  readonly organisation: string;
  /** Number of waiting requests. */
  readonly waiting: number;
  /** Share of the recent work of all organisations, 0 to 1. */
  readonly receivedShare: number;
  /** Share that it may expect while all others have work as well, 0 to 1. */
  readonly fairShare: number;
}

/** Values that are read when metrics are rendered. */
export interface QueueGauges {
  /** Returns the organisations with waiting requests or recent work. */
  readonly readOrganisations: () => readonly QueueSummary[];
  /** Returns true if no other gateway reports, although others exist. */
  readonly isAlone: () => boolean;
}

/** Metrics of the queue that are counted. */
export interface QueueMetrics {
  /** Counts a request that the queue rejected. */
  readonly countQueueRejection: (organisation: string, reason: string) => void;
}

/**
 * Creates the metrics of the queue.
 *
 * @param registry - Registry to which they are added
 * @param gauges - Values that are read when metrics are rendered; absent where
 *   no request waits
 */
export function createQueueMetrics(
  registry: Registry,
  gauges: QueueGauges | undefined,
): QueueMetrics {
  const registers = [registry];
  const rejections = new Counter({
    name: 'briarpin_queue_rejections_total',
    help: 'Requests that were rejected because no engine had room in time.',
    labelNames: ['organisation', 'reason'],
    registers,
  });
  if (gauges !== undefined) {
    addGauges(gauges, registers);
  }
  return {
    countQueueRejection: (organisation, reason) =>
      rejections.inc({organisation, reason}),
  };
}

function addGauges(
  {readOrganisations, isAlone}: QueueGauges,
  registers: Registry[],
): void {
  const waiting: Gauge = new Gauge({
    name: 'briarpin_queue_waiting',
    help: 'Requests that wait for an engine.',
    labelNames: ['organisation'],
    registers,
    collect: () => {
      waiting.reset();
      readOrganisations().forEach(summary =>
        waiting.set({organisation: summary.organisation}, summary.waiting),
      );
    },
  });
  const share: Gauge = new Gauge({
    name: 'briarpin_organisation_share',
    help: 'Share of the recent work at the engines, received and fair.',
    labelNames: ['organisation', 'kind'],
    registers,
    collect: () => {
      share.reset();
      for (const summary of readOrganisations()) {
        const {organisation, receivedShare, fairShare} = summary;
        share.set({organisation, kind: 'received'}, receivedShare);
        share.set({organisation, kind: 'fair'}, fairShare);
      }
    },
  });
  const alone: Gauge = new Gauge({
    name: 'briarpin_queue_alone',
    help: '1 while no other gateway reports its work, although others exist.',
    registers,
    collect: () => alone.set(isAlone() ? 1 : 0),
  });
}
