/**
 * Hints for routing prompts with the same prefix to the same endpoint.
 */
const PREFIX_CHARACTERS = 256;
const MAXIMUM_HINTS = 4_096;

/** Properties of a request that determine its hint. */
export interface PromptRequest {
  readonly organisation: string;
  readonly model: string;
  readonly prompt: string;
}

/**
 * Maps the prefix of a prompt to the instance that last received it.
 *
 * A hint can be wrong at any time, because engines evict cached prefixes; a
 * wrong hint only costs a little time. The oldest hint is evicted when the map
 * is full. Prompts shorter than the prefix length get no hint.
 */
export class PrefixHints {
  private readonly hints = new Map<string, string>();

  /** Number of hints. */
  get size(): number {
    return this.hints.size;
  }

  /** Finds the instance that has probably cached the prefix of a prompt. */
  find(request: PromptRequest): string | undefined {
    return this.hints.get(toKey(request));
  }

  /** Records the instance that a prompt was sent to. */
  record(request: PromptRequest, instance: string): void {
    if (request.prompt.length < PREFIX_CHARACTERS) {
      return;
    }
    const key = toKey(request);
    this.hints.delete(key);
    this.hints.set(key, instance);
    if (this.hints.size > MAXIMUM_HINTS) {
      const [oldest] = this.hints.keys();
      this.hints.delete(oldest as string);
    }
  }
}

function toKey(request: PromptRequest): string {
  const prefix = request.prompt.slice(0, PREFIX_CHARACTERS);
  return `${request.organisation}\n${request.model}\n${prefix}`;
}
