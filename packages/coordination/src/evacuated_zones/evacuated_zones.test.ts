/**
 * Tests the set of evacuated zones: guards against a zone that receives requests
 * although this or another process has read that it is evacuated, and against one
 * that stays evacuated after the store no longer says so.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EvacuatedZones} from './evacuated_zones.js';

function createZones() {
  const changes: string[] = [];
  const zones = new EvacuatedZones({
    onEvacuated: zone => changes.push(`+${zone}`),
    onRestored: zone => changes.push(`-${zone}`),
  });
  return {zones, changes};
}

function createReport(
  availabilityZones: readonly string[],
  {receivedAt = 100, stateAt = 90} = {},
) {
  return {availabilityZones, receivedAt, stateAt};
}

describe('EvacuatedZones', () => {
  it('follows the records of the store and reports each change once', () => {
    const {zones, changes} = createZones();
    zones.put('east-1', true);
    zones.put('east-1', true);
    zones.put('west-1', true);
    assert.equal(zones.has('east-1') && zones.has('west-1'), true);
    zones.put('east-1', false);
    assert.equal(zones.has('east-1'), false);
    assert.deepEqual(changes, ['+east-1', '+west-1', '-east-1']);
  });

  it('is replaced by a snapshot, also of an old copy of the store', () => {
    const {zones, changes} = createZones();
    zones.put('east-1', true);
    zones.put('east-2', true);
    zones.replaceAll(['east-2', 'west-1']);
    assert.deepEqual([...zones.listStored()], ['east-2', 'west-1']);
    assert.deepEqual(changes, ['+east-1', '+east-2', '+west-1', '-east-1']);
  });

  describe('with zones that another process has read', () => {
    it('counts them until this process has read the store', () => {
      const {zones, changes} = createZones();
      zones.applyReport(createReport(['east-1']));
      assert.equal(zones.has('east-1'), true);
      assert.deepEqual(zones.listStored(), []);
      zones.recordReadStart()();
      assert.equal(zones.has('east-1'), false);
      assert.deepEqual(changes, ['+east-1', '-east-1']);
    });

    // The read may have been answered before the zone was evacuated.
    it('keeps one that was reported during a read', () => {
      const {zones} = createZones();
      const confirm = zones.recordReadStart();
      zones.applyReport(createReport(['east-1']));
      confirm();
      assert.equal(zones.has('east-1'), true);
      zones.recordReadStart()();
      assert.equal(zones.has('east-1'), false);
    });

    it('does not restore one in between if the store confirms it', () => {
      const {zones, changes} = createZones();
      zones.applyReport(createReport(['east-1']));
      zones.put('east-1', true);
      zones.recordReadStart()();
      assert.equal(zones.has('east-1'), true);
      assert.deepEqual(changes, ['+east-1']);
    });

    it('restores one only by a report of a later state', () => {
      const {zones} = createZones();
      zones.applyReport(createReport(['east-1'], {receivedAt: 100}));
      zones.applyReport(createReport([], {receivedAt: 120, stateAt: 99}));
      assert.equal(zones.has('east-1'), true);
      zones.applyReport(createReport([], {receivedAt: 130, stateAt: 101}));
      assert.equal(zones.has('east-1'), false);
    });

    it('restores none that this process has read itself', () => {
      const {zones} = createZones();
      zones.put('east-1', true);
      zones.applyReport(createReport([], {receivedAt: 200, stateAt: 190}));
      assert.equal(zones.has('east-1'), true);
      assert.equal(zones.areInForce([]), false);
    });

    it('has them in force', () => {
      const {zones} = createZones();
      zones.put('east-1', true);
      assert.equal(zones.areInForce(['east-1', 'west-1']), false);
      zones.applyReport(createReport(['east-1', 'west-1']));
      assert.equal(zones.areInForce(['west-1', 'east-1']), true);
      assert.equal(zones.areInForce(['east-1']), false);
    });

    it('compares only with what it has read itself', () => {
      const {zones} = createZones();
      zones.applyReport(createReport(['east-1']));
      assert.equal(zones.differsFrom(['east-1']), true);
      zones.put('east-1', true);
      assert.equal(zones.differsFrom(['east-1']), false);
      assert.equal(zones.differsFrom([]), true);
      assert.equal(zones.differsFrom(['east-2']), true);
    });
  });
});
