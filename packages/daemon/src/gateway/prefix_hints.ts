/**
 * Where prompts with the same beginning were sent.
 */
const PREFIX_CHARACTERS = 256;
const MAXIMUM_HINTS = 4_096;

/** What a hint is kept for. */
export interface PromptRequest {
  readonly organisation: string;
  readonly model: string;
  readonly prompt: string;
}

/**
 * Remembers, for the beginning of a prompt, the endpoint that had it last.
 *
 * A hint may be wrong at any time, because engines forget prefixes; a wrong
 * one costs a little time and nothing else. The oldest hint gives way.
 */
export class PrefixHints {
  private readonly hints = new Map<string, string>();

  /** Hints kept. */
  get size(): number {
    return this.hints.size;
  }

  /** Finds the instance that is likely to hold the beginning of a prompt. */
  find(subject: PromptRequest): string | undefined {
    return this.hints.get(toKey(subject));
  }

  /** Notes where a prompt was sent. */
  record(subject: PromptRequest, instance: string): void {
    if (subject.prompt.length < PREFIX_CHARACTERS) {
      return;
    }
    const key = toKey(subject);
    this.hints.delete(key);
    this.hints.set(key, instance);
    if (this.hints.size > MAXIMUM_HINTS) {
      const [oldest] = this.hints.keys();
      this.hints.delete(oldest as string);
    }
  }
}

function toKey(subject: PromptRequest): string {
  const prefix = subject.prompt.slice(0, PREFIX_CHARACTERS);
  return `${subject.organisation}\n${subject.model}\n${prefix}`;
}
