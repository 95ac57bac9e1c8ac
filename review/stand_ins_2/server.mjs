/**
 * A model server or plain server as a process of its own, so that it can be
 * killed. Options come as JSON in the first argument. It tells its parent what
 * it runs. It speaks as PROTOCOL.md says.
 *
 * A stream has as many pieces as the request's body names; `Last-Event-Id`
 * makes it go on behind that piece.
 */
import {Buffer} from 'node:buffer';
import http from 'node:http';
import process from 'node:process';
import {setTimeout} from 'node:timers';

const options = {
  /** Time to the first piece, and between two pieces, in milliseconds. */
  firstMilliseconds: 200,
  gapMilliseconds: 150,
  /** Time that a call takes, in milliseconds. */
  callMilliseconds: 21,
  /** Time until a spoilt answer begins, in milliseconds. */
  spoiltMilliseconds: 300,
  /** Time of a copy of a run, and of what it lacks, in milliseconds. */
  copyMilliseconds: 100,
  lastCopyMilliseconds: 30,
  /** `chunks`, or `connection`: neither a length nor chunks. */
  framing: 'chunks',
  ...JSON.parse(process.argv[2]),
};

const tell = event => process.send?.({server: options.id, ...event});

const server = http.createServer((request, response) => {
  const chunks = [];
  request.on('data', chunk => chunks.push(chunk));
  request.on('error', () => undefined);
  response.on('error', () => undefined);
  request.on('end', () => answer(request, response, Buffer.concat(chunks)));
});
server.keepAliveTimeout = 5_000;
server.listen(options.port, '127.0.0.1', () =>
  tell({kind: 'listening', port: server.address().port}),
);
process.on('disconnect', () => process.exit(0));

/** Stream answers that are still to be spoilt: blank lines without end. */
let spoiltAnswers = 0;
process.on('message', ({spoil}) => (spoiltAnswers = spoil));

/** Blank lines, which are no events; sent again and again. */
const BLANK_LINES = Buffer.alloc(1_048_576, '\n');

function answer(request, response, body) {
  const {headers} = request;
  if (request.url === '/briarpin/kv-move') {
    copyRun(response, JSON.parse(body.toString()));
    return;
  }
  if (request.url.startsWith('/briarpin/kv-handle/')) {
    response.end();
    return;
  }
  const id = headers['x-briarpin-request-id'];
  if (headers['x-briarpin-expect-instance'] !== options.id) {
    response.writeHead(421, {'X-Briarpin-Instance-Id': options.id});
    response.end();
    return;
  }
  const run = {
    id,
    tenant: headers['x-briarpin-tenant'],
    path: request.url,
    lastEventId: headers['last-event-id'],
    from: headers['kv-from'],
  };
  tell({kind: 'run', ...run});
  const answerHeaders = {
    'X-Briarpin-Request-Id': id,
    'X-Briarpin-Server-Stamp': `${options.id}.${id}`,
    'X-Briarpin-Server-Load': `1,0,${options.slots}`,
  };
  if (options.service === 'remnantdesk') {
    setTimeout(() => {
      const text = `done by ${options.id} for ${id}`;
      response.writeHead(200, {
        ...answerHeaders,
        'Content-Length': text.length,
      });
      response.end(text);
    }, options.callMilliseconds);
    return;
  }
  sendStream(request, response, {answerHeaders, body});
}

/** Runs in progress, by request. */
const runs = new Map();

let copies = 0;

/** Copies a run to another server; stops it first if the copy is the last. */
function copyRun(response, {Id: id, Last: isLast = false}) {
  const run = runs.get(id);
  const reply = (status, body) => {
    response.writeHead(status, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(body));
  };
  if (run === undefined) {
    reply(404, {});
    return;
  }
  if (run.handle === undefined) {
    copies += 1;
    run.handle = `h${copies}`;
  }
  if (isLast) {
    // Stops the run, and closes its stream without its end.
    runs.delete(id);
    run.response.destroy();
  }
  tell({kind: 'copy', id, last: isLast});
  setTimeout(
    () => reply(200, {Handle: run.handle, CreateRev: run.piece}),
    isLast ? options.lastCopyMilliseconds : options.copyMilliseconds,
  );
}

function sendStream(request, response, {answerHeaders, body}) {
  if (spoiltAnswers > 0) {
    spoiltAnswers -= 1;
    setTimeout(
      () => sendBlankLines(request, response, answerHeaders),
      options.spoiltMilliseconds,
    );
    return;
  }
  const {pieces} = JSON.parse(body.toString());
  const id = request.headers['x-briarpin-request-id'];
  let piece = Number(request.headers['last-event-id'] ?? 0);
  response.once('close', () => runs.delete(id));
  const next = () => {
    if (response.destroyed) {
      return;
    }
    if (!response.headersSent) {
      const head = {...answerHeaders, 'Content-Type': 'text/event-stream'};
      if (options.framing === 'connection') {
        response.useChunkedEncodingByDefault = false;
        response.shouldKeepAlive = false;
      }
      response.writeHead(200, head);
    }
    piece += 1;
    runs.set(id, {handle: runs.get(id)?.handle, response, piece});
    response.write(
      `id: ${piece}\ndata: ${options.software} ${options.id} ${piece}\n\n`,
    );
    if (piece >= pieces) {
      tell({kind: 'whole stream', id});
      runs.delete(id);
      response.end();
      return;
    }
    setTimeout(next, options.gapMilliseconds);
  };
  setTimeout(next, options.firstMilliseconds);
}

/** Sends a head and then bytes that are no answer, until the caller closes. */
function sendBlankLines(request, response, answerHeaders) {
  tell({kind: 'spoilt answer', id: request.headers['x-briarpin-request-id']});
  response.writeHead(200, {
    ...answerHeaders,
    'Content-Type': 'text/event-stream',
  });
  const write = () => {
    while (!response.destroyed && response.write(BLANK_LINES));
  };
  response.on('drain', write);
  write();
}
