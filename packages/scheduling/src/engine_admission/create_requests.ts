/**
 * Requests and engines for the tests of the admission.
 */
import type {AdmissionRequest} from '../admission_request/admission_request.js';
import {
  ModelEngine,
  PREFILL_MILLISECONDS_PER_TOKEN,
} from './simulated_engines.js';

const LONG = {promptTokens: 3_000, outputTokens: 748};
const SHORT = {promptTokens: 2_200, outputTokens: 8};

let createdCount = 0;

/** Creates a request for a long generation. */
export function createRequest(
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  createdCount += 1;
  const request = {
    id: `r${createdCount}`,
    lane: '',
    organisation: 'north',
    weight: 1,
    priority: 2,
    ...LONG,
    prefillMilliseconds: 0,
    runMilliseconds: 8_000,
    arrivedAt: 0,
    targetLatencyMilliseconds: 4_000,
    targetGapMilliseconds: 180,
    ...overrides,
  };
  const {arrivedAt, promptTokens} = request;
  return {
    expiresAt: arrivedAt + 39_000,
    ...request,
    prefillMilliseconds: promptTokens * PREFILL_MILLISECONDS_PER_TOKEN,
  };
}

/** Creates an urgent request for a short generation. */
export function createUrgent(
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  const arrivedAt = overrides.arrivedAt ?? 0;
  return createRequest({
    priority: 0,
    ...SHORT,
    runMilliseconds: 500,
    targetLatencyMilliseconds: 1_500,
    expiresAt: arrivedAt + 6_000,
    ...overrides,
  });
}

/** Creates requests at a constant rate. */
export function createStream(
  create: (overrides: Partial<AdmissionRequest>) => AdmissionRequest,
  {from, to, perSecond}: {from: number; to: number; perSecond: number},
  overrides: Partial<AdmissionRequest> = {},
): AdmissionRequest[] {
  const requests: AdmissionRequest[] = [];
  for (let at = from; at < to; at += 1_000 / perSecond) {
    requests.push(create({...overrides, arrivedAt: at}));
  }
  return requests;
}

/** Creates idle engines. */
export function createEngines(count: number): ModelEngine[] {
  return Array.from(
    {length: count},
    (_, index) => new ModelEngine(`e${index}`),
  );
}

/** Creates a reproducible source of random numbers. */
export function createRandom(): () => number {
  let state = 1;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}
