/**
 * Services that request handlers share.
 */
import type {
  AwaitedRead,
  Clock,
  EndpointRegistry,
} from '@briarpin/coordination';
import type {
  EventLogger,
  GatewayMetrics,
  HistogramRegistry,
  QueueSummary,
} from '@briarpin/telemetry';

import type {ColdEndpoints} from '../cold_endpoints/cold_endpoints.js';
import type {CrashQuarantine} from '../crash_quarantine/crash_quarantine.js';
import type {Dialect} from '../dialect/dialect.js';
import type {EndpointClient} from '../endpoint_client/endpoint_client.js';
import type {EndpointDoubts} from '../endpoint_doubts/endpoint_doubts.js';
import type {EndpointEligibility} from '../endpoint_eligibility/endpoint_eligibility.js';
import type {EndpointLimits} from '../endpoint_limits/endpoint_limits.js';
import type {EndpointLoads} from '../endpoint_loads/endpoint_loads.js';
import type {EngineAcquisition} from '../engine_acquisition/engine_acquisition.js';
import type {Exchange} from '../exchange/exchange.js';
import type {GatewayReturns} from '../gateway_returns/gateway_returns.js';
import type {MemoryBudget} from '../memory_budget/memory_budget.js';
import type {OrganisationWorkCounts} from '../organisation_work/organisation_work.js';
import type {RequestDurations} from '../request_durations/request_durations.js';
import type {RetryBudgets} from '../retry_budgets/retry_budgets.js';
import type {Shutdown} from '../shutdown/shutdown.js';
import type {StreamOrigins} from '../stream_origins/stream_origins.js';

/**
 * What request handlers need of the queue for engines, which itself uses the
 * context. {@link EngineQueue} describes each call.
 */
export interface EngineWaitingQueue {
  readonly acquire: (
    exchange: Exchange,
    context: ForwardingContext,
  ) => Promise<EngineAcquisition>;
  readonly requestReview: () => void;
  readonly reviewAfterReport: () => void;
  readonly recordRun: (
    route: string,
    outputTokens: number,
    milliseconds: number,
  ) => void;
  readonly estimateRun: (route: string, outputTokens: number) => number;
  readonly charge: (organisation: string, tokens: number) => void;
  readonly summarise: () => QueueSummary[];
}

/** Services and state of the gateway that request handlers use. */
export interface ForwardingContext {
  readonly dialect: Dialect;
  readonly client: EndpointClient;
  readonly endpoints: EndpointRegistry;
  /** Filters the endpoints that a request may use. */
  readonly eligibility: EndpointEligibility;
  /** Requests that this gateway may send to endpoints after their start. */
  readonly coldEndpoints: ColdEndpoints;
  /** Waits until the endpoints are known as of now. */
  readonly endpointsRead: Pick<AwaitedRead, 'wait'>;
  readonly loads: EndpointLoads;
  /** Rate limits that endpoints state. */
  readonly limits: EndpointLimits;
  /** Retry budgets by service. */
  readonly retryBudgets: RetryBudgets;
  readonly quarantine: CrashQuarantine;
  /** Endpoints that may have been replaced by later incarnations. */
  readonly doubts: Pick<
    EndpointDoubts,
    'isInDoubt' | 'recordBreak' | 'applyReport'
  >;
  /** How long requests have taken. */
  readonly durations: RequestDurations;
  /** Software versions at which the streams of all gateways began. */
  readonly streamOrigins: StreamOrigins;
  /** Region of an availability zone; undefined if it is not known. */
  readonly regionOf: (availabilityZone: string) => string | undefined;
  readonly clock: Clock;
  readonly random: () => number;
  readonly logger: EventLogger;
  readonly histograms: HistogramRegistry;
  readonly metrics: Pick<
    GatewayMetrics,
    'countRequest' | 'countUnallowedRequest' | 'countQueueRejection'
  >;
  /** Called when work starts that other gateways must count for placement. */
  readonly onWorkStarted: () => void;
  readonly shutdown: Shutdown;
  /** Memory for bodies, buffered responses and unsent bytes. */
  readonly memory: MemoryBudget;
  /** When the other gateways are expected to return that stop. */
  readonly gatewayReturns: GatewayReturns;
  /** True if requests wait at the gateway while no engine has room. */
  readonly queuesForEngines: () => boolean;
  /** Requests that wait for an engine. */
  readonly engineQueue: EngineWaitingQueue;
  /** Work by organisation; counted if requests wait for engines. */
  readonly organisationWork: OrganisationWorkCounts;
}
