/**
 * Exhaustive exploration of the interleavings of several claimants, each with
 * at most two copies of its claim. Guards against two claimants acting on one
 * key, as when a delayed append takes effect after an abandonment.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import type {ClaimEntry} from '@briarpin/messages';

import {ClaimTable} from './claim_table.js';

/** Next action of a claimant. */
type Step =
  | 'append_claim'
  /** A second copy of the claim, as a retry after a lost response appends. */
  | 'append_claim_again'
  | 'read_back'
  | 'send'
  | 'give_up'
  | 'append_abandonment';

interface Claimant {
  readonly attempt: string;
  appendedCount: number;
  decision: 'won' | 'lost' | 'none';
  hasSent: boolean;
  hasTimedOut: boolean;
  hasAbandoned: boolean;
}

interface SystemState {
  readonly log: ClaimEntry[];
  readonly claimants: Claimant[];
}

const MAXIMUM_CLAIM_COPIES = 2;

/** Computes the decision on an attempt, as every reader of the log does. */
function findDecision(
  log: readonly ClaimEntry[],
  attempt: string,
): 'won' | 'lost' {
  const table = new ClaimTable();
  let decision: 'won' | 'lost' = 'lost';
  let isDecided = false;
  log.forEach((entry, index) => {
    const result = table.apply(entry, index + 1);
    if (result !== undefined && entry.attempt === attempt && !isDecided) {
      isDecided = true;
      decision = result.kind;
    }
  });
  return decision;
}

function listSteps(claimant: Claimant): readonly Step[] {
  const steps: Step[] = [];
  const isDone = claimant.hasSent || claimant.hasTimedOut;
  if (claimant.appendedCount === 0 && !isDone) {
    steps.push('append_claim');
  }
  // A delayed copy may be appended at any time, even after the claimant has
  // timed out.
  if (
    claimant.appendedCount > 0 &&
    claimant.appendedCount < MAXIMUM_CLAIM_COPIES
  ) {
    steps.push('append_claim_again');
  }
  if (claimant.appendedCount > 0 && claimant.decision === 'none' && !isDone) {
    steps.push('read_back');
  }
  if (claimant.decision === 'won' && !isDone) {
    steps.push('send');
  }
  if (claimant.appendedCount > 0 && !isDone) {
    steps.push('give_up');
  }
  if (claimant.hasTimedOut && !claimant.hasAbandoned) {
    steps.push('append_abandonment');
  }
  return steps;
}

function applyStep(state: SystemState, index: number, step: Step): SystemState {
  const claimants = state.claimants.map(claimant => ({...claimant}));
  const log = [...state.log];
  const claimant = claimants[index] as Claimant;
  const {attempt} = claimant;
  switch (step) {
    case 'append_claim':
    case 'append_claim_again':
      log.push({kind: 'claim', key: 'k', attempt, at: 0});
      claimant.appendedCount += 1;
      break;
    case 'read_back':
      claimant.decision = findDecision(log, attempt);
      break;
    case 'send':
      claimant.hasSent = true;
      break;
    case 'give_up':
      claimant.hasTimedOut = true;
      break;
    case 'append_abandonment':
      log.push({kind: 'abandon', key: 'k', attempt, at: 0});
      claimant.hasAbandoned = true;
      break;
  }
  return {log, claimants};
}

/** Visits every reachable state; returns the number of visited states. */
function explore(
  state: SystemState,
  visit: (state: SystemState) => void,
  visitedStates = new Set<string>(),
): number {
  const stateKey = JSON.stringify(state);
  if (visitedStates.has(stateKey)) {
    return visitedStates.size;
  }
  visitedStates.add(stateKey);
  visit(state);
  state.claimants.forEach((claimant, index) => {
    for (const step of listSteps(claimant)) {
      explore(applyStep(state, index, step), visit, visitedStates);
    }
  });
  return visitedStates.size;
}

function createState(attempts: readonly string[]): SystemState {
  const claimants = attempts.map((attempt): Claimant => ({
    attempt,
    appendedCount: 0,
    decision: 'none',
    hasSent: false,
    hasTimedOut: false,
    hasAbandoned: false,
  }));
  return {log: [], claimants};
}

describe('ClaimTable', () => {
  describe('under every order of appends, retries, sends and abandonments', () => {
    it('lets at most one of three claimants send', () => {
      const visited = explore(createState(['a', 'b', 'c']), state => {
        const senders = state.claimants.filter(({hasSent}) => hasSent);
        assert.ok(senders.length <= 1, JSON.stringify(state));
      });
      assert.ok(visited > 10_000, `visited ${visited} states`);
    });

    it('releases a key after every claimant has abandoned it', () => {
      let checked = 0;
      explore(createState(['a', 'b']), state => {
        const isFinal = state.claimants.every(
          claimant => claimant.hasAbandoned && claimant.appendedCount === 2,
        );
        if (isFinal) {
          checked += 1;
          const log = [...state.log];
          log.push({kind: 'claim', key: 'k', attempt: 'later', at: 0});
          assert.equal(
            findDecision(log, 'later'),
            'won',
            JSON.stringify(state.log),
          );
        }
      });
      assert.ok(checked > 10, `checked ${checked} states`);
    });
  });

  describe('when a response has been recorded', () => {
    it('ignores a later abandonment and a second outcome', () => {
      const table = new ClaimTable();
      const entry = {key: 'k', attempt: 'a', at: 0};
      table.apply({kind: 'claim', ...entry}, 1);
      table.apply({kind: 'outcome', ...entry, status: 200}, 2);
      table.apply({kind: 'abandon', ...entry}, 3);
      table.apply({kind: 'outcome', ...entry, status: 500}, 4);
      assert.equal(table.find('k')?.response?.status, 200);
    });
  });
});
