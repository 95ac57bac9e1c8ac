/**
 * Unfinished work at endpoints, of this gateway and of others.
 */

/** Unfinished work at one endpoint. */
export interface OpenWork {
  readonly requests: number;
  /** Estimated memory demand, in tokens. */
  readonly tokens: number;
  /** Prompts that have not produced a first event, in tokens. */
  readonly promptTokens: number;
}

/** Work at an endpoint that has none. */
export const NO_WORK: OpenWork = {requests: 0, tokens: 0, promptTokens: 0};

/** Adds up the work of this gateway and the work that others report. */
export class OpenWorkTable {
  private readonly localWork = new Map<string, OpenWork>();
  private readonly workByGateway = new Map<
    string,
    ReadonlyMap<string, OpenWork>
  >();

  /** Unfinished work of this gateway by endpoint ID. */
  get local(): ReadonlyMap<string, OpenWork> {
    return this.localWork;
  }

  /** Replaces the work that another gateway has reported, by endpoint ID. */
  setReported(gateway: string, work: ReadonlyMap<string, OpenWork>): void {
    this.workByGateway.set(gateway, work);
  }

  /** Removes the reported work of a gateway. */
  removeGateway(gateway: string): void {
    this.workByGateway.delete(gateway);
  }

  /** Adds (sign 1) or subtracts (sign -1) work of this gateway. */
  adjust(
    endpointId: string,
    {requests = 0, tokens = 0, promptTokens = 0}: Partial<OpenWork>,
    sign: 1 | -1,
  ): void {
    const work = this.localWork.get(endpointId) ?? NO_WORK;
    const changed = {
      requests: work.requests + sign * requests,
      tokens: work.tokens + sign * tokens,
      promptTokens: work.promptTokens + sign * promptTokens,
    };
    if (changed.requests <= 0 && changed.tokens <= 0) {
      this.localWork.delete(endpointId);
    } else {
      this.localWork.set(endpointId, changed);
    }
  }

  /** Returns the work of all gateways at an endpoint. */
  sum(endpointId: string): OpenWork {
    const sum = {requests: 0, tokens: 0, promptTokens: 0};
    for (const work of [this.localWork, ...this.workByGateway.values()]) {
      const open = work.get(endpointId) ?? NO_WORK;
      sum.requests += open.requests;
      sum.tokens += open.tokens;
      sum.promptTokens += open.promptTokens;
    }
    return sum;
  }
}
