/**
 * Tests that events are written as one line of pairs each, and that values
 * supplied by callers cannot forge lines or pairs.
 */
import assert from 'node:assert/strict';
import {PassThrough} from 'node:stream';
import {describe, it} from 'node:test';

import {createLogger, type EventFields} from './create_logger.js';

function formatEvent(fields: EventFields): string {
  const stream = new PassThrough();
  createLogger({level: 'info', fields: {instance: 'g'}, stream}).info(
    'something',
    fields,
  );
  return (stream.read() as Buffer).toString();
}

describe('createLogger', () => {
  it('writes an event as one line of key=value pairs', () => {
    const line = formatEvent({organisation: 'one', milliseconds: 3});
    assert.match(
      line,
      /^time=\S+ level=info event=something instance=g organisation=one milliseconds=3\n$/,
    );
  });

  it('writes a message field only when the event has one', () => {
    assert.match(
      formatEvent({message: 'why it failed'}),
      /message="why it failed"/,
    );
    assert.doesNotMatch(formatEvent({}), /message=/);
  });

  it('escapes values so that none starts a new line or pair', () => {
    const line = formatEvent({
      request: 'x\nlevel=error event=forged "q" a=b\u2028',
    });
    assert.equal(line.split('\n').length, 2);
    assert.equal(line.includes('\u2028'), false);
    assert.match(line, /request="x\\+u000alevel=error event=forged/);
  });
});
