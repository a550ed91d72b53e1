/**
 * A stand-in for a replica, which runs requests for a set time and records each run.
 *
 * @module
 */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';

/** Runs requests; what it answers is chosen by the case. */
export class Replica {
  /** One entry a run: id, startedAtMs, endedAtMs (undefined while it works). */
  runs = [];

  #options;

  #server = createServer((request, response) => this.#handle(request, response));

  /**
   * @param {object} options - id, service, slots, workMs, and optionally buildAnswer, which returns
   *   the status, further headers and the body of an answer
   */
  constructor(options) {
    this.#options = options;
    this.#server.keepAliveTimeout = 5_000;
  }

  /** @param {number} port - port to listen on. @param {object} store - where it registers */
  async start(port, store) {
    const { id, service, slots } = this.#options;
    await new Promise((resolve) => {
      this.#server.listen(port, '127.0.0.1', resolve);
    });
    let sequence = 0;
    const register = () => {
      sequence += 1;
      store.put(`servers/${id}`, {
        service,
        address: `127.0.0.1:${port}`,
        zone: 'zone-a',
        version: 'v1',
        slots,
        state: 'ready',
        warmupLeftMs: 0,
        sequence,
      });
    };
    register();
    this.beat = setInterval(register, 1_200);
  }

  stop() {
    clearInterval(this.beat);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #handle(request, response) {
    const { id, slots } = this.#options;
    if (request.url === '/healthz') {
      response.writeHead(200, { 'Replica-Id': id, 'Content-Length': '0' }).end();
      return;
    }
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const attemptId = request.headers['attempt-id'];
      const running = this.runs.filter(({ endedAtMs }) => endedAtMs === undefined).length;
      const base = { 'Attempt-Id': attemptId, 'Replica-Load': `${running},0,${slots}` };
      if (request.headers['expect-instance'] !== id)
        response.writeHead(421, { ...base, 'Not-Executed': '1', 'Content-Length': '0' }).end();
      else if (running >= slots)
        response.writeHead(503, { ...base, 'Not-Executed': '1', 'Content-Length': '0' }).end();
      else this.#run(attemptId, base, response);
    });
  }

  #run(attemptId, base, response) {
    const { id, workMs, buildAnswer } = this.#options;
    const run = { id: attemptId, startedAtMs: performance.now(), endedAtMs: undefined };
    this.runs.push(run);
    const timer = setTimeout(() => {
      run.endedAtMs = performance.now();
      const {
        status = 200,
        headers = {},
        body = `answer ${attemptId}`,
      } = buildAnswer?.(attemptId) ?? {};
      const seal = { 'Response-Seal': `${id}.${attemptId}` };
      const length = { 'Content-Length': String(Buffer.byteLength(body)) };
      response.writeHead(status, { ...base, ...seal, ...length, ...headers });
      response.end(body);
    }, workMs);
    response.on('close', () => {
      clearTimeout(timer);
      run.endedAtMs ??= performance.now();
    });
  }
}
