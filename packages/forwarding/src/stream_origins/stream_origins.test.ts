/**
 * Tests how gateways share the origins of streams: guards against callers that
 * come back before the others know, lost datagrams and gateways, and traffic or
 * memory beyond the budget at the target size.
 */
import assert from 'node:assert/strict';
import {beforeEach, describe, it} from 'node:test';

import {VirtualClock} from '@briarpin/coordination';

import {StreamOrigins} from './stream_origins.js';

const ORIGIN = {service: 'text', softwareVersion: 'v1.1'};
const LIFETIME_MILLISECONDS = 99_000;

/** IP and UDP headers of a datagram and the mark of a message. */
const HEADER_BYTES = 29;

/** The users' target: requests a second, gateways, bytes for control. */
const TARGET_REQUESTS_PER_SECOND = 7_400;
const TARGET_GATEWAYS = 370;
const CONTROL_BYTES_PER_SECOND = 22_000;

const silent = () => undefined;
const LOGGER = {error: silent, warn: silent, info: silent, debug: silent};

/** Gateways in one process; messages between them arrive at once. */
class Network {
  readonly clock = new VirtualClock();
  readonly gateways = new Map<string, StreamOrigins>();
  /** Gateways that neither receive nor send. */
  readonly lost = new Set<string>();
  /** Sizes of all datagrams sent, with their headers. */
  readonly sentBytes: number[] = [];

  constructor(count: number) {
    for (let index = 0; index < count; index += 1) {
      this.start(`front-${index}`);
    }
  }

  /** Starts a gateway, or starts it again without what it knew. */
  start(name: string): StreamOrigins {
    const origins = new StreamOrigins({
      clock: this.clock,
      logger: LOGGER,
      transport: () => {
        const others = [...this.gateways.keys()].filter(
          other => other !== name && !this.lost.has(other),
        );
        return {
          reachableGateways: others,
          knownGateways: others,
          sendMessage: (receivers, message) =>
            receivers.forEach(receiver =>
              this.deliver(receiver, name, message),
            ),
        };
      },
    });
    this.gateways.set(name, origins);
    return origins;
  }

  get(index: number): StreamOrigins {
    const origins = this.gateways.get(`front-${index}`);
    assert.ok(origins);
    return origins;
  }

  private deliver(receiver: string, sender: string, message: Uint8Array): void {
    this.sentBytes.push(message.length + HEADER_BYTES);
    if (this.lost.has(receiver) || this.lost.has(sender)) {
      return;
    }
    this.gateways
      .get(receiver)
      ?.receive(Buffer.from(message), reply =>
        this.deliver(sender, receiver, reply),
      );
  }
}

describe('StreamOrigins', () => {
  let network: Network;

  beforeEach(() => {
    network = new Network(5);
  });

  const begin = (index: number, requestId: string) =>
    network.get(index).recordBegin({
      requestId,
      origin: ORIGIN,
      lifetimeMilliseconds: LIFETIME_MILLISECONDS,
    });

  /** Finds an origin while virtual time goes on. */
  const find = async (index: number, requestId: string) => {
    const found = network.get(index).find(requestId);
    await network.clock.advance(1_000);
    return found;
  };

  it('are known at every gateway of a small fleet', async () => {
    begin(0, 'r');
    network.lost.add('front-0');
    for (const index of [1, 2, 3, 4]) {
      assert.deepEqual(await find(index, 'r'), ORIGIN);
    }
  });

  it('are asked for by a gateway that has started since', async () => {
    begin(0, 'r');
    network.lost.add('front-0');
    network.start('front-1');
    assert.deepEqual(await find(1, 'r'), ORIGIN);
  });

  it('are told to a gateway that starts, also those that began elsewhere', async () => {
    begin(0, 'r');
    network.start('front-1');
    const informed = network.get(2).informNewGateway('front-1');
    await network.clock.advance(1_000);
    await informed;
    ['front-0', 'front-2', 'front-3', 'front-4'].forEach(name =>
      network.lost.add(name),
    );
    assert.deepEqual(await find(1, 'r'), ORIGIN);
  });

  it('are not known when all that kept them are lost', async () => {
    begin(0, 'r');
    for (const name of network.gateways.keys()) {
      network.start(name);
    }
    assert.equal(await find(1, 'r'), undefined);
  });

  it('are not waited for once all others have answered', async () => {
    let isSettled = false;
    const found = network
      .get(1)
      .find('unknown')
      .then(() => (isSettled = true));
    await Promise.resolve();
    await network.clock.advance(1);
    assert.equal(isSettled, true);
    await found;
  });

  it('are not waited for long when nobody answers', async () => {
    ['front-0', 'front-2', 'front-3'].forEach(name => network.lost.add(name));
    let isSettled = false;
    void network
      .get(1)
      .find('unknown')
      .then(() => (isSettled = true));
    await network.clock.advance(200);
    assert.equal(isSettled, true);
  });

  it('are not kept or asked for under a very long identifier', async () => {
    const long = 'r'.repeat(60_000);
    begin(0, long);
    assert.equal(await find(0, long), undefined);
    assert.equal(network.sentBytes.length, 0);
  });

  it('ignore a malformed message', () => {
    network.get(0).receive(Buffer.from([0x0a, 0xff]), silent);
  });

  describe('at the target size', () => {
    const MEASURED_SECONDS = 60;

    it('stay within the traffic for control and are found everywhere', async () => {
      network = new Network(TARGET_GATEWAYS);
      const perSecond = TARGET_REQUESTS_PER_SECOND / TARGET_GATEWAYS;
      const count = MEASURED_SECONDS * perSecond;
      for (let index = 0; index < count; index += 1) {
        begin(0, `4ef13d82d043${index}`);
        await network.clock.advance(1_000 / perSecond);
      }
      const sent = network.sentBytes.reduce((sum, bytes) => sum + bytes, 0);
      // Every gateway receives as much as it sends.
      const bytesPerSecond = (2 * sent) / MEASURED_SECONDS;
      assert.ok(
        bytesPerSecond < CONTROL_BYTES_PER_SECOND,
        `${Math.round(bytesPerSecond)} B/s`,
      );
      network.lost.add('front-0');
      for (let index = 1; index < count; index += 50) {
        const gateway = 1 + (index % (TARGET_GATEWAYS - 1));
        assert.deepEqual(await find(gateway, `4ef13d82d043${index}`), ORIGIN);
      }
    });
  });
});
