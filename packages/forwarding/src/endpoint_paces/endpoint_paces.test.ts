/**
 * Tests which endpoints have an estimated pace, and what is reported of it.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {EndpointPaces} from './endpoint_paces.js';

const LOAD = {running: 1, waiting: 0, slots: 24, pacePercent: 100};

function createPaces() {
  const time = {now: 0};
  const paces = new EndpointPaces({now: () => time.now});
  const sample = (id: string, milliseconds: number) => {
    paces.recordLoad(id, LOAD);
    for (let index = 0; index < 15; index += 1) {
      time.now += 110;
      paces.recordSample(id, milliseconds, 1);
    }
  };
  const estimate = (...ids: string[]) => paces.estimateAll('text', ids);
  return {paces, time, sample, estimate};
}

function report(milliseconds: Record<string, number>) {
  return new Map(
    Object.entries(milliseconds).map(([id, value]) => [
      id,
      {eventMicroseconds: value * 1_000},
    ]),
  );
}

describe('EndpointPaces', () => {
  it('estimates nothing while responses state three figures', () => {
    const {paces, estimate} = createPaces();
    paces.recordLoad('a', {running: 1, waiting: 0, slots: 24});
    paces.recordLoad('a', undefined);
    paces.recordSample('a', 30, 1);
    assert.equal(estimate('a', 'b').size, 0);
    assert.equal(paces.createReport().size, 0);
  });

  it('looks up no reports while they contain no estimates', () => {
    const {paces, estimate} = createPaces();
    let lookups = 0;
    const get = () => {
      lookups += 1;
      return {eventMicroseconds: 0};
    };
    const values = () => [{eventMicroseconds: 0}];
    const work = {get, values} as unknown as ReturnType<typeof report>;
    paces.setReports('front-2', report({a: 30}));
    paces.setReports('front-2', work);
    assert.equal(estimate('a', 'b').size, 0);
    assert.equal(lookups, 0);
  });

  it('ignores an absurd report, also where nothing else is known', () => {
    const {paces, estimate} = createPaces();
    paces.setReports('front-2', report({a: 4_000_000}));
    assert.equal(estimate('a', 'b').size, 0);
    paces.setReports('front-3', report({a: 30}));
    assert.equal(estimate('a', 'b').get('b')?.milliseconds, 30);
  });

  it('ranks fast and slow endpoints, and puts an unknown one between them', () => {
    const {sample, estimate} = createPaces();
    sample('fast', 28);
    sample('slow', 68);
    const estimates = estimate('fast', 'slow', 'new');
    const read = (id: string) => estimates.get(id)?.milliseconds ?? Number.NaN;
    assert.ok(read('fast') < 36, `${read('fast')}`);
    assert.ok(read('slow') > 60, `${read('slow')}`);
    assert.equal(read('new'), 48);
  });

  it('knows the pace from reports before it has sent a request', () => {
    const {paces, estimate} = createPaces();
    const known = report({fast: 28, slow: 68});
    ['x', 'y', 'z'].forEach(gateway => paces.setReports(gateway, known));
    const estimates = estimate('fast', 'slow');
    const slow = estimates.get('slow')?.milliseconds ?? 0;
    assert.ok(
      slow > 1.7 * (estimates.get('fast')?.milliseconds ?? 0),
      `${slow}`,
    );
  });

  it('forgets the reports of a gateway that is gone', () => {
    const {paces, estimate} = createPaces();
    paces.setReports('x', report({a: 28}));
    paces.removeGateway('x');
    assert.equal(estimate('a').size, 0);
  });

  it('forgets an endpoint that restarts until it states its pace again', () => {
    const {paces, sample, estimate} = createPaces();
    sample('a', 68);
    paces.remove('a');
    paces.recordSample('a', 68, 1);
    assert.equal(estimate('a').size, 0);
  });

  it('limits the effect of an absurd estimate on the mean', () => {
    const {paces, sample, estimate} = createPaces();
    sample('a', 30);
    sample('b', 30);
    paces.setReports('x', report({c: 29_000}));
    assert.ok(
      (estimate('a', 'b', 'c', 'd').get('d')?.milliseconds ?? 0) <= 100,
    );
  });

  it('reports own recent estimates only, the newest first', () => {
    const {paces, sample, time} = createPaces();
    paces.setReports('x', report({other: 28}));
    sample('a', 30);
    sample('b', 60);
    assert.deepEqual(
      [...paces.createReport()],
      [
        ['b', 60_000],
        ['a', 30_000],
      ],
    );
    time.now += 4_000;
    assert.equal(paces.createReport().size, 0);
  });

  it('keeps no endpoint that has not been used for a minute', () => {
    const {paces, sample, time, estimate} = createPaces();
    sample('a', 30);
    time.now += 61_000;
    paces.createReport();
    assert.equal(estimate('a').size, 0);
  });
});
