/**
 * One exchange on one connection, with the hand-over of the body apart from
 * the sending of the head.
 *
 * @module
 */
import http from 'node:http';
import net from 'node:net';
import type { IncomingMessage } from 'node:http';
import { formatReason } from '../../domain/errors/mod.js';
import { BackendCallError, BackendCallStage } from '../../ports/mod.js';
import type { BackendCall } from '../../ports/mod.js';

/** Where an exchange goes. */
export interface ExchangeTarget {
  /** Undefined takes a connection of its own. */
  readonly agent: http.Agent | undefined;
  readonly connectTimeoutMs: number;
}

/** A head's exchange failed; says whether the connection had been used before. */
export class ExchangeError extends BackendCallError {
  /**
   * @param stage - how far it had come
   * @param message - what happened
   * @param onOldConnection - whether the connection had been used before
   * @param cause - the error underneath
   */
  constructor(
    stage: BackendCallStage,
    message: string,
    readonly onOldConnection: boolean,
    cause?: unknown,
  ) {
    super(stage, message, { cause });
  }
}

/**
 * Sends a call that must be proved to have a living backend server before its
 * body leaves (`Expect: 100-continue`).
 *
 * @param call - the call
 * @param target - where it goes
 * @returns the answer, head read
 * @throws ExchangeError
 */
export function exchangeWithContinue(
  call: BackendCall,
  target: ExchangeTarget,
): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    let handedOver = false;
    const request = startRequest(call, target.agent, { expect: '100-continue' });
    const fail = (message: string, cause?: unknown): void => {
      const stage = handedOver ? BackendCallStage.AfterHandOver : BackendCallStage.BeforeHandOver;
      reject(new ExchangeError(stage, message, request.reusedSocket, cause));
      request.destroy();
    };
    let timer: NodeJS.Timeout | undefined = setTimeout(() => {
      fail(`no 100-continue within ${call.continueTimeoutMs} ms`);
    }, call.continueTimeoutMs);
    request.on('continue', () => {
      clearTimeout(timer);
      if (!call.mayHandOver()) {
        fail('the call was taken back before its body left');
        return;
      }
      handedOver = true;
      call.onHandOver();
      timer = startHeadTimer(call, fail);
      request.end(call.body);
    });
    request.on('response', (message) => {
      clearTimeout(timer);
      if (handedOver) {
        resolve(message);
        return;
      }
      // A final answer in place of the 100: the body was not wanted.
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
 * Sends a call on a connection of its own, since its backend server can't
 * prove beforehand that an old one still works.
 *
 * @param call - the call
 * @param target - where it goes; its agent is not used
 * @returns the answer, head read
 * @throws ExchangeError
 */
export async function exchangeDirectly(
  call: BackendCall,
  target: ExchangeTarget,
): Promise<IncomingMessage> {
  const socket = await openConnection(call, target.connectTimeoutMs);
  if (!call.mayHandOver()) {
    socket.destroy();
    throw new ExchangeError(
      BackendCallStage.BeforeHandOver,
      'the call was taken back before it left',
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
    const timer = startHeadTimer(call, fail);
    request.on('response', (message) => {
      clearTimeout(timer);
      resolve(message);
    });
    request.on('error', (error) => {
      clearTimeout(timer);
      fail(formatReason(error), error);
    });
    request.end(call.body);
  });
}

/** A head that does not come may be lost on a connection that went silent after the hand-over. */
function startHeadTimer(
  call: BackendCall,
  fail: (message: string) => void,
): NodeJS.Timeout | undefined {
  const { headTimeoutMs } = call;
  if (headTimeoutMs === undefined) return undefined;
  return setTimeout(() => fail(`no head within ${headTimeoutMs} ms`), headTimeoutMs);
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
