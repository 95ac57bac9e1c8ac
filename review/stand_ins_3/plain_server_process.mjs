/**
 * Stand-in for a server without an engine, as a process of its own. Its streams
 * have neither a length nor chunks and end with their connection.
 *
 * Arguments: identifier, port (0 for a free one), events, pause between events in
 * milliseconds. Writes one JSON object a line: `listening`, `beat` and `run`.
 */
import {clearInterval, setInterval} from 'node:timers';
import console from 'node:console';
import http from 'node:http';
import process from 'node:process';

const HEARTBEAT_MILLISECONDS = 1_200;

const [id, port, events, eventMs] = process.argv.slice(2);
const born = Date.now();
const write = message => console.log(JSON.stringify(message));

const server = http.createServer((request, response) => {
  if (request.url === '/health') {
    response.writeHead(200, {
      'X-Briarpin-Instance-Id': id,
      'X-Briarpin-Server-Load': '1,0,24',
    });
    response.end();
    return;
  }
  if ((request.headers['x-briarpin-expect-instance'] ?? id) !== id) {
    response.writeHead(421, {'X-Briarpin-Instance-Id': id});
    response.end();
    return;
  }
  request.resume();
  request.once('end', () => run(request, response));
});

function run({headers}, response) {
  const requestId = headers['x-briarpin-request-id'];
  write({event: 'run', id: requestId});
  // Without this header, only the end of the connection delimits the body.
  response.removeHeader('Transfer-Encoding');
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'X-Briarpin-Request-Id': requestId,
    'X-Briarpin-Server-Stamp': `${id}.${born}.${requestId}`,
    'X-Briarpin-Server-Load': '1,0,24',
  });
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    const last = event === Number(events);
    response.write(`id: ${event}\ndata: {"last":${last}}\n\n`);
    if (last) {
      clearInterval(timer);
      response.end();
    }
  }, Number(eventMs));
  response.once('close', () => clearInterval(timer));
}

server.listen(Number(port), '127.0.0.1', () => {
  let sequence = 0;
  write({event: 'listening', port: server.address().port, born});
  const beat = () => {
    sequence += 1;
    write({event: 'beat', sequence});
  };
  beat();
  setInterval(beat, HEARTBEAT_MILLISECONDS);
});
