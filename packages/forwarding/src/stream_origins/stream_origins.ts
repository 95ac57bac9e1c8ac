/**
 * Knowledge of the software versions at which the streams of all gateways began,
 * so that a caller may take its stream up at any gateway.
 */
import {
  KeeperSelector,
  StreamOriginTable,
  type Clock,
  type KnownStream,
  type StreamOrigin,
} from '@briarpin/coordination';
import {StreamOriginMessage, type StreamOriginGroup} from '@briarpin/messages';
import type {EventLogger} from '@briarpin/telemetry';

import {RecentRate} from '../recent_rate/recent_rate.js';

/**
 * Datagrams a second that a gateway sends for the streams that begin at it, in
 * the long run.
 */
const MAXIMUM_SENDS_PER_SECOND = 80;

/**
 * Least number of other gateways that keep the origin of a stream; some of them
 * may be lost together with the gateway where it began.
 */
const MINIMUM_KEEPERS = 3;

/** Gateways that are asked for the origin of a stream. */
const ASKED_GATEWAYS = 6;

/**
 * Time to wait for answers: a few round trips between regions. It delays only
 * callers whose streams this gateway does not know.
 */
const ANSWER_TIMEOUT_MILLISECONDS = 150;

/** Streams in a message, so that it fits into one Ethernet frame. */
const MAXIMUM_STREAMS_IN_MESSAGE = 48;

/** Streams that are looked through at once for a gateway that has started. */
const STREAMS_IN_PART = 256;

/** Time between two such parts. */
const PART_PAUSE_MILLISECONDS = 5;

/** Identifiers that are longer are not kept, so that messages stay small. */
const MAXIMUM_IDENTIFIER_LENGTH = 64;

const MILLISECONDS_PER_SECOND = 1_000;

/** Connection to the other gateways; messages may be lost. */
export interface OriginTransport {
  /** Names of the other gateways that messages come from. */
  readonly reachableGateways: readonly string[];
  /** Names of all other gateways, reachable or not. */
  readonly knownGateways: readonly string[];
  readonly sendMessage: (
    gateways: readonly string[],
    message: Uint8Array,
  ) => void;
}

/** Options of {@link StreamOrigins}. */
export interface StreamOriginsOptions {
  readonly clock: Clock;
  readonly logger: EventLogger;
  /** Returns the connection to the other gateways. */
  readonly transport: () => OriginTransport;
}

/** A question to the other gateways that is not answered yet. */
interface PendingQuestion {
  remainingAnswers: number;
  /** Ends the wait for answers. */
  readonly settle: () => void;
  /** Resolves when the wait has ended. */
  readonly settled: Promise<void>;
}

/**
 * Keeps the origins of streams at the gateway where they begin and at some
 * others: at all others while few streams begin, and at three or more when the
 * traffic must be bounded. A gateway that does not know a stream asks those that
 * would keep it. Nothing is kept in the store, so that neither its outage nor its
 * return from an old copy matters.
 */
export class StreamOrigins {
  private readonly table: StreamOriginTable;
  private readonly beginRate: RecentRate;
  private readonly selector = new KeeperSelector();
  private readonly pending = new Map<string, PendingQuestion>();

  /**
   * @param options - Clock, log and connection to the other gateways
   */
  constructor(private readonly options: StreamOriginsOptions) {
    const now = () => options.clock.now();
    this.table = new StreamOriginTable(now);
    this.beginRate = new RecentRate(now);
  }

  /**
   * Records where a stream begins here and tells the gateways that keep it. Must
   * be called before its caller receives the first event.
   */
  recordBegin(stream: KnownStream): void {
    if (stream.requestId.length > MAXIMUM_IDENTIFIER_LENGTH) {
      return;
    }
    this.table.record(stream);
    this.beginRate.record();
    const keepers = this.selectGateways(stream.requestId, this.countKeepers());
    this.send(keepers, {known: createGroups([stream])});
  }

  /**
   * Finds where a stream began, with the help of the other gateways.
   *
   * @param requestId - The caller's attempt that received its first event
   * @returns The origin; undefined when no gateway that answers knows it
   */
  async find(requestId: string): Promise<StreamOrigin | undefined> {
    const known = this.table.find(requestId);
    if (known !== undefined || requestId.length > MAXIMUM_IDENTIFIER_LENGTH) {
      return known?.origin;
    }
    const startedAt = this.options.clock.now();
    await this.ask(requestId);
    const origin = this.table.find(requestId)?.origin;
    this.options.logger.info('stream_origin_asked', {
      request: requestId,
      software: origin?.softwareVersion,
      milliseconds: Math.round(this.options.clock.now() - startedAt),
    });
    return origin;
  }

  /**
   * Tells a gateway that has just started the origins that it should keep, in
   * parts, so that neither side is busy for long.
   *
   * @returns Resolves when all are sent
   */
  async informNewGateway(gateway: string): Promise<void> {
    const streams = this.table.list();
    for (let start = 0; start < streams.length; start += STREAMS_IN_PART) {
      const kept = streams
        .slice(start, start + STREAMS_IN_PART)
        .filter(({requestId}) =>
          this.selectGateways(requestId, ASKED_GATEWAYS).includes(gateway),
        );
      this.sendInMessages(gateway, kept);
      await this.options.clock.sleep(PART_PAUSE_MILLISECONDS);
    }
  }

  /**
   * Handles a message of another gateway.
   *
   * @param encoded - The message
   * @param reply - Sends a message back to its sender
   */
  receive(encoded: Buffer, reply: (message: Uint8Array) => void): void {
    let message: StreamOriginMessage;
    try {
      message = StreamOriginMessage.decode(encoded);
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      this.options.logger.warn('stream_origins_broken', {message: text});
      return;
    }
    for (const stream of readGroups(message.known)) {
      this.table.record(stream);
      this.pending.get(stream.requestId)?.settle();
    }
    message.unknown.forEach(requestId => this.countAnswer(requestId));
    if (message.asked.length > 0) {
      reply(encode(this.createAnswer(message.asked)));
    }
  }

  private createAnswer(asked: readonly string[]): Partial<StreamOriginMessage> {
    const known: KnownStream[] = [];
    const unknown: string[] = [];
    for (const requestId of asked) {
      const stream = this.table.find(requestId);
      if (stream === undefined) {
        unknown.push(requestId);
      } else {
        known.push(stream);
      }
    }
    return {known: createGroups(known), unknown};
  }

  /** Resolves once the origin is known, or once no answer can be expected. */
  private ask(requestId: string): Promise<void> {
    const gateways = this.selectGateways(requestId, ASKED_GATEWAYS);
    const question = this.pending.get(requestId);
    if (question !== undefined || gateways.length === 0) {
      return question?.settled ?? Promise.resolve();
    }
    const controller = new AbortController();
    const settled = this.options.clock
      .sleep(ANSWER_TIMEOUT_MILLISECONDS, controller.signal)
      .then(() => void this.pending.delete(requestId));
    this.pending.set(requestId, {
      remainingAnswers: gateways.length,
      settle: () => controller.abort(),
      settled,
    });
    this.send(gateways, {asked: [requestId]});
    return settled;
  }

  private countAnswer(requestId: string): void {
    const question = this.pending.get(requestId);
    if (question === undefined) {
      return;
    }
    question.remainingAnswers -= 1;
    if (question.remainingAnswers === 0) {
      question.settle();
    }
  }

  private countKeepers(): number {
    const affordable = MAXIMUM_SENDS_PER_SECOND / this.beginRate.perSecond();
    return Math.max(MINIMUM_KEEPERS, Math.floor(affordable));
  }

  private selectGateways(requestId: string, count: number): readonly string[] {
    const {reachableGateways, knownGateways} = this.options.transport();
    const gateways =
      reachableGateways.length > 0 ? reachableGateways : knownGateways;
    return this.selector.select(gateways, requestId, count);
  }

  private sendInMessages(
    gateway: string,
    streams: readonly KnownStream[],
  ): void {
    for (
      let start = 0;
      start < streams.length;
      start += MAXIMUM_STREAMS_IN_MESSAGE
    ) {
      const part = streams.slice(start, start + MAXIMUM_STREAMS_IN_MESSAGE);
      this.send([gateway], {known: createGroups(part)});
    }
  }

  private send(
    gateways: readonly string[],
    message: Partial<StreamOriginMessage>,
  ): void {
    if (gateways.length > 0) {
      this.options.transport().sendMessage(gateways, encode(message));
    }
  }
}

function encode(message: Partial<StreamOriginMessage>): Uint8Array {
  return StreamOriginMessage.encode(
    StreamOriginMessage.fromPartial(message),
  ).finish();
}

/** Groups streams by their origin. */
function createGroups(streams: readonly KnownStream[]): StreamOriginGroup[] {
  const groups = new Map<string, StreamOriginGroup>();
  for (const {requestId, origin, lifetimeMilliseconds} of streams) {
    const key = JSON.stringify([origin.service, origin.softwareVersion]);
    const group = groups.get(key) ?? {...origin, streams: []};
    const seconds = Math.ceil(lifetimeMilliseconds / MILLISECONDS_PER_SECOND);
    group.streams.push({request: requestId, seconds});
    groups.set(key, group);
  }
  return [...groups.values()];
}

function readGroups(groups: readonly StreamOriginGroup[]): KnownStream[] {
  return groups.flatMap(({service, softwareVersion, streams}) =>
    streams.map(({request, seconds}) => ({
      requestId: request,
      origin: {service, softwareVersion},
      lifetimeMilliseconds: seconds * MILLISECONDS_PER_SECOND,
    })),
  );
}
