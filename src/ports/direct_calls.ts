/**
 * Calls that bear their own request ID, towards callers and backend servers.
 *
 * @module
 */
import type { RequestWork } from '../domain/backend_servers/mod.js';
import type { SchedulerError } from '../domain/errors/mod.js';

/** Header names and values by turns, as they came. */
export type RawHeaders = readonly string[];

/** A caller's request, read whole. */
export interface DirectRequest {
  /** The caller's ID of this attempt; a repeat has another. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query, byte for byte. */
  readonly target: string;
  /** Path without the query. */
  readonly path: string;
  readonly hostName: string;
  /** Headers that go on to the backend server. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  readonly key: string | undefined;
  /** How long the caller waits, counted from the request's arrival; undefined: it didn't say. */
  readonly deadlineMs: number | undefined;
  /** Event after which the caller wants a stream to go on. */
  readonly lastEventId: string | undefined;
  readonly work: RequestWork;
  /** Whether the caller said how many tokens it takes. */
  readonly isSized: boolean;
}

/** Head of an answer. */
export interface DirectHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/** The way back to a caller. */
export abstract class DirectReply {
  /** Whether the caller has closed its connection. */
  abstract readonly isGone: boolean;

  /** Whether the head of an answer was written. */
  abstract readonly hasBegun: boolean;

  /** @param handler - called once when the caller leaves before its answer's end */
  abstract onGone(handler: () => void): void;

  /** @param head - head of the answer; body bytes follow by {@link DirectReply.write} */
  abstract writeHead(head: DirectHead): void;

  /** @param bytes - the next bytes of the body */
  abstract write(bytes: Buffer): void;

  /** Ends the answer as complete. */
  abstract end(): void;

  /** @param head - head of the answer. @param body - its whole body */
  abstract sendWhole(head: DirectHead, body: Buffer): void;

  /** Breaks the answer off, so that it can't be taken for complete. */
  abstract abort(): void;

  /** @param error - why the request is refused or failed; nothing was written before */
  abstract refuse(error: SchedulerError): void;
}

/** A request on its way to one backend server. */
export interface BackendRequest {
  readonly request: DirectRequest;
  /** IP number and port. */
  readonly address: string;
  /** Name of the backend server that is meant; any other must not run the request. */
  readonly serverId: string;
  /** Its life that is meant. Connections of another life aren't used: its requests ended with it. */
  readonly lifeId: string;
  readonly accountId: string | undefined;
  /** Time that is left, in milliseconds. */
  readonly deadlineMs: number;
  /** Event after which a stream goes on. */
  readonly lastEventId: string | undefined;
}

/** Load that a backend server tells with its answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Head of a backend server's answer. */
export interface BackendHead extends DirectHead {
  /** Whether it bears the backend server's own mark; a success without it is no answer. */
  readonly isAuthentic: boolean;
  readonly isEventStream: boolean;
  /** Whether its end is marked; if not, a server that ends looks like the end of its answer. */
  readonly isFramed: boolean;
  readonly load: ReportedLoad | undefined;
}

/** Why a backend server gave no answer. */
export enum BackendFailure {
  /** Nothing of the request was written: it has not run. */
  NotSent = 'not_sent',
  /** The server says that it did not run it. */
  Declined = 'declined',
  /** Another life answers at that address; it did not run it. */
  Misdirected = 'misdirected',
  /** What came is no whole answer, or nothing came for too long: it may have run. */
  Broken = 'broken',
  /** The other end closed or reset the connection: it may have run, and its server may have ended. */
  Lost = 'lost',
}

/** What becomes of a request at a backend server. `onWhole` or `onFailure` is called once. */
export interface BackendListener {
  /** @param head - head of the answer */
  onHead(head: BackendHead): void;
  /** @param bytes - next bytes of the body */
  onBody(bytes: Buffer): void;
  /** The answer is whole. */
  onWhole(): void;
  /** @param failure - why there is no whole answer. @param reason - for the log */
  onFailure(failure: BackendFailure, reason: string): void;
}

/** A request that is under way. */
export interface BackendExchange {
  /** Whether any of the request may have left: not while its connection is still being opened. */
  readonly mayHaveLeft: boolean;
  /** Ends it: the connection is closed, so that the server stops working. No handler is called any more. */
  cancel(): void;
}

/** Sends requests to backend servers. */
export abstract class DirectBackendClient {
  /**
   * Sends one request.
   *
   * @param request - the request and whom it is for
   * @param listener - told what becomes of it, never before this returns
   * @returns the exchange
   */
  abstract send(request: BackendRequest, listener: BackendListener): BackendExchange;
}
