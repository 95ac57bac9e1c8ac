/**
 * HTTP gateway that forwards requests unchanged, according to their routes.
 */
import type http from 'node:http';

import type {CallerLimits} from '@briarpin/coordination';
import type {EndpointWork} from '@briarpin/messages';

import {
  admitRequest,
  type Admission,
  type AdmissionBounds,
  type ConfigurationSnapshot,
} from '../admit_request/admit_request.js';
import {CallerServer} from '../caller_server/caller_server.js';
import {createExchange} from '../create_exchange/create_exchange.js';
import {describeConnection} from '../describe_connection/describe_connection.js';
import {Evacuator} from '../evacuator/evacuator.js';
import type {RequestMetadata} from '../dialect/dialect.js';
import {failExchange} from '../fail_exchange/fail_exchange.js';
import type {Exchange, ExchangeResult} from '../exchange/exchange.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import {forwardCall} from '../forward_call/forward_call.js';
import {
  sendErrorResponse,
  getHttpStatus,
  type ErrorResponse,
} from '../error_response/error_response.js';
import {LastRequests} from '../last_requests/last_requests.js';
import type {MemoryAccount} from '../memory_budget/memory_budget.js';
import type {OpenRequest} from '../open_request/open_request.js';
import {NO_WORK} from '../open_work_table/open_work_table.js';
import {receiveBody} from '../receive_body/receive_body.js';
import {recordExchange} from '../record_exchange/record_exchange.js';
import {resolveStreamOrigin} from '../resolve_stream_origin/resolve_stream_origin.js';
import {runWithAccount} from '../run_with_account/run_with_account.js';
import {StreamSession} from '../stream_session/stream_session.js';

/** Limit of a request body until a configuration sets one. */
const DEFAULT_MAXIMUM_BODY_BYTES = 1_048_576;

/** Largest value of a field of 32 bits. */
const MAXIMUM_REPORTED_TOKENS = 2 ** 32 - 1;

/**
 * Estimates of endpoints without own work in a report, so that it usually fits
 * into one Ethernet frame.
 */
const MAXIMUM_IDLE_ESTIMATES = 12;

/** Options of {@link ForwardingGateway}. */
export interface ForwardingGatewayOptions {
  /** Returns the current configuration and its age. */
  readonly configurationSnapshot: () => ConfigurationSnapshot;
  readonly bounds: AdmissionBounds;
}

/** Accepts requests of callers and forwards them to endpoints. */
export class ForwardingGateway {
  private readonly sessions = new Set<StreamSession>();
  /** Moves streams off endpoints that are shutting down. */
  readonly evacuator: Evacuator;
  private readonly server: CallerServer;
  private readonly lastRequests: LastRequests;
  private maximumBodyBytes = DEFAULT_MAXIMUM_BODY_BYTES;

  /**
   * @param context - Services shared by the request handlers
   * @param options - Configuration in force and limits of its age
   */
  constructor(
    private readonly context: ForwardingContext,
    private readonly options: ForwardingGatewayOptions,
  ) {
    this.evacuator = new Evacuator(this.sessions, context);
    this.lastRequests = new LastRequests(context, {
      hasStreams: () => this.sessions.size > 0,
    });
    this.server = new CallerServer(context, {
      serve: open =>
        runWithAccount(context.memory, open.response, memory =>
          this.serve(open, memory),
        ),
      retryAfterMilliseconds: () =>
        this.lastRequests.createResponse().retryAfterMilliseconds,
    });
  }

  /** Number of requests in progress. */
  get openRequests(): number {
    return this.server.openRequests;
  }

  /**
   * Starts listening.
   *
   * @returns The port, which the system chooses if `port` is 0
   * @throws Error when the address cannot be bound
   */
  listen(address: {host: string; port: number}): Promise<number> {
    return this.server.listen(address);
  }

  /** Applies the body size limit and the timeouts of caller connections. */
  applyLimits(limits: CallerLimits): void {
    this.maximumBodyBytes = limits.maximumBodyBytes;
    this.server.applyLimits(limits);
  }

  /**
   * Returns this gateway's work by endpoint, to send to other gateways, then the
   * estimated pace of endpoints without work, which a full report leaves out.
   */
  readWork(): EndpointWork[] {
    const movable = this.evacuator.countMovableRuns();
    const {loads} = this.context;
    const paces = loads.createPaceReport();
    const busy = [...loads.localWork];
    const idle = [...paces.keys()]
      .filter(id => !loads.localWork.has(id))
      .slice(0, MAXIMUM_IDLE_ESTIMATES);
    return [...busy, ...idle.map(id => [id, NO_WORK] as const)].map(
      ([endpoint, work]) => ({
        endpoint,
        requests: work.requests,
        tokens: toReportedTokens(work.tokens),
        promptTokens: toReportedTokens(work.promptTokens),
        movableRuns: movable.get(endpoint) ?? 0,
        eventMicroseconds: paces.get(endpoint) ?? 0,
      }),
    );
  }

  /**
   * Computes when this gateway serves again.
   *
   * @returns Milliseconds; undefined while it does not shut down
   */
  computeReturnMilliseconds(): number | undefined {
    return this.lastRequests.computeReturnMilliseconds();
  }

  /**
   * Shuts down within the grace period: serves what can end in it, and answers
   * every request.
   *
   * @returns Resolves when no request is expected or the time is over
   */
  drain(): Promise<void> {
    return this.server.drain();
  }

  /** Stops listening, and closes all connections to callers and endpoints. */
  close(): void {
    this.server.close();
    this.context.client.close();
  }

  private async serve(open: OpenRequest, memory: MemoryAccount): Promise<void> {
    const {context} = this;
    const {request, response, metadata, controller} = open;
    const admission = this.admit(request, metadata);
    if (admission.kind === 'answered') {
      this.rejectRequest(open, admission.errorResponse);
      return;
    }
    const options = {
      route: admission.route,
      maximumBytes: this.maximumBodyBytes,
      memory,
    };
    const read = await receiveBody(open, options, context);
    if (read.kind === 'rejected') {
      this.rejectRequest(open, read.errorResponse, true);
      return;
    }
    if (read.kind === 'broken') {
      return;
    }
    const resolution = await resolveStreamOrigin(metadata, admission, {
      ...context,
      findService: name =>
        this.options.configurationSnapshot().configuration?.services.get(name),
    });
    if (resolution.kind === 'rejected') {
      this.rejectRequest(open, resolution.errorResponse);
      return;
    }
    if (response.destroyed) {
      return;
    }
    if (
      read.kind === 'interrupted' ||
      controller.signal.aborted ||
      !this.lastRequests.endsInTime(admission.route, metadata)
    ) {
      this.rejectRequest(open, this.lastRequests.createResponse());
      return;
    }
    const {service, origin} = resolution;
    const {connectionPosition, arrivedAt} = open;
    const exchange = createExchange(
      {
        request,
        response,
        metadata,
        connectionPosition,
        arrivedAt,
        controller,
        body: read.body,
        memory,
        origin,
      },
      {...admission, service},
      context.clock,
    );
    const result = await this.forward(exchange);
    recordExchange(
      exchange,
      result,
      this.context,
      this.options.configurationSnapshot(),
    );
  }

  private admit(
    request: http.IncomingMessage,
    metadata: RequestMetadata,
  ): Admission {
    const {options, context} = this;
    const url = request.url ?? '';
    const queryAt = url.indexOf('?');
    const admission = admitRequest(
      {
        host: request.headers.host ?? '',
        path: queryAt === -1 ? url : url.slice(0, queryAt),
        apiKey: metadata.apiKey,
      },
      options.configurationSnapshot(),
      options.bounds,
      context.random,
    );
    if (
      admission.kind === 'admitted' &&
      !this.lastRequests.endsInTime(admission.route, metadata)
    ) {
      const errorResponse = this.lastRequests.createResponse();
      return {kind: 'answered', errorResponse};
    }
    return admission;
  }

  private async forward(exchange: Exchange): Promise<ExchangeResult> {
    const refusal = this.context.quarantine.admit(exchange);
    if (refusal !== undefined) {
      return failExchange(exchange, this.context, {
        ...refusal,
        mayHaveRun: false,
      });
    }
    if (!exchange.route.isStream) {
      return forwardCall(exchange, this.context);
    }
    const session = new StreamSession(exchange, this.context);
    this.sessions.add(session);
    try {
      return await session.run();
    } finally {
      this.sessions.delete(session);
    }
  }

  private rejectRequest(
    {request, response, metadata, connectionPosition}: OpenRequest,
    errorResponse: ErrorResponse,
    readsRequestFirst = false,
  ): void {
    const {context} = this;
    context.metrics.countRequest(
      errorResponse.kind,
      getHttpStatus(errorResponse),
    );
    context.logger.info('refused', {
      request: metadata.requestId,
      kind: errorResponse.kind,
      reason: errorResponse.reason,
      age: Math.round(this.options.configurationSnapshot().ageMilliseconds),
      ...describeConnection(connectionPosition, context.shutdown),
    });
    sendErrorResponse(response, errorResponse, {
      dialect: context.dialect,
      readsRequestFirst,
      // A body that still arrives would meet a reset, which discards the response.
      closeConnection:
        request.complete &&
        !connectionPosition.isFollowed &&
        (errorResponse.kind === 'not_run' || context.shutdown.hasBegun),
    });
  }
}

/** Rounds tokens, and limits them to the field of the message. */
function toReportedTokens(tokens: number): number {
  return Math.min(MAXIMUM_REPORTED_TOKENS, Math.round(tokens));
}
