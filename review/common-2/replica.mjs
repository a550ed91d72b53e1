/**
 * Stand-in for a replica: runs requests for the time that their `Work-Ms` header names, at most
 * `slots` at once, and registers itself in the store.
 */
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1_200;

export class Replica {
  /** Requests that began to run here. */
  runs = [];

  #server = createServer((request, response) => this.#handle(request, response));

  #sequence = 0;

  #timer;

  /** @param options - `isUnmarked`: answers have neither a length nor chunks, and end with their channel */
  constructor({
    id,
    service,
    store,
    slots = 11,
    zone = 'hall-a',
    isUnmarked = false,
    born = undefined,
    record = () => undefined,
  }) {
    Object.assign(this, {
      id,
      service,
      store,
      slots,
      zone,
      isUnmarked,
      born,
      record,
      state: 'ready',
    });
    this.#server.keepAliveTimeout = 5_000;
  }

  async start() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.register();
    this.#timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  register() {
    this.#sequence += 1;
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      warmupLeftMs: 0,
      sequence: this.#sequence,
      ...(this.born === undefined ? {} : { born: this.born }),
    });
  }

  /** Writes no entry any more. */
  leave() {
    clearInterval(this.#timer);
  }

  get running() {
    return this.runs.filter(({ end }) => end === undefined).length;
  }

  stop() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #handle(request, response) {
    const { headers } = request;
    const id = headers['attempt-id'];
    const load = { 'Replica-Load': `${this.running},0,${this.slots}` };
    const expected = headers['expect-instance'];
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Replica-Id': this.id, ...load }).end();
      return;
    }
    if (expected !== undefined && expected !== this.id) {
      this.#refuse(request, response, 421, { 'Attempt-Id': id, ...load });
    } else if (id === undefined) {
      this.#refuse(request, response, 400, load);
    } else if (this.running >= this.slots) {
      this.#refuse(request, response, 503, { 'Attempt-Id': id, ...load });
    } else {
      const parts = [];
      request.on('data', (part) => parts.push(part));
      request.on('end', () => this.#run(request, response, Buffer.concat(parts).length));
    }
  }

  #refuse(request, response, status, headers) {
    request.resume();
    response.writeHead(status, { ...headers, 'Not-Executed': '1', 'Content-Length': 0 }).end();
  }

  #run(request, response, bodyBytes) {
    const { headers, method, url } = request;
    const run = { id: headers['attempt-id'], replica: this.id, method, url, bodyBytes };
    Object.assign(run, { tenant: headers['tenant-id'], startedAtMs: Date.now(), end: undefined });
    this.runs.push(run);
    this.record('run begins', { id: run.id, replica: this.id });
    const finish = (end) => {
      if (run.end !== undefined) return;
      Object.assign(run, { end, endedAtMs: Date.now() });
      this.record('run ends', { id: run.id, replica: this.id, end });
    };
    const timers = [];
    const later = (delayMs, step) => timers.push(setTimeout(step, delayMs));
    const head = {
      'Attempt-Id': run.id,
      'Response-Seal': `${this.id}.${run.id}`,
      'Replica-Load': `${this.running},0,${this.slots}`,
    };
    later(Number(headers['deadline-ms'] ?? 30_000), () => {
      finish('deadline');
      if (response.headersSent) response.destroy();
      else response.writeHead(504, { ...head, 'Content-Length': 0 }).end();
    });
    response.on('close', () => {
      timers.forEach((timer) => clearTimeout(timer));
      finish(response.writableFinished ? 'whole' : 'left');
    });
    if (this.isUnmarked) response.removeHeader('Transfer-Encoding');
    const isStream = String(headers.accept ?? '').includes('event-stream');
    if (isStream) this.#sendStream(headers, response, head, later);
    else this.#sendPlain(headers, response, head, later);
  }

  /** The second half of a plain answer comes when the work is done. */
  #sendPlain(headers, response, head, later) {
    const workMs = Number(headers['work-ms'] ?? 30);
    const half = `half of the answer to ${head['Attempt-Id']}\n`;
    const length = this.isUnmarked ? {} : { 'Content-Length': 2 * half.length };
    later(workMs / 2, () => {
      response.writeHead(200, { ...head, ...length });
      response.write(half);
    });
    later(workMs, () => response.end(half));
  }

  #sendStream(headers, response, head, later) {
    const pieces = Number(headers.pieces ?? 5);
    const stepMs = Number(headers['work-ms'] ?? 30) / pieces;
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    const sendPiece = (piece) => {
      if (piece === first)
        response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
      response.write(`id: ${piece}\ndata: piece ${piece} of ${pieces}\n\n`);
      if (piece === pieces) response.end();
      else later(stepMs, () => sendPiece(piece + 1));
    };
    later(Number(headers['first-ms'] ?? stepMs), () => sendPiece(first));
  }
}
