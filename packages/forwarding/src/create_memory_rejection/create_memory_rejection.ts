/**
 * Rejection of a request for whose body a gateway has no memory.
 */
import type {ErrorResponse} from '../error_response/error_response.js';
import type {ForwardingContext} from '../forwarding_context/forwarding_context.js';
import type {OpenRequest} from '../open_request/open_request.js';

/**
 * `Retry-After` of a request without memory for its body: a few times the
 * duration of a call, after which other bodies are released.
 */
const RETRY_MILLISECONDS = 500;

/** Largest share added at random, so that callers do not return together. */
const RETRY_JITTER_SHARE = 0.25;

/**
 * Logs that the gateway has no memory for a body and creates the rejection.
 *
 * @param open - The request
 * @param context - Memory, log and random source
 * @returns A rejection as not run
 */
export function createMemoryRejection(
  {request, metadata}: Pick<OpenRequest, 'request' | 'metadata'>,
  {
    memory,
    logger,
    random,
  }: Pick<ForwardingContext, 'memory' | 'logger' | 'random'>,
): ErrorResponse {
  logger.info('rejected_for_memory', {
    request: metadata.requestId,
    stated: request.headers['content-length'],
    held: memory.heldBytes,
    limit: memory.limitBytes,
  });
  return {
    kind: 'not_run',
    reason: 'the gateway has no memory for the body',
    retryAfterMilliseconds: computeRetryMilliseconds(random),
  };
}

/**
 * Creates the rejection of a request whose body did not arrive in its time.
 *
 * @param context - Random source
 * @returns A rejection as not run
 */
export function createLateBodyRejection({
  random,
}: Pick<ForwardingContext, 'random'>): ErrorResponse {
  return {
    kind: 'not_run',
    reason: 'the body did not arrive within the time of the request',
    retryAfterMilliseconds: computeRetryMilliseconds(random),
  };
}

function computeRetryMilliseconds(random: () => number): number {
  return Math.round(RETRY_MILLISECONDS * (1 + random() * RETRY_JITTER_SHARE));
}
