/**
 * What every stand-in backend server has in common: the record of runs, the
 * faults, the load report and the proof by 100-continue.
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

/** Long enough that only a caller or a fault ends an idle connection. */
const KEEP_ALIVE_MS = 120_000;

/** What every stand-in backend server can be told at its start. */
export interface BackendStandInOptions {
  readonly id: string;
  /** Service that the runs are recorded under. */
  readonly service: string;
  /** How far the load report lags, in milliseconds. */
  readonly loadLagMs: number;
  /** Whether 100 is answered before a body is taken. */
  readonly honoursContinue: boolean;
  /** File that the runs are kept in beyond the process; by default there is none. */
  readonly runsFile?: string;
}

/** A call whose body has arrived whole: it runs. */
export interface StartedCall {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly body: Buffer;
  readonly run: RunRecord;
}

/** A stand-in backend server; its kinds fill in what a call does. */
export abstract class BackendStandIn {
  readonly runs: RunLog;

  protected readonly faults: FaultSwitch;

  protected readonly load: LaggedLoad;

  readonly #server: Server;

  #leaving = false;

  /** @param common - what every kind can be told */
  constructor(protected readonly common: BackendStandInOptions) {
    this.runs = new RunLog(common.runsFile);
    this.load = new LaggedLoad(common.loadLagMs);
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
   * @param address - where; port 0 takes a free one
   * @returns its base URL
   */
  async open(address: ListenAddress): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(address.port, address.host, resolve);
    });
    const { port } = this.#server.address() as AddressInfo;
    return `http://${address.host}:${port}`;
  }

  /** Stops at once, cutting what runs. */
  async close(): Promise<void> {
    this.stopRuns();
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  /** @param request - a request. @returns whether it is work, which is recorded as a run */
  protected abstract isWork(request: IncomingMessage): boolean;

  /** @returns whether there is no room for one more call */
  protected abstract isFull(): boolean;

  /** @param call - a call that has started */
  protected abstract handleCall(call: StartedCall): void;

  /** @param request - what is no work. @param response - where to answer */
  protected abstract handleOther(request: IncomingMessage, response: ServerResponse): void;

  /** Takes back all timers. */
  protected abstract stopRuns(): void;

  /** @param load - the load from now on */
  protected recordLoad(load: Load): void {
    this.load.record(load);
  }

  /** @param run - a run whose answer is whole */
  protected closeRun(run: RunRecord): void {
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
    else if (this.isWork(request)) await this.#handleWork(request, response, expectsContinue);
    else this.handleOther(request, response);
  }

  async #handleWork(
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
    // Bytes that went into a silent connection reached nobody: nothing runs.
    if (this.faults.isSilenced(request.socket)) return;
    const run = this.runs.record({
      requestId: getHeader(request, 'request-id'),
      account: getHeader(request, 'client-account'),
      service: this.common.service,
      backendServer: this.common.id,
      method: request.method ?? 'GET',
      path: request.url ?? '/',
    });
    this.handleCall({ request, response, body, run });
  }

  #mayContinue(): boolean {
    return this.common.honoursContinue && this.faults.kind !== FaultKind.NoContinue;
  }

  /** The connection closes, since a body that is on its way would be read as the next call. */
  #sendRefusal(request: IncomingMessage, response: ServerResponse): void {
    response.setHeader('run-outcome', 'not_run');
    response.setHeader('connection', 'close');
    request.resume();
    sendJson(response, 503, { error: { message: 'no room', type: 'server_error' } });
  }

  #sendLoad(response: ServerResponse): void {
    sendJson(response, 200, { ...this.load.read(), leaving: this.#leaving });
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
        this.#leaving = (JSON.parse(text) as { leaving?: boolean }).leaving === true;
        sendJson(response, 200, { leaving: this.#leaving });
      } else sendJson(response, 404, { error: { message: `no ${route}` } });
    } catch (error) {
      sendJson(response, 400, { error: { message: String(error) } });
    }
  }
}
