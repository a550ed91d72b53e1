/**
 * The last hop: calls to backend servers.
 *
 * @module
 */
import type { BackendServer } from '../domain/contracts/types.js';

/** One call that is to be dispatched. */
export interface BackendCall {
  readonly backendServer: BackendServer;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Headers to be sent, without those of the connection. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Whether the body may be held back until the backend server answers 100. */
  readonly honoursContinue: boolean;
  /** How long to wait for the 100 before the connection is given up, in milliseconds. */
  readonly continueTimeoutMs: number;
  /**
   * How long the head may take after the hand-over, in milliseconds; undefined
   * waits until the signal.
   */
  readonly headTimeoutMs?: number;
  /**
   * Asked at the last moment before the body leaves. When it answers false the
   * connection is closed and nothing has run.
   */
  readonly mayHandOver: () => boolean;
  /** Called right before the first byte that could make the call run leaves. */
  readonly onHandOver: () => void;
  /** Ends the call and its answer. */
  readonly signal: AbortSignal;
}

/** The answer of a backend server, head first. */
export interface BackendAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** Whether its end is marked; if not, a server that ends looks like the end of its answer. */
  readonly isFramed: boolean;
  /** Name under which the engine lets the stream be resumed and cancelled. */
  readonly streamId: string | undefined;
  /** Fails with {@link BackendCallError} when it breaks off. */
  readonly body: AsyncIterable<Uint8Array>;
}

/** How far a failed call had come. */
export enum BackendCallStage {
  /** The body never left: the call has not run. */
  BeforeHandOver = 'before_hand_over',
  /** The body may have arrived: the call may have run. */
  AfterHandOver = 'after_hand_over',
  /** The head of the answer was read: the call ran. */
  Answering = 'answering',
}

/** A call that failed, and how far it had come. */
export class BackendCallError extends Error {
  override readonly name = 'BackendCallError';

  /**
   * @param stage - how far the call had come
   * @param message - what could not be done, and why
   * @param options - the error underneath
   */
  constructor(
    readonly stage: BackendCallStage,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Load of one backend server, as it reported it (late). */
export interface BackendLoad {
  readonly running: number;
  readonly waiting: number;
  /** The backend server itself says that it leaves. */
  readonly leaving: boolean;
}

/** One change of a prefix cache. Events come late and with gaps in `sequence`. */
export interface CacheEvent {
  readonly sequence: number;
  readonly stored: boolean;
  /** Chained hash of one block of the prompt; see docs/API.md. */
  readonly blockHash: string;
}

/** Where to go on in a stream. */
export interface ResumePoint {
  readonly backendServer: BackendServer;
  readonly streamId: string;
  /** Bytes of the answer's body that are already there. */
  readonly offset: number;
  readonly signal: AbortSignal;
}

/** Calls backend servers. */
export abstract class BackendServerClient {
  /**
   * Sends one call, once.
   *
   * @param call - the call
   * @returns the answer's head and its body as it comes
   * @throws BackendCallError with the stage that the call had reached
   */
  abstract dispatch(call: BackendCall): Promise<BackendAnswer>;

  /**
   * Goes on reading a stream that runs already; starts nothing.
   *
   * @param point - which stream, and from where
   * @returns the rest of the answer
   * @throws BackendCallError when there is no such stream
   */
  abstract resume(point: ResumePoint): Promise<BackendAnswer>;

  /**
   * Cancels a stream that nobody will read.
   *
   * @param backendServer - where it runs
   * @param streamId - its name there
   * @returns when the backend server has answered, or can't be reached
   */
  abstract cancel(backendServer: BackendServer, streamId: string): Promise<void>;

  /**
   * @param backendServer - whose load to read
   * @returns its last report
   * @throws BackendCallError when it can't be read
   */
  abstract readLoad(backendServer: BackendServer): Promise<BackendLoad>;

  /**
   * @param backendServer - whose cache events to read
   * @param after - last sequence number that was seen
   * @returns the events after it, with gaps
   * @throws BackendCallError when they can't be read
   */
  abstract readCacheEvents(
    backendServer: BackendServer,
    after: number,
  ): Promise<readonly CacheEvent[]>;
}
