/**
 * A client as PROTOCOL.md describes it, which records what it receives.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import {performance} from 'node:perf_hooks';
import {clearTimeout, setTimeout} from 'node:timers';

import {HOST, KEY} from './deployment.mjs';

let requestCount = 0;

let observe = () => undefined;

/** Sets what receives a line for each request and each answer. */
export function observeRequests(callback) {
  observe = callback;
}

/**
 * Sends a request and reads its answer.
 *
 * @returns An object that holds what has been received so far, and a promise
 *   `done` that resolves when the connection or the answer has ended
 */
export function send({
  port,
  path,
  method = 'POST',
  pieces,
  deadline,
  key = KEY,
  agent = false,
  headers = {},
}) {
  requestCount += 1;
  const result = {
    id: `q-${requestCount}`,
    path,
    status: 0,
    body: '',
    isComplete: false,
    sentAt: performance.now(),
  };
  const body = pieces === undefined ? '' : JSON.stringify({pieces});
  const request = http.request({
    host: '127.0.0.1',
    port,
    path,
    method,
    agent,
    headers: {
      Host: HOST,
      'X-Briarpin-Request-Id': result.id,
      'X-Briarpin-Deadline-Ms': String(deadline),
      Authorization: `Token ${key}`,
      ...(pieces === undefined
        ? {}
        : {
            'X-Briarpin-Model': 'm',
            'X-Briarpin-Token-Counts': `1460,${pieces * 4}`,
            'X-Briarpin-Prompt-Prefix': `5c1e07a2:800,e44${requestCount}:250`,
          }),
      'Content-Length': Buffer.byteLength(body),
      ...headers,
    },
  });
  result.done = new Promise(resolve => {
    const end = () => {
      clearTimeout(timer);
      if (result.endedAt === undefined) {
        result.endedAt = performance.now();
        const {id, status, isComplete, error} = result;
        observe(
          `client: ${id} got ${status}, ${result.body.length} bytes, complete ` +
            `${isComplete}, ${error ?? 'no error'}`,
        );
      }
      resolve(result);
    };
    // The client waits as long as it has said.
    const timer = setTimeout(() => {
      result.hasGivenUp = true;
      request.destroy();
    }, deadline);
    request.on('error', error => {
      result.error = error.message;
      end();
    });
    request.on('close', end);
    request.on('response', response => {
      result.status = response.statusCode;
      result.stamp = response.headers['x-briarpin-server-stamp'];
      response.on('data', chunk => (result.body += chunk.toString('latin1')));
      response.on('error', error => (result.error = error.message));
      response.on('end', () => {
        result.isComplete = response.complete;
        end();
      });
    });
  });
  observe(`client: ${result.id} sent, ${method} ${path} to port ${port}`);
  request.end(body);
  return result;
}

/** Lists the pieces of a stream: number, software version and server. */
export function readPieces({body}) {
  return [...body.matchAll(/^id: (\d+)\ndata: (\S+) (\S+) \d+\n\n/gm)].map(
    ([, piece, software, server]) => ({piece: Number(piece), software, server}),
  );
}
