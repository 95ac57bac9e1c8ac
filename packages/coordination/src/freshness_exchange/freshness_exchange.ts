/**
 * Proof, from another process that reads a topic, that the own copy is current.
 */
import {FreshnessMessage, type FreshnessAnswer} from '@briarpin/messages';

import type {Clock} from '../clock/clock.js';
import {WakeableSleep} from '../_lib/wakeable_sleep.js';
import type {EvacuatedZones} from '../evacuated_zones/evacuated_zones.js';
import type {StalenessTracker} from '../staleness_tracker/staleness_tracker.js';

/** Time to wait for an answer before another reader is asked. */
const ANSWER_TIMEOUT_MILLISECONDS = 150;

/** Longest time after which a change of the readers is noticed. */
const ROLE_CHECK_MILLISECONDS = 250;

/**
 * Shares of the time within which a change must be known: between two reads of
 * a reader, between two questions to a reader, and the age of the own copy at
 * which a process reads the topic itself. In the worst case the age of a copy
 * that is confirmed by answers is the sum of the first two, which leaves a tenth
 * for lost messages.
 */
const READER_POLL_SHARE = 0.2;
const QUESTION_SHARE = 0.2;
const MAXIMUM_AGE_SHARE = 0.5;

/**
 * Time after the start for which a store that has returned from a copy is not
 * trusted, unless all other processes have been heard: they may know of more.
 */
const DISTRUST_MILLISECONDS = 1_000;

/** Era of a store that has never returned from a copy. */
const FIRST_STORE_ERA = 1;

/** Reads without a confirmation after which the next one waits. */
const MAXIMUM_UNCONFIRMED_READS = 2;

/** Values of an identifier of a question. */
const QUESTION_IDENTIFIERS = 2 ** 48;

/** Options of {@link FreshnessExchange}. */
export interface FreshnessExchangeOptions {
  readonly clock: Clock;
  /** Random number generator, returns values in [0, 1). */
  readonly random: () => number;
  /** Age of the own copy; confirmed by answers. */
  readonly stalenessTracker: StalenessTracker;
  /** Time within which a change must be known, in milliseconds. */
  readonly boundMilliseconds: number;
  /** Returns the version of the own copy; undefined before the first read. */
  readonly version: () => number | undefined;
  /** Evacuated zones of the own copy, which are part of the topic. */
  readonly evacuatedZones: Pick<
    EvacuatedZones,
    'applyReport' | 'areInForce' | 'differsFrom' | 'listStored'
  >;
  /** Returns true while this process reads the topic on behalf of all. */
  readonly isReader: () => boolean;
  /** Returns the names of the other processes that do so. */
  readonly findReaders: () => readonly string[];
  /** Sends a message, which may be lost. */
  readonly sendMessage: (process: string, message: Uint8Array) => void;
  /** Returns true once every other process that is known has been heard. */
  readonly hasHeardAllOthers: () => boolean;
  /** Called when the store lacks a version that another process has read. */
  readonly onStoreBehind: (newestVersion: number) => void;
  /** Called when an answer has confirmed that the own copy is current. */
  readonly onConfirmed: () => void;
  /** Called for a message that cannot be decoded. */
  readonly onMalformed: (reason: string) => void;
}

/** A read of the topic that has returned. */
export interface CompletedRead {
  /** Time up to which it proves the state of the store. */
  readonly stateAt: number;
  /** Rises each time the store returns from a copy; optional. */
  readonly era?: number;
}

/**
 * Lets a few processes read a topic, while all others ask them how recent their
 * common version is. A process reads the topic itself when it hears of a newer
 * version, or when no answer has confirmed its copy in time.
 *
 * An answer proves only what held when it was created, and its way may take any
 * time. The age that it states therefore counts from the question, which was
 * asked before.
 *
 * @example
 * const exchange = new FreshnessExchange({clock, stalenessTracker, ...});
 * void exchange.run(signal);
 * await exchange.waitForNextRead(signal);
 */
export class FreshnessExchange {
  /** Times of the questions without an answer, by identifier. */
  private readonly askedAt = new Map<number, number>();
  /** Newest version heard of since the last read began. */
  private heardVersion = Number.NEGATIVE_INFINITY;
  /** Newest version ever heard of. */
  private newestVersion = Number.NEGATIVE_INFINITY;
  /** Read whose confirmation waits for word of the other processes. */
  private waitingRead: CompletedRead | undefined;
  /** Reads in a row that have confirmed nothing yet. */
  private unconfirmedReads = 0;
  private hasConfirmed = false;
  private readonly startedAt: number;
  /** True if an answer has named other zones since the last read began. */
  private hasHeardOfOtherZones = false;
  /** Last question whose answer was recent enough to confirm the own copy. */
  private answeredQuestion: number | undefined;
  /** Questions in a row without such an answer. */
  private unanswered = 0;
  private readonly answerSleep: WakeableSleep;
  private readonly readSleep: WakeableSleep;

  /**
   * @param options - Own copy, readers and messages
   */
  constructor(private readonly options: FreshnessExchangeOptions) {
    this.startedAt = options.clock.now();
    this.answerSleep = new WakeableSleep(options.clock);
    this.readSleep = new WakeableSleep(options.clock);
  }

  /** True while this process reads the topic on behalf of all. */
  get isReader(): boolean {
    return this.options.isReader();
  }

  /** Maximum time for which a read waits for a change, in milliseconds. */
  get longPollMilliseconds(): number {
    const {isReader, boundMilliseconds} = this.options;
    return isReader() ? boundMilliseconds * READER_POLL_SHARE : 0;
  }

  /**
   * Asks a reader periodically until the signal is aborted: often while the own
   * copy is not recent, so that it is confirmed soon after the readers' own.
   */
  async run(signal: AbortSignal): Promise<void> {
    const {clock, isReader, findReaders} = this.options;
    while (!signal.aborted) {
      const readers = isReader() ? [] : findReaders();
      const reader = readers[this.unanswered % Math.max(1, readers.length)];
      const isAnswered =
        reader !== undefined && (await this.ask(reader, signal));
      this.unanswered = isAnswered ? 0 : this.unanswered + 1;
      const hasAskedAll =
        reader === undefined || this.unanswered % readers.length === 0;
      if (isAnswered || hasAskedAll) {
        await clock.sleep(this.questionInterval, signal);
      }
    }
  }

  /**
   * Records that a read of the topic begins; must be called before it is sent.
   * It returns every version heard of so far.
   */
  recordReadStart(): void {
    this.heardVersion = Number.NEGATIVE_INFINITY;
    this.hasHeardOfOtherZones = false;
  }

  /**
   * Records a read that has returned and been applied. It confirms the own copy
   * unless another process has read a newer version: the store has then returned
   * from a copy and lacks what it had acknowledged. A process that has just
   * started asks itself whether others have, and waits for word of them.
   */
  recordRead(read: CompletedRead): void {
    this.waitingRead = read;
    this.unconfirmedReads += 1;
    this.confirmWaitingRead();
    if (this.unconfirmedReads === MAXIMUM_UNCONFIRMED_READS) {
      this.options.onStoreBehind(this.newestVersion);
    }
  }

  /** Waits until this process should read the topic. */
  async waitForNextRead(signal: AbortSignal): Promise<void> {
    if (this.unconfirmedReads >= MAXIMUM_UNCONFIRMED_READS) {
      await this.options.clock.sleep(ANSWER_TIMEOUT_MILLISECONDS, signal);
    }
    while (!signal.aborted && !this.needsRead()) {
      const remaining = this.maximumAge - this.ageMilliseconds;
      await this.readSleep.sleep(
        Math.max(1, Math.min(ROLE_CHECK_MILLISECONDS, remaining)),
        signal,
      );
    }
  }

  /** Records a version that another process has read. */
  recordVersion(version: number): void {
    this.heardVersion = Math.max(this.heardVersion, version);
    this.newestVersion = Math.max(this.newestVersion, version);
    this.confirmWaitingRead();
    if (this.hasHeardOfNewerVersion()) {
      this.readSleep.wake();
    }
  }

  /**
   * Handles a message of another process.
   *
   * @param encoded - The message
   * @param reply - Sends a message back to its sender
   */
  receive(encoded: Uint8Array, reply: (message: Uint8Array) => void): void {
    let message: FreshnessMessage;
    try {
      message = FreshnessMessage.decode(encoded);
    } catch (error) {
      const text = error instanceof Error ? error.message : String(error);
      this.options.onMalformed(text);
      return;
    }
    message.answers.forEach(answer => this.applyAnswer(answer));
    const version = this.options.version();
    if (message.asked.length > 0 && version !== undefined) {
      const zones = this.options.evacuatedZones;
      const evacuatedZones = [...zones.listStored()];
      // Answers that name zones which this process has not read confirm its copy
      // too; its age then does not hold for the zones that it has read.
      const ageMilliseconds = zones.areInForce(evacuatedZones)
        ? this.ageMilliseconds
        : Math.max(this.ageMilliseconds, this.maximumAge);
      const answers = message.asked.map(question => ({
        question,
        version,
        ageMilliseconds,
        evacuatedZones,
      }));
      reply(FreshnessMessage.encode({asked: [], answers}).finish());
    }
  }

  private confirmWaitingRead(): void {
    const read = this.waitingRead;
    if (read === undefined) {
      return;
    }
    if (!this.hasNewestVersion()) {
      this.waitingRead = undefined;
    } else if (this.hasConfirmed || this.isTrusted(read)) {
      this.waitingRead = undefined;
      this.unconfirmedReads = 0;
      this.hasConfirmed = true;
      this.options.stalenessTracker.confirm(read.stateAt);
    }
  }

  /** Returns whether the first read of this process may confirm its copy. */
  private isTrusted({era = FIRST_STORE_ERA}: CompletedRead): boolean {
    const {clock, hasHeardAllOthers} = this.options;
    return (
      era <= FIRST_STORE_ERA ||
      hasHeardAllOthers() ||
      clock.now() - this.startedAt >= DISTRUST_MILLISECONDS
    );
  }

  /** Returns whether no other process is known to have a newer version. */
  private hasNewestVersion(): boolean {
    const own = this.options.version() ?? Number.NEGATIVE_INFINITY;
    return own >= this.newestVersion;
  }

  private get ageMilliseconds(): number {
    return this.options.stalenessTracker.ageMilliseconds();
  }

  private get questionInterval(): number {
    return this.ageMilliseconds < this.maximumAge
      ? this.options.boundMilliseconds * QUESTION_SHARE
      : ANSWER_TIMEOUT_MILLISECONDS;
  }

  private get maximumAge(): number {
    return this.options.boundMilliseconds * MAXIMUM_AGE_SHARE;
  }

  private needsRead(): boolean {
    return (
      this.options.isReader() ||
      this.hasHeardOfNewerVersion() ||
      this.hasHeardOfOtherZones ||
      this.ageMilliseconds >= this.maximumAge
    );
  }

  private hasHeardOfNewerVersion(): boolean {
    const own = this.options.version() ?? Number.NEGATIVE_INFINITY;
    return this.heardVersion > own;
  }

  /** Asks a reader; resolves to whether a recent answer comes in time. */
  private async ask(reader: string, signal: AbortSignal): Promise<boolean> {
    const {random, stalenessTracker, sendMessage} = this.options;
    const question = Math.floor(random() * QUESTION_IDENTIFIERS);
    this.forgetOldQuestions();
    this.askedAt.set(question, stalenessTracker.readTime());
    sendMessage(
      reader,
      FreshnessMessage.encode({asked: [question], answers: []}).finish(),
    );
    await this.answerSleep.sleep(ANSWER_TIMEOUT_MILLISECONDS, signal);
    return this.answeredQuestion === question;
  }

  /** Forgets the questions whose answers would confirm nothing any more. */
  private forgetOldQuestions(): void {
    const oldest = this.options.stalenessTracker.readTime() - this.maximumAge;
    for (const [question, askedAt] of this.askedAt) {
      if (askedAt < oldest) {
        this.askedAt.delete(question);
      }
    }
  }

  private applyAnswer({
    question,
    version,
    ageMilliseconds,
    evacuatedZones,
  }: FreshnessAnswer): void {
    const askedAt = this.askedAt.get(question);
    if (askedAt === undefined || !(ageMilliseconds >= 0)) {
      return;
    }
    this.askedAt.delete(question);
    if (ageMilliseconds < this.maximumAge) {
      this.answeredQuestion = question;
    }
    this.answerSleep.wake();
    this.recordVersion(version);
    const stateAt = askedAt - ageMilliseconds;
    this.recordZones(evacuatedZones, stateAt);
    const own = this.options.version();
    if (
      own !== undefined &&
      own >= version &&
      this.hasNewestVersion() &&
      this.options.evacuatedZones.areInForce(evacuatedZones)
    ) {
      this.options.stalenessTracker.confirm(stateAt);
      this.options.onConfirmed();
    }
  }

  /**
   * Applies the zones of an answer. Zones of a recent one are evacuated here too
   * before the own copy has been read, as this process may not reach the store.
   */
  private recordZones(
    availabilityZones: readonly string[],
    stateAt: number,
  ): void {
    const {evacuatedZones, stalenessTracker} = this.options;
    const receivedAt = stalenessTracker.readTime();
    if (receivedAt - stateAt < this.maximumAge) {
      evacuatedZones.applyReport({availabilityZones, receivedAt, stateAt});
    }
    if (evacuatedZones.differsFrom(availabilityZones)) {
      this.hasHeardOfOtherZones = true;
      this.readSleep.wake();
    }
  }
}
