/**
 * Tests of the work by organisation in the reports between gateways. Guards
 * against work that is charged twice, or for hours before the first report.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {OrganisationWorkCounts} from './organisation_work.js';

describe('OrganisationWorkCounts', () => {
  it('reports totals of the organisations with recent work, largest first', () => {
    let now = 0;
    const counts = new OrganisationWorkCounts(() => now);
    counts.add('idle', 9_000);
    counts.add('north', 100);
    now = 60_000;
    counts.add('north', 300);
    counts.add('south', 500);
    assert.deepEqual(counts.createReport(), [
      {organisation: 'south', tokens: 500},
      {organisation: 'north', tokens: 400},
    ]);
  });

  it('reports 32 organisations at most', () => {
    const counts = new OrganisationWorkCounts(() => 0);
    for (let index = 0; index < 40; index += 1) {
      counts.add(`o${index}`, index + 1);
    }
    const report = counts.createReport();
    assert.equal(report.length, 32);
    assert.deepEqual(report[0], {organisation: 'o39', tokens: 40});
  });

  it('charges the differences between reports, also after lost ones', () => {
    const counts = new OrganisationWorkCounts(() => 0);
    const report = (tokens: number, isFirst = false) =>
      counts.applyReport({
        gateway: 'g2',
        organisationWork: [{organisation: 'north', tokens}],
        isFirst,
      });
    assert.deepEqual(report(1_000_000, true), []);
    assert.deepEqual(report(1_000_300), [{organisation: 'north', tokens: 300}]);
    assert.deepEqual(report(1_000_300), []);
    assert.deepEqual(report(1_000_900), [{organisation: 'north', tokens: 600}]);
  });

  it('counts from 0 after a restart', () => {
    const counts = new OrganisationWorkCounts(() => 0);
    const report = (tokens: number, isFirst: boolean) =>
      counts.applyReport({
        gateway: 'g2',
        organisationWork: [{organisation: 'north', tokens}],
        isFirst,
      });
    report(5_000, true);
    assert.deepEqual(report(7_000, true), [
      {organisation: 'north', tokens: 7_000},
    ]);
    assert.deepEqual(report(7_200, false), [
      {organisation: 'north', tokens: 200},
    ]);
  });

  // Guards against a gateway that has just started and takes the totals of hours
  // for recent work as soon as idle organisations send requests again.
  it('does not charge the total of an organisation that it first hears of', () => {
    const counts = new OrganisationWorkCounts(() => 0);
    const report = (organisation: string, tokens: number) =>
      counts.applyReport({
        gateway: 'g2',
        organisationWork: [{organisation, tokens}],
        isFirst: false,
      });
    report('north', 5_000_000);
    assert.deepEqual(report('south', 5_000_000), []);
    assert.deepEqual(report('south', 5_000_400), [
      {organisation: 'south', tokens: 400},
    ]);
  });

  it('charges all work of a process that has restarted', () => {
    const counts = new OrganisationWorkCounts(() => 0);
    const report = (organisation: string, tokens: number, isFirst: boolean) =>
      counts.applyReport({
        gateway: 'g2',
        organisationWork: [{organisation, tokens}],
        isFirst,
      });
    report('north', 5_000_000, true);
    report('north', 300, true);
    assert.deepEqual(report('south', 900, false), [
      {organisation: 'south', tokens: 900},
    ]);
  });

  it('does not charge again what a gateway reports after a silence', () => {
    const counts = new OrganisationWorkCounts(() => 0);
    const report = {
      gateway: 'g2',
      organisationWork: [{organisation: 'north', tokens: 80_000}],
      isFirst: true,
    };
    counts.applyReport(report);
    counts.removeGateway('g2');
    assert.deepEqual(counts.applyReport(report), []);
  });
});
