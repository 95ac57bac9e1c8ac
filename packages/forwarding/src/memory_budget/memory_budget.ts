/**
 * Accounts for the memory that all requests of a gateway hold.
 */

/**
 * Share of the limit up to which bodies of callers are accepted. The rest is
 * left for responses, which free the bodies that wait for them.
 */
const BODY_SHARE = 0.75;

/**
 * Bytes of a response that are held without waiting for room. Most responses
 * are smaller, and a longer one waits while it holds no more than this.
 */
const UNQUEUED_RESPONSE_BYTES = 65_536;

/** Bytes that one request holds, by kind. */
interface HeldBytes {
  body: number;
  response: number;
  unsent: number;
}

/** A response that waits for room. */
interface WaitingResponse {
  readonly account: MemoryAccount;
  readonly bytes: number;
  readonly resolve: () => void;
}

/**
 * Memory of a gateway for bodies of callers, buffered responses and bytes that
 * callers have not read.
 *
 * Bodies are rejected beyond their share of the limit. Responses have run and
 * are not rejected: they wait for room in the order of their arrival. A single
 * response is given room even beyond the limit, so that one always proceeds.
 * Unsent bytes are counted as they are; their readers are paused elsewhere.
 */
export class MemoryBudget {
  private held = 0;
  private largeResponses = 0;
  private waiting: WaitingResponse[] = [];

  /**
   * @param limitBytes - Bytes that all requests may hold; infinity for no limit
   */
  constructor(readonly limitBytes: number) {}

  /** Bytes that all requests hold. */
  get heldBytes(): number {
    return this.held;
  }

  /** Opens the account of one request. */
  openAccount(): MemoryAccount {
    return new MemoryAccount({
      hasRoomForBody: bytes => this.held + bytes <= this.bodyLimitBytes,
      waitForRoom: (account, bytes) => this.waitForRoom(account, bytes),
      cancelWait: account => this.cancelWait(account),
      onChange: (change, largeChange) => {
        this.held += change;
        this.largeResponses += largeChange;
        if (change < 0 || largeChange < 0) {
          this.grantWaiting();
        }
      },
    });
  }

  private get bodyLimitBytes(): number {
    return this.limitBytes * BODY_SHARE;
  }

  private waitForRoom(
    account: MemoryAccount,
    bytes: number,
  ): Promise<void> | undefined {
    if (this.waiting.length === 0 && this.hasRoomForResponse(account, bytes)) {
      return undefined;
    }
    return new Promise(resolve => this.waiting.push({account, bytes, resolve}));
  }

  private cancelWait(account: MemoryAccount): void {
    if (this.waiting.some(waiting => waiting.account === account)) {
      this.waiting = this.waiting.filter(
        waiting => waiting.account !== account,
      );
      this.grantWaiting();
    }
  }

  private hasRoomForResponse(account: MemoryAccount, bytes: number): boolean {
    const change = bytes - account.responseBytes;
    return (
      this.largeResponses === 0 ||
      account.hasLargeResponse ||
      this.held + change <= this.limitBytes
    );
  }

  private grantWaiting(): void {
    for (;;) {
      const [first] = this.waiting;
      if (
        first === undefined ||
        !this.hasRoomForResponse(first.account, first.bytes)
      ) {
        return;
      }
      this.waiting.shift();
      first.account.setResponseBytes(first.bytes);
      first.resolve();
    }
  }
}

/** What an account needs of its budget. */
interface AccountOwner {
  readonly hasRoomForBody: (bytes: number) => boolean;
  readonly waitForRoom: (
    account: MemoryAccount,
    bytes: number,
  ) => Promise<void> | undefined;
  readonly cancelWait: (account: MemoryAccount) => void;
  /** Called with the changes of held bytes and of large responses. */
  readonly onChange: (change: number, largeChange: number) => void;
}

/** Memory that one request holds. A closed account holds nothing any more. */
export class MemoryAccount {
  private readonly held: HeldBytes = {body: 0, response: 0, unsent: 0};
  private isClosed = false;

  /** Use {@link MemoryBudget.openAccount}. */
  constructor(private readonly owner: AccountOwner) {}

  /** Bytes held for the response. */
  get responseBytes(): number {
    return this.held.response;
  }

  /** True while more is held for the response than without waiting for room. */
  get hasLargeResponse(): boolean {
    return this.held.response > UNQUEUED_RESPONSE_BYTES;
  }

  /**
   * Holds memory for the body of the request.
   *
   * @param bytes - Size of the whole body as far as it is known
   * @returns False if there is no room for it; the account is unchanged then
   */
  tryHoldBody(bytes: number): boolean {
    const change = bytes - this.held.body;
    if (change > 0 && !this.owner.hasRoomForBody(change)) {
      return false;
    }
    this.set('body', bytes);
    return true;
  }

  /** Releases the memory of the body. */
  releaseBody(): void {
    this.set('body', 0);
  }

  /**
   * Holds memory for the part of a response that has been collected.
   *
   * @param bytes - Bytes collected, or the length that the response states
   * @param maximumBytes - Bytes that may be collected; held as a whole once the
   *   part is large, so that responses that wait for each other cannot all be
   *   incomplete
   * @returns A promise if reading must pause until it resolves; it stays
   *   pending if the response is released before
   */
  holdResponse(bytes: number, maximumBytes: number): Promise<void> | undefined {
    if (bytes <= UNQUEUED_RESPONSE_BYTES) {
      this.setResponseBytes(bytes);
      return undefined;
    }
    if (this.isClosed || this.held.response >= maximumBytes) {
      return undefined;
    }
    const granted = this.owner.waitForRoom(this, maximumBytes);
    if (granted === undefined) {
      this.setResponseBytes(maximumBytes);
    }
    return granted;
  }

  /** Sets what is held for a response, for example once its size is known. */
  setResponseBytes(bytes: number): void {
    this.set('response', bytes);
  }

  /** Releases the memory of a response that failed, and ends its wait. */
  releaseResponse(): void {
    this.owner.cancelWait(this);
    this.setResponseBytes(0);
  }

  /** Sets the bytes that have been written and not sent to the caller. */
  setUnsentBytes(bytes: number): void {
    this.set('unsent', bytes);
  }

  /** Releases all memory of the request; later calls hold nothing. */
  close(): void {
    this.releaseBody();
    this.releaseResponse();
    this.setUnsentBytes(0);
    this.isClosed = true;
  }

  private set(kind: keyof HeldBytes, bytes: number): void {
    if (this.isClosed) {
      return;
    }
    const change = bytes - this.held[kind];
    const wasLarge = this.hasLargeResponse;
    this.held[kind] = bytes;
    this.owner.onChange(
      change,
      Number(this.hasLargeResponse) - Number(wasLarge),
    );
  }
}
