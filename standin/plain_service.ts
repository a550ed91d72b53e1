/**
 * A stand-in plain service, which echoes each request after a fixed or requested time.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { BackendStandIn } from './_backend_stand_in.js';
import type { BackendStandInOptions, StartedCall } from './_backend_stand_in.js';
import { parseTarget } from './_http.js';

/** Options of a stand-in plain service. */
export interface PlainServiceOptions extends BackendStandInOptions {
  /** Duration of a call without the query parameter `workMs`, in milliseconds. */
  readonly latencyMs: number;
  /** Maximum number of concurrent calls; further calls are refused. */
  readonly maxRunning: number;
}

/** Answers a request with any method and path by echoing it as JSON. */
export class PlainService extends BackendStandIn {
  readonly #timers = new Set<NodeJS.Timeout>();

  /** @param options - options of the service */
  constructor(readonly options: PlainServiceOptions) {
    super(options);
  }

  protected override isRunRequest(): boolean {
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
    }, durationMs * this.faults.slowdownFactor);
    this.#timers.add(timer);
    this.#recordCounts();
  }

  protected override handleOtherRequest(_request: IncomingMessage, response: ServerResponse): void {
    response.destroy();
  }

  protected override clearTimers(): void {
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
    if (this.faults.bytesBeforeCut < echo.length) this.#sendTruncated(response, echo);
    else {
      this.finishRun(run);
      response.end(echo);
    }
  }

  #sendTruncated(response: ServerResponse, echo: Buffer): void {
    response.write(echo.subarray(0, this.faults.bytesBeforeCut));
    setImmediate(() => response.destroy());
  }
}
