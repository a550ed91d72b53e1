/**
 * The application's interface to the callers' listener.
 *
 * @module
 */
import type { SoftwareVersion } from '../../domain/streams/mod.js';
import type { AccountContract } from '../../domain/contracts/types.js';
import type { RequestState } from '../../domain/requests/request_state.js';
import type { RunOutcome } from '../../domain/errors/mod.js';

/** ID and URL of an entry host that a caller may use. */
export interface CallerAddress {
  readonly id: string;
  readonly url: string;
}

/** A new request ID, and the entry hosts that accept it. */
export interface Assignment {
  readonly id: string;
  /** The entry host that owns the ID. */
  readonly entryHost: CallerAddress;
  /** Other entry hosts that accept the same ID, nearest first. */
  readonly entryHosts: readonly CallerAddress[];
  /** Time for which the caller may cache the addresses, in milliseconds. */
  readonly keepMs: number;
}

/** A call that the listener has read and authenticated. */
export interface CallerCall {
  readonly account: AccountContract;
  /** Undefined if the caller sent no request ID. */
  readonly requestId: string | undefined;
  readonly serviceId: string;
  /** The work kind that the caller named in `Work-Kind`, if any. */
  readonly workKind: string | undefined;
  readonly method: string;
  /** Path and query to send to the backend server. */
  readonly path: string;
  /** Lower-case headers for the backend server, without hop-by-hop headers and credentials. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Deadline that the caller set, in milliseconds; undefined for the default of the contract. */
  readonly deadlineMs: number | undefined;
  readonly traceparent: string | undefined;
  /** Aborted when the caller disconnects. */
  readonly callerGone: AbortSignal;
}

/** An answer that is streamed to the caller. */
export interface CallerAnswer {
  readonly requestId: string;
  readonly status: number;
  /** Headers of the backend server, plus `request-id`, `backend-server` and `stream-id`. */
  readonly headers: Readonly<Record<string, string>>;
  /** Whether the end of the body is marked; otherwise it ends with its connection. */
  readonly isFramed: boolean;
  /** Throws a SchedulerError if the answer breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** State of one request, as returned by `GET /v1/requests/{id}`. */
export interface RequestReport {
  readonly id: string;
  readonly state: RequestState;
  readonly run: RunOutcome;
  /** Length of the answer so far, in bytes. */
  readonly answerBytes: number;
  /** Error kind of a refused or failed request. */
  readonly code: string | undefined;
  readonly backendServer: string | undefined;
  readonly streamId: string | undefined;
}

/** Where a read resumes, and the hints with which another entry host can resume a stream. */
export interface ReadOptions {
  /** Number of bytes of the answer that the caller already has. */
  readonly offset: number;
  /** The answer's `backend-server` header, if the caller kept it. */
  readonly backendServer: string | undefined;
  /** The answer's `stream-id` header, if the caller kept it. */
  readonly streamId: string | undefined;
  /** The answer's `backend-server-version` header, if it had one and the caller kept it. */
  readonly softwareVersion?: SoftwareVersion | undefined;
  /** Aborted when the caller disconnects. */
  readonly callerGone: AbortSignal;
}

/** Handles the requests of callers. Every method may throw a SchedulerError. */
export abstract class RequestGateway {
  /**
   * @param apiKey - the key that the caller sent; undefined if it sent none
   * @returns the account's contract
   */
  abstract authenticate(apiKey: string | undefined): AccountContract;

  /**
   * @param account - the caller's account
   * @param idempotencyKey - the caller's idempotency key, if it sent one
   * @returns a request ID and the addresses of entry hosts
   */
  abstract assign(
    account: AccountContract,
    idempotencyKey: string | undefined,
  ): Promise<Assignment>;

  /** @param call - the call. @returns the answer, once its head has arrived */
  abstract submit(call: CallerCall): Promise<CallerAnswer>;

  /**
   * @param account - the caller's account
   * @param requestId - the request
   * @param options - where the read resumes
   * @returns the rest of the answer
   */
  abstract read(
    account: AccountContract,
    requestId: string,
    options: ReadOptions,
  ): Promise<CallerAnswer>;

  /** @param account - the caller's account. @param requestId - the request. @returns its state */
  abstract readState(account: AccountContract, requestId: string): Promise<RequestReport>;

  /**
   * @param account - the caller's account
   * @param requestId - the request to cancel
   * @returns the state after the cancellation
   */
  abstract cancel(account: AccountContract, requestId: string): Promise<RequestReport>;

  /** @param account - the caller's account. @returns names of the models that it may use */
  abstract listModels(account: AccountContract): readonly string[];

  /** @param model - a model's name. @returns the service that serves it, if any */
  abstract findServiceIdByModel(model: string): string | undefined;
}
