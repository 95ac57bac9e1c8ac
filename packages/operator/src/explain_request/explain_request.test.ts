/**
 * Tests of explaining the outcome of a request from log lines.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {explainRequest} from './explain_request.js';

/** Excerpts of logs from fault scenarios, with their original identifiers. */
const STREAM_BROKEN_WHILE_DRAINING = [
  'time=2026-04-09T23:55:59.080Z level=info event=endpoint_leaving instance=front-1 endpoint=i-b6b7 reason=draining',
  'time=2026-04-09T23:55:59.721Z level=info event=run_copied instance=front-1 request=7897 source=i-b6b7 target=i-b2e3 same_zone=true stop=false outcome=no_room milliseconds=55',
  'time=2026-04-09T23:55:59.722Z level=info event=move_failed instance=front-1 request=7897 source=i-b6b7 reason="no engine has room"',
  'time=2026-04-09T23:55:59.900Z level=info event=request instance=front-1 request=other outcome=done status=200 endpoints=i-b6b7 milliseconds=20',
  'time=2026-04-09T23:56:00.696Z level=info event=stream_broke instance=front-1 request=7897 endpoint=i-b6b7 reason=aborted events=260',
  'time=2026-04-09T23:56:00.697Z level=warn event=request instance=front-1 request=7897 organisation=puhu route=r-1 configuration=6 age=600 outcome=unknown status=200 reason=aborted endpoints=i-b6b7 milliseconds=11000',
];

const REFUSED_WHILE_STORE_UNREACHABLE = [
  'time=2026-04-09T23:55:57.606Z level=warn event=store_lost instance=front-2 topic=keyed.op cause="the store gave no answer: read ECONNRESET"',
  'time=2026-04-09T23:55:58.000Z level=warn event=store_lost instance=front-3 topic=keyed.op cause="somewhere else"',
  'time=2026-04-09T23:56:00.922Z level=info event=refused instance=front-2 request=4a4d kind=not_run reason="keys cannot be checked: the store is out of reach" age=4710',
];

const UNKNOWN_OUTCOME = [
  'time=2026-04-09T23:55:50.100Z level=warn event=attempt_failed instance=front-1 request=f799 route=r-hold endpoint=i-f12b reason="socket hang up" milliseconds=110',
  'time=2026-04-09T23:55:50.101Z level=warn event=request instance=front-1 request=f799 organisation=puhu route=r-hold configuration=6 age=300 outcome=unknown status=502 reason="socket hang up" endpoints=i-f12b milliseconds=111',
];

function explain(lines: readonly string[], requestId: string) {
  const explanation = explainRequest(lines, requestId);
  assert.ok(explanation);
  return explanation;
}

describe('explainRequest', () => {
  it('explains why a stream was cut off', () => {
    const {cause, steps} = explain(STREAM_BROKEN_WHILE_DRAINING, '7897');
    assert.match(cause, /cut after 260 events/);
    assert.match(cause, /i-b6b7 left \(draining\)/);
    assert.match(cause, /no engine has room/);
    assert.equal(steps.length, 5);
  });

  it('explains why a request was refused', () => {
    const {cause, steps} = explain(REFUSED_WHILE_STORE_UNREACHABLE, '4a4d');
    assert.match(cause, /keys cannot be checked/);
    assert.match(cause, /4710 ms old/);
    assert.match(cause, /read ECONNRESET/);
    assert.ok(steps.every(step => step.instance === 'front-2'));
  });

  it('explains why an outcome is unknown', () => {
    const {cause} = explain(UNKNOWN_OUTCOME, 'f799');
    assert.match(cause, /may have run: socket hang up/);
    assert.match(cause, /i-f12b/);
  });

  it('returns the same explanation for lines in any order', () => {
    const reversed = [...STREAM_BROKEN_WHILE_DRAINING].reverse();
    assert.deepEqual(
      explain(reversed, '7897'),
      explain(STREAM_BROKEN_WHILE_DRAINING, '7897'),
    );
  });

  it('reports that no line records the end of a request', () => {
    const {cause} = explain(STREAM_BROKEN_WHILE_DRAINING.slice(0, 3), '7897');
    assert.match(cause, /no line records the end/);
  });

  it('returns undefined when no line contains the request id', () => {
    assert.equal(
      explainRequest(STREAM_BROKEN_WHILE_DRAINING, 'nobody'),
      undefined,
    );
  });
});
