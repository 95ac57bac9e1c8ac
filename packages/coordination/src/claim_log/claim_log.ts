/**
 * Client for claims on keys, which are written to the log in batches and
 * resolved by reading the stream.
 */
import {randomUUID} from 'node:crypto';

import {
  validateClaimBatch,
  type ClaimEntry,
  type LogPage,
} from '@briarpin/messages';

import {computeBackoff} from '../_lib/backoff.js';
import type {AppendOnlyLog} from '../append_only_log/append_only_log.js';
import {
  ClaimTable,
  type Claim,
  type ClaimDecision,
} from '../claim_table/claim_table.js';
import type {Clock} from '../clock/clock.js';
import {CLAIMS_STREAM} from '../constants.js';
import {followLog} from '../follow_log/follow_log.js';

/** Options of {@link ClaimLog}. */
export interface ClaimLogOptions {
  readonly log: AppendOnlyLog;
  readonly clock: Clock;
  /** Random number generator for backoff jitter, returns values in [0, 1). */
  readonly random: () => number;
  /** Maximum duration of one long poll, in milliseconds. */
  readonly longPollMilliseconds: number;
  /** Time for which entries are batched before an append, in milliseconds. */
  readonly batchMilliseconds: () => number;
  /** Retention time of a claim, in milliseconds. */
  readonly windowMilliseconds: number;
}

/** Parameters of a claim. */
export interface ClaimRequest {
  readonly key: string;
  /** Identifier of this attempt, unique across processes. */
  readonly attempt: string;
  readonly fingerprint: string;
  /** Time after which the claim times out, in milliseconds since the epoch. */
  readonly deadline: number;
}

/** Decision on a claim, or `gave_up` when none was read before the deadline. */
export type ClaimResult = ClaimDecision | {readonly kind: 'gave_up'};

interface PendingClaim {
  readonly resolve: (decision: ClaimResult) => void;
}

/**
 * Claims keys and records outcomes through the log.
 *
 * A claim is decided only by reading the stream, so that an append whose
 * response was lost is resolved like any other. A claimant that times out must
 * never send its call: its abandonment is appended with unlimited retries and
 * releases the key.
 */
export class ClaimLog {
  private readonly table = new ClaimTable();
  private readonly pendingClaims = new Map<string, PendingClaim>();
  private readonly entryListeners = new Map<string, Set<() => void>>();
  private queuedEntries: ClaimEntry[] = [];
  private nextOffset = 1;
  private isFlushing = false;
  private appendAttempts = 0;
  private hasReadPage = false;

  constructor(private readonly options: ClaimLogOptions) {}

  /** Number of append attempts so far, including failed ones. */
  get appendCount(): number {
    return this.appendAttempts;
  }

  /** Number of keys currently held. */
  get claimCount(): number {
    return this.table.size;
  }

  /** True once the first read of the stream has succeeded. */
  get isReady(): boolean {
    return this.hasReadPage;
  }

  /**
   * Follows the claims stream until the signal is aborted.
   *
   * @param signal - Stops following the stream
   */
  async run(signal: AbortSignal): Promise<void> {
    const {log, clock, random, longPollMilliseconds} = this.options;
    await followLog(CLAIMS_STREAM, {
      log,
      clock,
      random,
      longPollMilliseconds,
      signal,
      position: () => this.nextOffset,
      onPage: page => this.applyPage(page),
      onTrimmed: earliest => {
        this.nextOffset = earliest;
      },
    });
  }

  /**
   * Claims a key.
   *
   * @param request - The claim
   * @returns `won` when only this caller may act, `lost` with the holder, or
   *     `gave_up` at the deadline, after which the caller must not act
   */
  async claim(request: ClaimRequest): Promise<ClaimResult> {
    const holder = this.table.find(request.key);
    if (holder !== undefined) {
      return {kind: 'lost', holder};
    }
    const {clock} = this.options;
    const abortController = new AbortController();
    const decision = new Promise<ClaimResult>(resolve =>
      this.pendingClaims.set(request.attempt, {resolve}),
    );
    const timeout = clock
      .sleep(request.deadline - clock.now(), abortController.signal)
      .then((): ClaimResult => ({kind: 'gave_up'}));
    this.enqueue({
      kind: 'claim',
      key: request.key,
      attempt: request.attempt,
      fingerprint: request.fingerprint,
      at: clock.now(),
    });
    const result = await Promise.race([decision, timeout]);
    abortController.abort();
    this.pendingClaims.delete(request.attempt);
    if (result.kind === 'gave_up') {
      this.abandon(request.key, request.attempt);
    }
    return result;
  }

  /**
   * Releases a key. The caller must not act on the claim afterwards.
   *
   * @param key - The key
   * @param attempt - The attempt that claimed it
   */
  abandon(key: string, attempt: string): void {
    // A claim that was never appended needs no abandonment. While a flush runs,
    // the abandonment is appended in any case.
    const before = this.queuedEntries.length;
    this.queuedEntries = this.queuedEntries.filter(
      entry => entry.attempt !== attempt,
    );
    if (this.queuedEntries.length === before || this.isFlushing) {
      const at = this.options.clock.now();
      this.enqueue({kind: 'abandon', key, attempt, at});
    }
  }

  /**
   * Records the response of a completed call.
   *
   * @param claim - Key, attempt and response
   */
  recordOutcome(
    claim: Required<
      Pick<
        ClaimEntry,
        'key' | 'attempt' | 'status' | 'bodyBase64' | 'contentType'
      >
    >,
  ): void {
    this.enqueue({kind: 'outcome', at: this.options.clock.now(), ...claim});
  }

  /**
   * Waits until the holder of a key records a response or releases the key.
   *
   * @param key - The key
   * @param deadline - Latest time to wait, in milliseconds since the epoch
   * @returns The current claim of the key, without a response after the
   *     deadline; undefined when the key is free
   */
  async waitForResponse(
    key: string,
    deadline: number,
  ): Promise<Claim | undefined> {
    const {clock} = this.options;
    for (;;) {
      const claim = this.table.find(key);
      const remaining = deadline - clock.now();
      if (
        claim === undefined ||
        claim.response !== undefined ||
        remaining <= 0
      ) {
        return claim;
      }
      await this.waitForEntry(key, remaining);
    }
  }

  private async waitForEntry(key: string, milliseconds: number): Promise<void> {
    const abortController = new AbortController();
    const listeners = this.entryListeners.get(key) ?? new Set();
    const notify = () => abortController.abort();
    listeners.add(notify);
    this.entryListeners.set(key, listeners);
    await this.options.clock.sleep(milliseconds, abortController.signal);
    listeners.delete(notify);
    if (listeners.size === 0) {
      this.entryListeners.delete(key);
    }
  }

  private applyPage(page: LogPage): void {
    for (const record of page.records) {
      if (validateClaimBatch(record.value)) {
        for (const entry of record.value.entries) {
          this.applyEntry(entry, record.offset);
        }
      }
    }
    this.nextOffset = page.next;
    this.hasReadPage = true;
    const oldest = this.options.clock.now() - this.options.windowMilliseconds;
    this.table.evictBefore(oldest);
  }

  private applyEntry(entry: ClaimEntry, offset: number): void {
    const decision = this.table.apply(entry, offset);
    if (decision !== undefined) {
      this.pendingClaims.get(entry.attempt)?.resolve(decision);
    }
    for (const notify of [...(this.entryListeners.get(entry.key) ?? [])]) {
      notify();
    }
  }

  private enqueue(entry: ClaimEntry): void {
    this.queuedEntries.push(entry);
    if (!this.isFlushing) {
      this.isFlushing = true;
      void this.flush();
    }
  }

  private async flush(): Promise<void> {
    const {clock, batchMilliseconds} = this.options;
    while (this.queuedEntries.length > 0) {
      await clock.sleep(batchMilliseconds());
      const entries = this.queuedEntries;
      this.queuedEntries = [];
      if (entries.length > 0) {
        await this.appendWithRetries(entries);
      }
    }
    this.isFlushing = false;
  }

  private async appendWithRetries(
    entries: readonly ClaimEntry[],
  ): Promise<void> {
    const {log, clock, random} = this.options;
    const batch = {batchId: randomUUID(), entries};
    for (let failures = 1; ; failures += 1) {
      this.appendAttempts += 1;
      const result = await log.append(CLAIMS_STREAM, batch);
      if (result.isOk) {
        return;
      }
      await clock.sleep(computeBackoff(failures, random));
    }
  }
}
