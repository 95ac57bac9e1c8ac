/**
 * Tests of the log's lines.
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
  it('writes one line of pairs', () => {
    const line = formatEvent({organisation: 'one', milliseconds: 3});
    assert.match(
      line,
      /^time=\S+ level=info event=something instance=g organisation=one milliseconds=3\n$/,
    );
  });

  it('keeps a field that the library has a use for itself', () => {
    assert.match(
      formatEvent({message: 'why it failed'}),
      /message="why it failed"/,
    );
    assert.doesNotMatch(formatEvent({}), /message=/);
  });

  it('lets no value begin a line or a pair', () => {
    const line = formatEvent({
      request: 'x\nlevel=error event=forged "q" a=b\u2028',
    });
    assert.equal(line.split('\n').length, 2);
    assert.equal(line.includes('\u2028'), false);
    assert.match(line, /request="x\\+u000alevel=error event=forged/);
  });
});
