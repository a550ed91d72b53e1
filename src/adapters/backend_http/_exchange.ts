/**
 * Sends one call over one connection; the body is handed over in a step separate from
 * sending the request head.
 *
 * @module
 */
import http from 'node:http';
import net from 'node:net';
import type { IncomingMessage } from 'node:http';
import { formatReason } from '../../domain/errors/mod.js';
import { BackendCallError, BackendCallStage } from '../../ports/mod.js';
import type { BackendCall } from '../../ports/mod.js';
import { ExchangeGuard } from '../http_common/mod.js';

/** The connection that an exchange uses. */
export interface ExchangeTarget {
  /** Connection pool; undefined opens a new connection for this exchange only. */
  readonly agent: http.Agent | undefined;
  readonly connectTimeoutMs: number;
}

/** A response of which the head has been read, and what watches the rest of it. */
export interface ReceivedHead {
  readonly message: IncomingMessage;
  readonly guard: ExchangeGuard;
}

/** The exchange failed before the response head arrived. */
export class ExchangeError extends BackendCallError {
  /**
   * @param stage - stage that the call had reached
   * @param message - description of the failure
   * @param isReusedConnection - whether an earlier call had used the connection
   * @param cause - the underlying error
   */
  constructor(
    stage: BackendCallStage,
    message: string,
    readonly isReusedConnection: boolean,
    cause?: unknown,
  ) {
    super(stage, message, { cause });
  }
}

/**
 * Sends a call with `Expect: 100-continue`, so that the backend server proves that it is
 * reachable before the body is handed over.
 *
 * @param call - the call
 * @param target - the connection to use
 * @returns the response
 * @throws ExchangeError
 */
export function exchangeWithContinue(
  call: BackendCall,
  target: ExchangeTarget,
): Promise<ReceivedHead> {
  return new Promise((resolve, reject) => {
    let isHandedOver = false;
    const request = startRequest(call, target.agent, { expect: '100-continue' });
    const fail = (message: string, cause?: unknown): void => {
      const stage = isHandedOver ? BackendCallStage.AfterHandOver : BackendCallStage.BeforeHandOver;
      reject(new ExchangeError(stage, message, request.reusedSocket, cause));
      request.destroy();
    };
    const guard = new ExchangeGuard(request, (reason) => fail(reason));
    let timer: NodeJS.Timeout | undefined = setTimeout(() => {
      fail(`no 100-continue within ${call.continueTimeoutMs} ms`);
    }, call.continueTimeoutMs);
    request.on('continue', () => {
      clearTimeout(timer);
      if (!call.mayHandOver()) {
        fail('the call was cancelled before its body was handed over');
        return;
      }
      isHandedOver = true;
      call.onHandOver();
      timer = startHeadTimer(call, fail);
      request.end(call.body);
    });
    request.on('response', (message) => {
      clearTimeout(timer);
      if (isHandedOver) {
        resolve({ message, guard });
        return;
      }
      // A final response in place of 100 Continue: the server refuses the call without its body.
      message.resume();
      fail(`refused with status ${message.statusCode} before the body`);
    });
    request.on('error', (error) => {
      clearTimeout(timer);
      fail(formatReason(error), error);
    });
    request.flushHeaders();
  });
}

/**
 * Sends a call without `Expect: 100-continue`, over a new connection, since nothing proves
 * beforehand that a reused connection still works.
 *
 * @param call - the call
 * @param target - the connect timeout; its agent is not used
 * @returns the response
 * @throws ExchangeError
 */
export async function exchangeWithoutContinue(
  call: BackendCall,
  target: ExchangeTarget,
): Promise<ReceivedHead> {
  const socket = await openConnection(call, target.connectTimeoutMs);
  if (!call.mayHandOver()) {
    socket.destroy();
    throw new ExchangeError(
      BackendCallStage.BeforeHandOver,
      'the call was cancelled before it was handed over',
      false,
    );
  }
  call.onHandOver();
  return new Promise((resolve, reject) => {
    const request = startRequest(call, undefined, {}, socket);
    const fail = (message: string, cause?: unknown): void => {
      socket.destroy();
      reject(new ExchangeError(BackendCallStage.AfterHandOver, message, false, cause));
    };
    const guard = new ExchangeGuard(request, (reason) => fail(reason));
    const timer = startHeadTimer(call, fail);
    request.on('response', (message) => {
      clearTimeout(timer);
      resolve({ message, guard });
    });
    request.on('error', (error) => {
      clearTimeout(timer);
      fail(formatReason(error), error);
    });
    request.end(call.body);
  });
}

/** Bounds the wait for the response head, since the connection may fail after the hand-over. */
function startHeadTimer(
  call: BackendCall,
  fail: (message: string) => void,
): NodeJS.Timeout | undefined {
  const { headTimeoutMs } = call;
  if (headTimeoutMs === undefined) return undefined;
  return setTimeout(() => fail(`no response head within ${headTimeoutMs} ms`), headTimeoutMs);
}

function startRequest(
  call: BackendCall,
  agent: http.Agent | undefined,
  extraHeaders: Readonly<Record<string, string>>,
  socket?: net.Socket,
): http.ClientRequest {
  const url = new URL(call.path, call.backendServer.url);
  const hasBody = call.body.length > 0;
  return http.request(url, {
    method: call.method,
    headers: {
      ...call.headers,
      ...extraHeaders,
      ...(hasBody ? { 'content-length': String(call.body.length) } : {}),
    },
    signal: call.signal,
    ...(socket ? { createConnection: () => socket } : { agent: agent ?? false }),
  });
}

function openConnection(call: BackendCall, timeoutMs: number): Promise<net.Socket> {
  const url = new URL(call.backendServer.url);
  return new Promise((resolve, reject) => {
    const socket = net.connect({ host: url.hostname, port: Number(url.port || 80), noDelay: true });
    const fail = (message: string): void => {
      socket.destroy();
      reject(new ExchangeError(BackendCallStage.BeforeHandOver, message, false));
    };
    const timer = setTimeout(() => fail(`no connection within ${timeoutMs} ms`), timeoutMs);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.removeAllListeners('error');
      resolve(socket);
    });
    socket.once('error', (error) => {
      clearTimeout(timer);
      fail(error.message);
    });
  });
}
