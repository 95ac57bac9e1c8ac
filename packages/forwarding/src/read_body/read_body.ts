/**
 * Reads the body of a caller's request.
 */
import type {IncomingMessage} from 'node:http';

import {GrowingBuffer} from '@briarpin/platform';

import type {MemoryAccount} from '../memory_budget/memory_budget.js';

/**
 * Memory that a body of unknown length takes while it grows, relative to its
 * bytes: the buffer doubles, and the outgrown one is freed later.
 */
const UNSTATED_LENGTH_FACTOR = 2;

/** Outcome of {@link readBody}. */
export type ReadBodyResult =
  | {readonly kind: 'whole'; readonly body: Buffer}
  | {readonly kind: 'too_large'}
  /** The gateway has no memory left for the body. */
  | {readonly kind: 'no_memory'}
  /** The body was not complete in time. */
  | {readonly kind: 'timed_out'}
  /** The wait was aborted before the body was complete. */
  | {readonly kind: 'interrupted'}
  /** The connection failed or closed before the body was complete. */
  | {readonly kind: 'broken'};

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  /** Largest body that is accepted. */
  readonly maximumBytes: number;
  /** Account of the request, which holds the memory of a whole body. */
  readonly memory: Pick<MemoryAccount, 'tryHoldBody' | 'releaseBody'>;
  /** Ends the wait for the rest of the body. */
  readonly signal: AbortSignal;
  /**
   * Time for the whole body. Without a limit, callers that stop to send without
   * closing their connections would hold the memory of all bodies for ever.
   */
  readonly timeoutMilliseconds: number;
}

/**
 * Reads a body to its end. Reads nothing of a body whose stated length exceeds
 * the memory that is left.
 *
 * @param request - Request whose head has been read
 * @param options - Limit of the size, memory, and what ends the wait
 * @returns The body, or why there is none
 */
export function readBody(
  request: IncomingMessage,
  {maximumBytes, memory, signal, timeoutMilliseconds}: ReadBodyOptions,
): Promise<ReadBodyResult> {
  const statedBytes = Number(request.headers['content-length'] ?? 0);
  const isTooLarge = statedBytes > maximumBytes;
  if (!isTooLarge && !memory.tryHoldBody(statedBytes)) {
    return Promise.resolve({kind: 'no_memory'});
  }
  return new Promise(resolve => {
    const body = new GrowingBuffer(statedBytes);
    const growthFactor = statedBytes > 0 ? 1 : UNSTATED_LENGTH_FACTOR;
    let hasEnded = false;
    const end = (result: ReadBodyResult) => {
      if (hasEnded) {
        return;
      }
      hasEnded = true;
      clearTimeout(timer);
      if (result.kind !== 'whole') {
        body.take();
        memory.releaseBody();
      }
      resolve(result);
    };
    const timer = setTimeout(
      () => end({kind: 'timed_out'}),
      Math.max(0, timeoutMilliseconds),
    );
    request.on('data', (chunk: Buffer) => {
      const bytes = body.length + chunk.length;
      if (hasEnded) {
        return;
      }
      if (isTooLarge || bytes > maximumBytes) {
        end({kind: 'too_large'});
      } else if (
        !memory.tryHoldBody(Math.max(statedBytes, bytes * growthFactor))
      ) {
        end({kind: 'no_memory'});
      } else {
        body.append(chunk);
      }
    });
    request.on('end', () => {
      if (!hasEnded) {
        memory.tryHoldBody(body.length);
        end({kind: 'whole', body: body.take()});
      }
    });
    request.on('error', () => end({kind: 'broken'}));
    request.on('close', () => end({kind: 'broken'}));
    const interrupt = () =>
      end({kind: request.destroyed ? 'broken' : 'interrupted'});
    signal.addEventListener('abort', interrupt, {once: true});
    if (signal.aborted) {
      interrupt();
    }
  });
}
