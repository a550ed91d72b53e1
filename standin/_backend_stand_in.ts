/**
 * Base class of the stand-in backend servers: the record of runs, fault injection, the load
 * report and `100 Continue`, which shows the sender that a body will be run.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { FaultKind, FaultSwitch, parseFaultOrder } from './_fault_switch.js';
import { getHeader, parseTarget, readBody, sendJson } from './_http.js';
import { LaggedLoad } from './_lagged_load.js';
import type { Load } from './_lagged_load.js';
import type { ListenAddress } from './_program.js';
import { RunLog } from './_run_log.js';
import type { RunRecord } from './_run_log.js';

/** Long enough that only the client or a fault closes an idle connection. */
const KEEP_ALIVE_MS = 120_000;

/** Options that all stand-in backend servers share. */
export interface BackendStandInOptions {
  readonly id: string;
  /** Name of the service that is recorded with each run. */
  readonly service: string;
  /** Age of the load that the load report shows, in milliseconds. */
  readonly loadLagMs: number;
  /** Whether the server sends `100 Continue` before it reads a body. */
  readonly honoursContinue: boolean;
  /** File in which the runs outlive the process; undefined keeps them in memory only. */
  readonly runsFile?: string;
}

/** A call whose complete body has arrived, which starts its run. */
export interface StartedCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly run: RunRecord;
}

/** A stand-in backend server. Subclasses implement the work of a call. */
export abstract class BackendStandIn {
  readonly runs: RunLog;

  protected readonly faults: FaultSwitch;

  protected readonly load: LaggedLoad;

  readonly #server: Server;

  #isDraining = false;

  /** @param baseOptions - options that all stand-in backend servers share */
  constructor(protected readonly baseOptions: BackendStandInOptions) {
    this.runs = new RunLog(baseOptions.runsFile);
    this.load = new LaggedLoad(baseOptions.loadLagMs);
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 });
    this.faults = new FaultSwitch(this.#server);
    this.#server.on('request', (request, response) => {
      this.#accept(request, response, false);
    });
    this.#server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
      this.#accept(request, response, true);
    });
  }

  /**
   * Starts listening.
   *
   * @param address - address to listen on; port 0 picks a free port
   * @returns the base URL of the server
   */
  async open(address: ListenAddress): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(address.port, address.host, resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    return `http://${address.host}:${port}`;
  }

  /** Stops at once and aborts all runs. */
  async close(): Promise<void> {
    this.clearTimers();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  /** @param request - a request. @returns whether it is recorded and executed as a run */
  protected abstract isRunRequest(request: IncomingMessage): boolean;

  /** @returns whether the server has no capacity for another call */
  protected abstract isFull(): boolean;

  /** Executes a run. @param call - the call that started it */
  protected abstract handleCall(call: StartedCall): void;

  /** Answers a request that starts no run. @param request - it. @param response - its response */
  protected abstract handleOtherRequest(request: IncomingMessage, response: ServerResponse): void;

  /** Clears all timers. */
  protected abstract clearTimers(): void;

  /** Records a change of the load. @param load - the current load */
  protected recordLoad(load: Load): void {
    this.load.record(load);
  }

  /** Records the end of a run. @param run - a run whose response is complete */
  protected finishRun(run: RunRecord): void {
    Object.assign(run, { finished: Date.now() });
    this.runs.update(run);
  }

  #accept(request: IncomingMessage, response: ServerResponse, expectsContinue: boolean): void {
    response.on('error', () => undefined);
    request.on('error', () => undefined);
    this.#handle(request, response, expectsContinue).catch(() => request.socket.destroy());
  }

  async #handle(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    const { pathname } = parseTarget(request);
    if (pathname.startsWith('/_standin/')) {
      if (expectsContinue) response.writeContinue();
      await this.#handleControl(pathname, request, response);
    } else if (this.faults.isSilenced(request.socket)) request.resume();
    else if (pathname === '/v1/load') this.#sendLoad(response);
    else if (this.isRunRequest(request))
      await this.#handleRunRequest(request, response, expectsContinue);
    else this.handleOtherRequest(request, response);
  }

  async #handleRunRequest(
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ): Promise<void> {
    if (this.faults.kind === FaultKind.Refuse || this.isFull()) {
      this.#sendRefusal(request, response);
      return;
    }
    if (expectsContinue && this.#mayContinue()) response.writeContinue();
    const body = await readBody(request);
    // A silenced connection stands for one that lost the bytes, so no run starts.
    if (this.faults.isSilenced(request.socket)) return;
    const run = this.runs.record({
      requestId: getHeader(request, 'request-id'),
      account: getHeader(request, 'client-account'),
      service: this.baseOptions.service,
      backendServer: this.baseOptions.id,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
    });
    this.handleCall({ request, response, body, run });
  }

  #mayContinue(): boolean {
    return this.baseOptions.honoursContinue && this.faults.kind !== FaultKind.NoContinue;
  }

  /** Closes the connection too: a body still in transit would be parsed as the next request. */
  #sendRefusal(request: IncomingMessage, response: ServerResponse): void {
    response.setHeader('run-outcome', 'not_run');
    response.setHeader('connection', 'close');
    request.resume();
    sendJson(response, 503, { error: { message: 'no capacity', type: 'server_error' } });
  }

  #sendLoad(response: ServerResponse): void {
    sendJson(response, 200, { ...this.load.read(), leaving: this.#isDraining });
  }

  async #handleControl(
    pathname: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const text = (await readBody(request)).toString();
    const route = `${request.method} ${pathname}`;
    try {
      if (route === 'GET /_standin/runs') sendJson(response, 200, this.runs.list());
      else if (route === 'POST /_standin/faults') {
        this.faults.set(parseFaultOrder(text));
        sendJson(response, 200, { kind: this.faults.kind });
      } else if (route === 'POST /_standin/leaving') {
        this.#isDraining = (JSON.parse(text) as { leaving?: boolean }).leaving === true;
        sendJson(response, 200, { leaving: this.#isDraining });
      } else sendJson(response, 404, { error: { message: `no ${route}` } });
    } catch (error) {
      sendJson(response, 400, { error: { message: String(error) } });
    }
  }
}
