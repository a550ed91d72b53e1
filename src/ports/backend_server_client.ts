/**
 * Defines the client that calls backend servers.
 *
 * @module
 */
import type { BackendServer } from '../domain/contracts/types.js';

/** One call to dispatch to a backend server. */
export interface BackendCall {
  readonly backendServer: BackendServer;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Request headers, without the headers of the connection. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Whether the body may be withheld until the backend server answers 100 Continue. */
  readonly honoursContinue: boolean;
  /** How long to wait for 100 Continue before the connection is closed, in milliseconds. */
  readonly continueTimeoutMs: number;
  /**
   * Timeout for the response head, counted from the hand-over of the body, in
   * milliseconds; undefined waits until `signal` aborts.
   */
  readonly headTimeoutMs?: number;
  /**
   * Called at the last moment before the body is sent. If it returns false, the
   * connection is closed and the call has not run.
   */
  readonly mayHandOver: () => boolean;
  /** Called right before the first byte is sent that could make the call run. */
  readonly onHandOver: () => void;
  /** Aborts the call and its answer. */
  readonly signal: AbortSignal;
}

/** The answer of a backend server: its head, and its body as a stream. */
export interface BackendAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /**
   * Whether the body's length or end is marked by HTTP framing. Without framing, a
   * crash of the server looks like the end of its answer.
   */
  readonly isFramed: boolean;
  /** ID by which the engine resumes or cancels the stream; undefined if it can do neither. */
  readonly streamId: string | undefined;
  /** Body bytes; iteration fails with {@link BackendCallError} if the answer is cut off. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** Stage that a failed call had reached. */
export enum BackendCallStage {
  /** The body was not sent: the call has not run. */
  BeforeHandOver = 'before_hand_over',
  /** The body may have arrived: the call may have run. */
  AfterHandOver = 'after_hand_over',
  /** The head of the answer was received: the call ran. */
  Answering = 'answering',
}

/** A failed call and the stage that it had reached. */
export class BackendCallError extends Error {
  override readonly name = 'BackendCallError';

  /**
   * @param stage - the stage that the call had reached
   * @param message - what failed, and why
   * @param options - the underlying error as its cause
   */
  constructor(
    readonly stage: BackendCallStage,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Load of one backend server as last reported by it; the report may be out of date. */
export interface BackendLoad {
  /** Number of running requests. */
  readonly running: number;
  /** Number of queued requests. */
  readonly waiting: number;
  /** Whether the backend server reports that it is draining. */
  readonly leaving: boolean;
}

/** One change of a prefix cache. Events arrive late and with gaps in `sequence`. */
export interface CacheEvent {
  readonly sequence: number;
  /** Whether the block was stored; false if it was removed. */
  readonly stored: boolean;
  /** Chained hash of one block of the prompt; see docs/API.md. */
  readonly blockHash: string;
}

/** The position at which to resume a stream. */
export interface ResumePoint {
  readonly backendServer: BackendServer;
  readonly streamId: string;
  /** Number of bytes of the answer's body that were already received. */
  readonly offset: number;
  /** Aborts the resumed answer. */
  readonly signal: AbortSignal;
}

/** Calls backend servers. */
export abstract class BackendServerClient {
  /**
   * Sends one call without retries.
   *
   * @param call - the call
   * @returns the answer's head, and its body as a stream
   * @throws BackendCallError with the stage that the call had reached
   */
  abstract dispatch(call: BackendCall): Promise<BackendAnswer>;

  /**
   * Resumes reading a stream that is already running; never starts a new run.
   *
   * @param point - the stream and the offset
   * @returns the rest of the answer
   * @throws BackendCallError if the stream does not exist
   */
  abstract resume(point: ResumePoint): Promise<BackendAnswer>;

  /**
   * Cancels a stream that nobody will read.
   *
   * @param backendServer - the backend server that runs it
   * @param streamId - the stream's ID on that backend server
   * @returns a promise that resolves when the server has answered or proves unreachable
   */
  abstract cancel(backendServer: BackendServer, streamId: string): Promise<void>;

  /**
   * Reads the load of a backend server.
   *
   * @param backendServer - the backend server
   * @returns its last load report
   * @throws BackendCallError if the load can't be read
   */
  abstract readLoad(backendServer: BackendServer): Promise<BackendLoad>;

  /**
   * Reads the changes of a backend server's prefix cache.
   *
   * @param backendServer - the backend server
   * @param after - the last sequence number that was read
   * @returns the events after that number, possibly with gaps
   * @throws BackendCallError if the events can't be read
   */
  abstract readCacheEvents(
    backendServer: BackendServer,
    after: number,
  ): Promise<readonly CacheEvent[]>;
}
