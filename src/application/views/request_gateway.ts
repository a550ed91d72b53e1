/**
 * What the callers' listener asks of the application.
 *
 * @module
 */
import type { AccountContract } from '../../domain/contracts/types.js';
import type { RequestState } from '../../domain/requests/request_state.js';
import type { RunOutcome } from '../../domain/errors/mod.js';

/** One address that a caller may use. */
export interface CallerAddress {
  readonly id: string;
  readonly url: string;
}

/** Answer to "which entry host, which ID". */
export interface Assignment {
  readonly id: string;
  readonly entryHost: CallerAddress;
  /** Other entry hosts that take the same ID, nearest first. */
  readonly entryHosts: readonly CallerAddress[];
  /** How long the caller may keep the addresses, in milliseconds. */
  readonly keepMs: number;
}

/** A caller's call, after the listener has read and authenticated it. */
export interface CallerCall {
  readonly account: AccountContract;
  /** Undefined when the call came without an ID. */
  readonly requestId: string | undefined;
  readonly serviceId: string;
  /** The work kind that the caller named in `Work-Kind`, if any. */
  readonly workKind: string | undefined;
  readonly method: string;
  /** Path and query for the backend server. */
  readonly path: string;
  /** Headers for the backend server, lower-case, without hop-by-hop ones and credentials. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Deadline that the caller asked for, in milliseconds; undefined for the contract's. */
  readonly deadlineMs: number | undefined;
  readonly traceparent: string | undefined;
  /** Aborted when the caller's connection is gone. */
  readonly callerGone: AbortSignal;
}

/** An answer on its way to the caller. */
export interface CallerAnswer {
  readonly requestId: string;
  readonly status: number;
  /** Headers of the backend server, with `request-id`, `backend-server` and `stream-id`. */
  readonly headers: Readonly<Record<string, string>>;
  /** Fails with SchedulerError when it breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** State of one request, as `GET /v1/requests/{id}` tells it. */
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

/** Where a read goes on, and the hints that let another entry host resume a stream. */
export interface ReadOptions {
  /** Bytes of the answer that the caller has. */
  readonly offset: number;
  /** As the answer's headers named them, if the caller kept them. */
  readonly backendServer: string | undefined;
  readonly streamId: string | undefined;
  readonly callerGone: AbortSignal;
}

/** Takes in what callers ask. Every method may throw SchedulerError. */
export abstract class RequestGateway {
  /**
   * @param apiKey - the key as the caller sent it; undefined when it sent none
   * @returns the account's contract
   */
  abstract authenticate(apiKey: string | undefined): AccountContract;

  /**
   * @param account - the caller's account
   * @param idempotencyKey - the caller's key, if it sent one
   * @returns an ID and the addresses
   */
  abstract assign(
    account: AccountContract,
    idempotencyKey: string | undefined,
  ): Promise<Assignment>;

  /** @param call - the call. @returns its answer, head first */
  abstract submit(call: CallerCall): Promise<CallerAnswer>;

  /**
   * @param account - the caller's account
   * @param requestId - which request
   * @param options - where to go on
   * @returns the rest of the answer
   */
  abstract read(
    account: AccountContract,
    requestId: string,
    options: ReadOptions,
  ): Promise<CallerAnswer>;

  /** @param account - the caller's account. @param requestId - which. @returns its state */
  abstract readState(account: AccountContract, requestId: string): Promise<RequestReport>;

  /** @param account - the caller's account. @param requestId - which. @returns its state after */
  abstract cancel(account: AccountContract, requestId: string): Promise<RequestReport>;

  /** @param account - the caller's account. @returns names of models that it may use */
  abstract listModels(account: AccountContract): readonly string[];

  /** @param model - a model's name. @returns the service that serves it, if any */
  abstract findServiceOfModel(model: string): string | undefined;
}
