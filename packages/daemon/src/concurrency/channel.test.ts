/**
 * Tests of channels, which guard against unbounded buffers and against values
 * that are lost on close.
 */
import assert from 'node:assert/strict';
import {describe, it} from 'node:test';

import {Channel} from './channel.js';

describe('Channel', () => {
  it('blocks a sender while the channel is full', async () => {
    const channel = new Channel<number>(1);
    await channel.send(1);
    let isSent = false;
    const sent = channel.send(2).then(() => (isSent = true));
    await new Promise(resolve => setImmediate(resolve));
    assert.equal(isSent, false);
    assert.equal(await channel.receive(), 1);
    await sent;
    assert.equal(await channel.receive(), 2);
  });

  it('receives buffered values but rejects new ones after close', async () => {
    const channel = new Channel<string>(2);
    await channel.send('last');
    channel.close();
    assert.equal(await channel.receive(), 'last');
    assert.equal(await channel.receive(), undefined);
    assert.equal(await channel.send('late'), false);
  });
});
