/**
 * A caller's call and its answer.
 *
 * @module
 */

/** One call. */
export interface CallerRequest {
  /** Such as `POST`. */
  readonly method: string;
  /** Path and query: `/v1/chat/completions` or `/v1/services/{service}/…`. */
  readonly path: string;
  /** Headers for the backend server; `content-type` is JSON where there is a body and none is named. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** Kind of work in the contract; by default the first that fits. */
  readonly workKind?: string;
  /** Deadline in milliseconds; by default the contract's. */
  readonly deadlineMs?: number;
  /** Gives the same ID to a repeated call, while the ID lives. */
  readonly idempotencyKey?: string;
  /** W3C trace context of the caller. */
  readonly traceparent?: string;
  /** Ends the call and its answer. */
  readonly signal?: AbortSignal;
}

/** An answer, head first. */
export interface CallerReply {
  readonly requestId: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** The whole body. Fails with CallerError when it breaks off and can't be read on. */
  readonly body: AsyncIterable<Uint8Array>;
  /** How often the body was read on through a new connection so far. */
  readonly resumes: number;
}
