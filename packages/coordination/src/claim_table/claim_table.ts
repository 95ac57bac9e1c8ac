/**
 * Holders of keys, computed from the entries of the claims stream.
 */
import type {ClaimEntry} from '@briarpin/messages';

/** The recorded response of a call. */
export interface RecordedResponse {
  readonly status: number;
  readonly bodyBase64: string;
  readonly contentType: string;
}

/** The claim that holds a key. */
export interface Claim {
  readonly key: string;
  readonly attempt: string;
  readonly fingerprint: string;
  /** Milliseconds since the epoch, by the clock of the claimant. */
  readonly at: number;
  readonly offset: number;
  /** Absent until the claimant has recorded it. */
  readonly response?: RecordedResponse;
}

/** Decision on a claim. */
export type ClaimDecision =
  {readonly kind: 'won'} | {readonly kind: 'lost'; readonly holder: Claim};

/**
 * Applies claims, abandonments and outcomes in log order.
 *
 * The claim with the lowest offset holds its key until its own attempt
 * abandons it; a claim with a recorded response cannot be abandoned. A claim on
 * a key that another attempt holds is lost, even if the key is released later.
 * An attempt that has abandoned a key never holds it again, so that a delayed
 * append cannot restore its claim.
 */
export class ClaimTable {
  private readonly holders = new Map<string, Claim>();
  private readonly abandoned = new Map<string, number>();

  /** Number of keys currently held. */
  get size(): number {
    return this.holders.size;
  }

  /**
   * Applies the next entry of the stream.
   *
   * @param entry - The entry
   * @param offset - Offset of the record that contains the entry
   * @returns The decision when the entry is a claim, otherwise undefined
   */
  apply(entry: ClaimEntry, offset: number): ClaimDecision | undefined {
    switch (entry.kind) {
      case 'claim':
        return this.applyClaim(entry, offset);
      case 'abandon':
        this.applyAbandonment(entry);
        return undefined;
      case 'outcome':
        this.applyOutcome(entry);
        return undefined;
    }
  }

  /** Finds the claim that holds a key. */
  find(key: string): Claim | undefined {
    return this.holders.get(key);
  }

  /**
   * Evicts the claims and abandonments made before a given time, from the
   * oldest insertion up to the first entry that is recent enough.
   *
   * @param time - Milliseconds since the epoch
   */
  evictBefore(time: number): void {
    for (const [key, claim] of this.holders) {
      if (claim.at >= time) {
        break;
      }
      this.holders.delete(key);
    }
    for (const [attempt, at] of this.abandoned) {
      if (at >= time) {
        break;
      }
      this.abandoned.delete(attempt);
    }
  }

  private applyClaim(entry: ClaimEntry, offset: number): ClaimDecision {
    const holder = this.holders.get(entry.key);
    if (holder !== undefined) {
      return holder.attempt === entry.attempt
        ? {kind: 'won'}
        : {kind: 'lost', holder};
    }
    const claim: Claim = {
      key: entry.key,
      attempt: entry.attempt,
      fingerprint: entry.fingerprint ?? '',
      at: entry.at,
      offset,
    };
    if (this.abandoned.has(entry.attempt)) {
      return {kind: 'lost', holder: claim};
    }
    this.holders.set(entry.key, claim);
    return {kind: 'won'};
  }

  private applyAbandonment(entry: ClaimEntry): void {
    const holder = this.holders.get(entry.key);
    if (holder?.response !== undefined && holder.attempt === entry.attempt) {
      return;
    }
    this.abandoned.set(entry.attempt, entry.at);
    if (holder?.attempt === entry.attempt) {
      this.holders.delete(entry.key);
    }
  }

  private applyOutcome(entry: ClaimEntry): void {
    const holder = this.holders.get(entry.key);
    if (holder?.attempt !== entry.attempt || holder.response !== undefined) {
      return;
    }
    const response: RecordedResponse = {
      status: entry.status ?? 0,
      bodyBase64: entry.bodyBase64 ?? '',
      contentType: entry.contentType ?? '',
    };
    this.holders.set(entry.key, {...holder, response});
  }
}
