/**
 * A stand-in plain service.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { BackendStandIn } from './_backend_stand_in.js';
import type { BackendStandInOptions, StartedCall } from './_backend_stand_in.js';
import { parseTarget } from './_http.js';

/** What a stand-in plain service can be told at its start. */
export interface PlainServiceOptions extends BackendStandInOptions {
  /** How long a call takes where its query names no `workMs`, in milliseconds. */
  readonly latencyMs: number;
  /** Calls that run at once; more are refused. */
  readonly maxRunning: number;
}

/** Answers any method and path with what it was sent. */
export class PlainService extends BackendStandIn {
  readonly #timers = new Set<NodeJS.Timeout>();

  /** @param options - what it is told at its start */
  constructor(readonly options: PlainServiceOptions) {
    super(options);
  }

  protected override isWork(): boolean {
    return true;
  }

  protected override isFull(): boolean {
    return this.#timers.size >= this.options.maxRunning;
  }

  protected override handleCall(call: StartedCall): void {
    const workMs = Number(parseTarget(call.request).searchParams.get('workMs') ?? NaN);
    const durationMs = Number.isFinite(workMs) ? workMs : this.options.latencyMs;
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      this.#recordCounts();
      this.#sendEcho(call);
    }, durationMs * this.faults.slowness);
    this.#timers.add(timer);
    this.#recordCounts();
  }

  protected override handleOther(_request: IncomingMessage, response: ServerResponse): void {
    response.destroy();
  }

  protected override stopRuns(): void {
    this.#timers.forEach((timer) => clearTimeout(timer));
  }

  #recordCounts(): void {
    this.recordLoad({ running: this.#timers.size, waiting: 0 });
  }

  #sendEcho(call: StartedCall): void {
    const { request, response, body, run } = call;
    if (this.faults.isSilenced(request.socket)) return;
    const { pathname, search } = parseTarget(request);
    const echo = Buffer.from(
      JSON.stringify({
        backendServer: this.options.id,
        method: request.method,
        path: pathname,
        query: search,
        headers: request.headers,
        body: body.toString(),
      }),
    );
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': String(echo.length),
    });
    if (this.faults.bytesBeforeDeath < echo.length) this.#sendCut(response, echo);
    else {
      this.closeRun(run);
      response.end(echo);
    }
  }

  #sendCut(response: ServerResponse, echo: Buffer): void {
    response.write(echo.subarray(0, this.faults.bytesBeforeDeath));
    setImmediate(() => response.destroy());
  }
}
