/**
 * Tests whose entries are in doubt. Guards against a stream that is pinned to the
 * software of an incarnation that has ended.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import type {EndpointEntry} from '@briarpin/coordination';

import {EndpointDoubts} from './endpoint_doubts.js';

const ENTRY: EndpointEntry = {
  id: 'a',
  service: 'desk',
  host: '10.0.0.1',
  port: 1,
  availabilityZone: 'east-1',
  softwareVersion: 'v1',
  state: 'ready',
  slots: 1,
  coldMilliseconds: 0,
  startedAt: 10,
  sequence: 5,
};

describe('EndpointDoubts', () => {
  let current: EndpointEntry | undefined;
  let competingSoftware: string | undefined;
  let doubts: EndpointDoubts;

  beforeEach(() => {
    current = ENTRY;
    competingSoftware = undefined;
    doubts = new EndpointDoubts({
      find: () => current,
      mayHaveOtherSoftware: ({softwareVersion}) =>
        competingSoftware !== undefined &&
        competingSoftware !== softwareVersion,
    });
  });

  it('has none without a refusal', () => {
    assert.equal(doubts.isInDoubt(ENTRY), false);
  });

  it('doubts an entry from a refusal on', () => {
    doubts.recordRefusal(ENTRY);
    assert.equal(doubts.isInDoubt(ENTRY), true);
  });

  it('doubts an entry while another one with other software may be newer', () => {
    competingSoftware = 'v2';
    assert.equal(doubts.isInDoubt(ENTRY), true);
    competingSoftware = 'v1';
    assert.equal(doubts.isInDoubt(ENTRY), false);
  });

  it('doubts nothing once the incarnation has written again', () => {
    doubts.recordRefusal(ENTRY);
    current = {...ENTRY, sequence: 6};
    assert.equal(doubts.isInDoubt(ENTRY), false);
    doubts.recordRefusal(ENTRY);
    assert.equal(doubts.isInDoubt(ENTRY), true);
  });

  it('does not doubt the next incarnation', () => {
    doubts.recordRefusal(ENTRY);
    current = {...ENTRY, startedAt: 11, sequence: 1};
    assert.equal(doubts.isInDoubt(current), false);
    doubts.recordRefusal(ENTRY);
    assert.equal(doubts.isInDoubt(current), false);
  });

  it('doubts an entry without numbers until another incarnation is known', () => {
    current = {...ENTRY, startedAt: undefined, sequence: undefined};
    doubts.recordRefusal(current);
    assert.equal(doubts.isInDoubt(current), true);
    current = {...current, softwareVersion: 'v2'};
    assert.equal(doubts.isInDoubt(current), false);
  });
});
