/**
 * Defines the ports for calls that carry their own request ID: the reply to the caller and
 * the client of backend servers.
 *
 * @module
 */
import type { RequestWork } from '../domain/backend_servers/mod.js';
import type { SchedulerError } from '../domain/errors/mod.js';
import type { RequestPrompt } from '../domain/requests/mod.js';

/** Alternating header names and values in their received order and case. */
export type RawHeaders = readonly string[];

/** A caller's request, with its complete body. */
export interface DirectRequest {
  /** The caller's ID of this attempt; a retry has a different ID. */
  readonly requestId: string;
  readonly method: string;
  /** Path and query, byte for byte. */
  readonly target: string;
  /** Path without the query. */
  readonly path: string;
  readonly hostName: string;
  /** Headers to forward to the backend server. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** API key of the caller; undefined if it sent none. */
  readonly key: string | undefined;
  /** Time that the caller allows, counted from the request's arrival; undefined if not stated. */
  readonly deadlineMs: number | undefined;
  /** Time for which the request has waited for others of its connection, in ms. Default: 0. */
  readonly heldMs?: number | undefined;
  /** ID of the event after which the caller wants to resume a stream; undefined otherwise. */
  readonly lastEventId: string | undefined;
  /**
   * ID of the caller's request whose answer brought the first event of the stream that it takes
   * up; undefined if it names none.
   */
  readonly resumedRequestId?: string | undefined;
  readonly work: RequestWork;
  /** What the caller says of its prompt; undefined if nothing. */
  readonly prompt?: RequestPrompt | undefined;
  /** Whether the caller declared how many tokens the request takes. */
  readonly isSized: boolean;
}

/** Head of an answer. */
export interface DirectHead {
  readonly status: number;
  readonly headers: RawHeaders;
  /**
   * Whether the body's end is marked, by a length or by chunks. Otherwise it ends with its
   * connection, and a crash of its sender looks like its end.
   */
  readonly isFramed: boolean;
}

/** Sends the answer of one request to its caller. */
export abstract class DirectReply {
  /** Whether the caller has closed its connection. */
  abstract readonly isDisconnected: boolean;

  /** Whether the head of the answer was written. */
  abstract readonly hasStarted: boolean;

  /** @param handler - called once if the caller disconnects before the end of the answer */
  abstract onDisconnect(handler: () => void): void;

  /** @param head - head of the answer; {@link DirectReply.write} sends the body */
  abstract writeHead(head: DirectHead): void;

  /** @param bytes - the next bytes of the body */
  abstract write(bytes: Buffer): void;

  /** Ends the answer, with a mark if its head promised one. */
  abstract end(): void;

  /** Sends a complete answer. @param head - head of the answer. @param body - its body */
  abstract sendAnswer(head: DirectHead, body: Buffer): void;

  /** Aborts the answer in a way that the caller can't mistake for a complete one. */
  abstract abort(): void;

  /** Sends an error; nothing may be written before. @param error - why the request failed */
  abstract sendError(error: SchedulerError): void;
}

/** A request to send to one backend server. */
export interface BackendRequest {
  readonly request: DirectRequest;
  /** IP address and port. */
  readonly address: string;
  /** ID of the intended backend server; any other server must not run the request. */
  readonly serverId: string;
  /**
   * Incarnation of the intended backend server. Connections to another incarnation are
   * not used, since its requests ended with it.
   */
  readonly incarnationId: string;
  readonly accountId: string | undefined;
  /** Time left until the deadline, in milliseconds. */
  readonly deadlineMs: number;
  /** ID of the event after which to resume a stream; undefined otherwise. */
  readonly lastEventId: string | undefined;
  /** Urgency of the call; 0 is the most urgent. */
  readonly urgency: number;
}

/** Load that a backend server reports in the head of its answer. */
export interface ReportedLoad {
  /** Number of running requests. */
  readonly running: number;
  /** Number of queued requests. */
  readonly waiting: number;
  /** Number of requests that the server can run at once. */
  readonly slots: number;
}

/** What an answer says about the rate at which its backend server takes requests. */
export enum RateLimitKind {
  /** The answer names no limit. */
  None = 'none',
  Limited = 'limited',
  /** The answer holds a value that is no rate. */
  Invalid = 'invalid',
}

/** Whether a server that has no room names a time for which it wants nothing more. */
export enum PauseKind {
  Asked = 'asked',
  /** The answer holds a text that is no time. */
  Invalid = 'invalid',
}

/** Pause in the head of a backend server's answer, for the host that sent the request. */
export type PauseNotice =
  | { readonly kind: PauseKind.Asked; readonly pauseMs: number }
  | { readonly kind: PauseKind.Invalid; readonly text: string };

/** All that the head of a backend server's answer says of the server itself. */
export type ServerNotice = RateNotice & {
  /** Requests a second that the server may turn away for lack of room; undefined: not named. */
  readonly declinesPerSecond?: number | undefined;
  /** Whether the server says that it leaves. */
  readonly isLeaving?: boolean | undefined;
  /** Undefined: the server asks for none. */
  readonly pause?: PauseNotice | undefined;
};

/** Rate limit in the head of a backend server's answer. */
export type RateNotice =
  | { readonly kind: RateLimitKind.None }
  | {
      readonly kind: RateLimitKind.Limited;
      /** Requests a second that the server takes from all entry hosts together; 0 or more. */
      readonly requestsPerSecond: number;
    }
  | { readonly kind: RateLimitKind.Invalid; readonly text: string };

/** An answer that tells something of its backend server. */
export interface ServerEvidence {
  readonly requestId: string;
  readonly incarnationId: string;
  readonly notice: ServerNotice;
  /** Whether the answer carries the server's own mark. */
  readonly isAuthentic: boolean;
  /** When the answered request was sent, on the monotonic clock in milliseconds. */
  readonly sentAtMs: number;
}

/** Head of a backend server's answer. */
export interface BackendHead extends DirectHead {
  /** Whether it carries the backend server's own mark; a success without the mark is invalid. */
  readonly isAuthentic: boolean;
  readonly isEventStream: boolean;
  readonly load: ReportedLoad | undefined;
}

/** Why a backend server gave no complete answer. */
export enum BackendFailure {
  /** No byte of the request was sent: it has not run. */
  NotSent = 'not_sent',
  /** The server states that it did not run the request. */
  Declined = 'declined',
  /** Another incarnation answers at that address; it did not run the request. */
  Misdirected = 'misdirected',
  /** The answer is malformed or incomplete, or timed out: the request may have run. */
  Broken = 'broken',
  /**
   * The server closed or reset the connection: the request may have run, and the server
   * may have crashed.
   */
  Lost = 'lost',
}

/** Receives the answer to a request. Either its completion or its failure is reported, once. */
export interface BackendListener {
  /**
   * An answer has arrived. Called before any other handler, also for answers that decline the
   * request or can't be used; never for answers of another server.
   *
   * @param notice - what the answer says of its server
   * @param isAuthentic - whether the answer carries the server's own mark
   */
  onNotice(notice: ServerNotice, isAuthentic: boolean): void;
  /** @param head - head of the answer */
  onHead(head: BackendHead): void;
  /** @param bytes - next bytes of the body */
  onBody(bytes: Buffer): void;
  /** The answer is complete. */
  onComplete(): void;
  /** @param failure - why there is no complete answer. @param reason - details for the log */
  onFailure(failure: BackendFailure, reason: string): void;
}

/** A request that is in flight. */
export interface BackendExchange {
  /** Whether any byte may have been sent; false while the connection is still being opened. */
  readonly mayHaveBeenSent: boolean;
  /**
   * Cancels the request. Closes the connection, so that the server stops its work, and
   * calls no handler afterwards.
   */
  cancel(): void;
}

/** Sends requests to backend servers. */
export abstract class DirectBackendClient {
  /**
   * Sends one request.
   *
   * @param request - the request and its intended backend server
   * @param listener - receives the answer; never called before this method returns
   * @returns a handle of the request in flight
   */
  abstract send(request: BackendRequest, listener: BackendListener): BackendExchange;

  /**
   * Closes idle connections, which may stay silent after their link was cut.
   *
   * @param incarnationId - a server
   */
  abstract closeIdle(incarnationId: string): void;
}
