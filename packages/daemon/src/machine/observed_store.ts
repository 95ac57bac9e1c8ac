/**
 * Store of which the calls are counted and the reachability is observed.
 */
import type {
  Clock,
  KeyedPage,
  KeyedTopicStore,
  LogError,
} from '@briarpin/coordination';
import type {Result} from 'true-myth';

/** Kind of a call to the store. */
export type StoreCall = 'read_newest' | 'read_from' | 'write';

/** Options of {@link ObservedStore}. */
export interface ObservedStoreOptions {
  readonly clock: Pick<Clock, 'now'>;
  /** Called before each call. */
  readonly onCall: (topic: string, call: StoreCall) => void;
}

/** Forwards calls to a store, and knows whether it is reachable. */
export class ObservedStore implements KeyedTopicStore {
  private respondedAt = Number.NEGATIVE_INFINITY;
  private hasFailed = false;

  /**
   * @param store - Store that executes the calls
   * @param options - Clock and counter
   */
  constructor(
    private readonly store: KeyedTopicStore,
    private readonly options: ObservedStoreOptions,
  ) {}

  /**
   * Time for which the store has not been reached, in milliseconds: 0 after a
   * successful call, infinite before the first one.
   */
  get unreachableMilliseconds(): number {
    const isReached = Number.isFinite(this.respondedAt) && !this.hasFailed;
    return isReached ? 0 : this.options.clock.now() - this.respondedAt;
  }

  readNewest(
    topic: string,
    signal?: AbortSignal,
  ): Promise<Result<KeyedPage, LogError>> {
    return this.observe(topic, 'read_newest', () =>
      this.store.readNewest(topic, signal),
    );
  }

  readFrom(
    topic: string,
    offset: number,
    waitMilliseconds: number,
    signal?: AbortSignal,
  ): Promise<Result<KeyedPage, LogError>> {
    return this.observe(topic, 'read_from', () =>
      this.store.readFrom(topic, offset, waitMilliseconds, signal),
    );
  }

  write(
    topic: string,
    key: string,
    value: Buffer | undefined,
    signal?: AbortSignal,
  ): Promise<Result<void, LogError>> {
    return this.observe(topic, 'write', () =>
      this.store.write(topic, key, value, signal),
    );
  }

  private async observe<Value>(
    topic: string,
    call: StoreCall,
    execute: () => Promise<Result<Value, LogError>>,
  ): Promise<Result<Value, LogError>> {
    const {clock, onCall} = this.options;
    onCall(topic, call);
    const result = await execute();
    // Trimmed records are an answer of the store too.
    if (result.isOk || result.error.kind === 'trimmed') {
      this.respondedAt = clock.now();
      this.hasFailed = false;
    } else {
      this.hasFailed = true;
    }
    return result;
  }
}
