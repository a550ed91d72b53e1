/**
 * The call that a caller sends and the reply to it.
 *
 * @module
 */

/** One call to a model or a service. */
export interface CallerRequest {
  /** HTTP method, such as `POST`. */
  readonly method: string;
  /** Path and query: `/v1/chat/completions` or `/v1/services/{service}/…`. */
  readonly path: string;
  /** Headers for the backend server. With a body, `content-type` defaults to JSON. */
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: Uint8Array | string;
  /** Kind of work in the contract. Default: the first one that matches. */
  readonly workKind?: string;
  /** Deadline in milliseconds after the call. Default: the contract's deadline. */
  readonly deadlineMs?: number;
  /** A repeated call with the same key gets the same request ID until the ID expires. */
  readonly idempotencyKey?: string;
  /** W3C trace context of the caller. */
  readonly traceparent?: string;
  /** Aborts the call and the reading of its answer. */
  readonly signal?: AbortSignal;
}

/** The head of an answer, and its body to be read. */
export interface CallerReply {
  readonly requestId: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** The complete body. Rejects with `CallerError` when it breaks off and can't be resumed. */
  readonly body: AsyncIterable<Uint8Array>;
  /** Number of times that the body has been resumed over a new connection so far. */
  readonly resumes: number;
}
