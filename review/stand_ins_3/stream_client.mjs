/**
 * Stand-in for a client that reads event streams.
 */
import http from 'node:http';

/** Key of the only tenant. */
export const KEY = 'xd9dnn2ctnfzs989anu6';

/**
 * Sends one client attempt and reads its answer to the end.
 *
 * `options`: port, path, id, deadlineMs, and to take a stream up `lastEventId`
 * and `resumes`. `onEvent` is called for each whole event.
 */
export function sendAttempt(options, onEvent = () => undefined) {
  const {port, path, id, deadlineMs, lastEventId, resumes} = options;
  const headers = {
    Host: 'ficu95.example',
    'X-Briarpin-Request-Id': id,
    'X-Briarpin-Model': 'm',
    'X-Briarpin-Token-Counts': '600,800',
    'X-Briarpin-Prompt-Prefix': `5c1e07a2:400,${id}:200`,
    'X-Briarpin-Deadline-Ms': String(deadlineMs),
    Authorization: `Token ${KEY}`,
    'Content-Length': '4',
  };
  if (lastEventId !== undefined) {
    headers['Last-Event-Id'] = String(lastEventId);
  }
  if (resumes !== undefined) {
    headers['Resumes'] = resumes;
  }
  return new Promise(resolve => {
    const result = {
      id,
      sentAt: Date.now(),
      status: 0,
      events: [],
      isComplete: false,
    };
    const end = () => resolve(result);
    const request = http.request(
      {host: '127.0.0.1', port, method: 'POST', path, headers, agent: false},
      response => {
        result.status = response.statusCode;
        result.retryAfter = Number(response.headers['retry-after'] ?? 0);
        let text = '';
        response.setEncoding('utf8');
        response.on('data', part => {
          text += part;
          if (result.status !== 200) {
            result.body = text;
            return;
          }
          for (let at = text.indexOf('\n\n'); at !== -1;) {
            const event = parseEvent(text.slice(0, at));
            text = text.slice(at + 2);
            at = text.indexOf('\n\n');
            result.events.push(event);
            onEvent(event, result);
          }
        });
        response.on('end', () => {
          result.isComplete = response.complete;
          end();
        });
        response.on('error', end);
        response.on('close', end);
      },
    );
    request.setTimeout(deadlineMs, () => request.destroy());
    request.on('error', error => {
      result.error = error.code ?? error.message;
      end();
    });
    request.end('text');
  });
}

function parseEvent(text) {
  const lines = text.split('\n');
  const id = Number(lines.find(line => line.startsWith('id: '))?.slice(4));
  const data = lines.find(line => line.startsWith('data: '))?.slice(6);
  return {id, ...JSON.parse(data ?? '{}')};
}
