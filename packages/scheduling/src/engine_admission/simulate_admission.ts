/**
 * Runs a load against the admission and the model of the engines in virtual
 * time, for the tests.
 */
import type {AdmissionRequest} from '../admission_request/admission_request.js';
import {
  selectEndpoint,
  type EndpointState,
} from '../select_endpoint/select_endpoint.js';
import {EngineAdmission} from './engine_admission.js';
import {
  ModelEngine,
  PREFILL_MILLISECONDS_PER_TOKEN,
  STEP_MILLISECONDS,
  type SimulatedRun,
} from './simulated_engines.js';

/** How requests reach the engines. */
export type Policy = 'queue' | 'at_once' | 'first_come';

/** Result of one request. */
export interface SimulatedResult {
  readonly request: AdmissionRequest;
  run?: SimulatedRun;
  startedAt?: number;
  rejectedAt?: number;
}

/** Options of {@link simulateAdmission}. */
export interface SimulationOptions {
  readonly policy: Policy;
  readonly engines: readonly ModelEngine[];
  readonly requests: readonly AdmissionRequest[];
  readonly durationMilliseconds: number;
  readonly random: () => number;
  /** Called at each step; may remove engines or add requests. */
  readonly onStep?: (
    now: number,
    state: {
      engines: ModelEngine[];
      add: (request: AdmissionRequest) => void;
      results: ReadonlyMap<string, SimulatedResult>;
    },
  ) => void;
}

/** Returns the results of the requests by identifier. */
export function simulateAdmission(
  options: SimulationOptions,
): ReadonlyMap<string, SimulatedResult> {
  const {policy, random, onStep} = options;
  const engines = [...options.engines];
  const arrivals = [...options.requests];
  const admission = new EngineAdmission<EndpointState>(random);
  const results = new Map<string, SimulatedResult>();
  const firstCome: AdmissionRequest[] = [];
  const readStates = () => engines.map(engine => engine.readState());
  const start = (request: AdmissionRequest, id: string, now: number) => {
    const {promptTokens, outputTokens} = request;
    const run: SimulatedRun = {
      id: request.id,
      isUrgent: request.priority === 0,
      promptTokens,
      outputTokens,
      remainingPrefill: promptTokens * PREFILL_MILLISECONDS_PER_TOKEN,
      producedTokens: 0,
      preemptions: 0,
    };
    engines.find(engine => engine.id === id)?.add(run);
    const result = results.get(request.id) as SimulatedResult;
    result.run = run;
    result.startedAt = now;
  };
  for (let now = 0; now < options.durationMilliseconds;) {
    const add = (request: AdmissionRequest) => arrivals.push(request);
    onStep?.(now, {engines, add, results});
    const due = arrivals.filter(({arrivedAt}) => arrivedAt <= now);
    due.forEach(request => arrivals.splice(arrivals.indexOf(request), 1));
    for (const request of due) {
      results.set(request.id, {request});
      const tokens = request.promptTokens + request.outputTokens;
      if (policy === 'at_once') {
        const best = selectEndpoint(readStates(), {
          random,
          neededTokens: tokens,
        });
        start(request, best?.id ?? '', now);
      } else if (policy === 'first_come') {
        firstCome.push(request);
      } else if (admission.submit(request, now) !== undefined) {
        (results.get(request.id) as SimulatedResult).rejectedAt = now;
      }
    }
    while (firstCome.length > 0) {
      const request = firstCome[0] as AdmissionRequest;
      const tokens = request.promptTokens + request.outputTokens;
      const fitting = readStates().filter(
        state => state.usedTokens + tokens <= state.memoryTokens,
      );
      const best = selectEndpoint(fitting, {random, neededTokens: tokens});
      if (best === undefined) {
        break;
      }
      start(request, best.id, now);
      firstCome.shift();
    }
    if (admission.size > 0) {
      const {placements, rejections} = admission.review(now, readStates);
      placements.forEach(({request, endpoint}) =>
        start(request, endpoint.id, now),
      );
      rejections.forEach(({request}) => {
        (results.get(request.id) as SimulatedResult).rejectedAt = now;
      });
    }
    now += STEP_MILLISECONDS;
    engines.forEach(engine => engine.step(now));
  }
  return results;
}
