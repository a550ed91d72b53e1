/**
 * Limits that every listener puts on what comes from outside.
 *
 * @module
 */

/** Limits of one listener. */
export interface HttpLimits {
  /** Longest body of an authenticated request, in bytes. */
  readonly maxBodyBytes: number;
  /** Longest request line and headers together, in bytes. */
  readonly maxHeaderBytes: number;
  /** Most open connections that are served. */
  readonly maxConnections: number;
  /** How long a request's headers may take, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** How long a whole request, body included, may take to arrive, in milliseconds. */
  readonly requestTimeoutMs: number;
  /**
   * How much of a refused body is read and thrown away before the connection
   * is closed, in bytes.
   */
  readonly maxUnauthenticatedBodyBytes: number;
  /** Most bytes of bodies held at once over all connections; 128 MiB by default. */
  readonly maxTotalBodyBytes?: number;
  /** How long a caller may take no byte of an answer that waits for it; 60 s by default. */
  readonly answerStallTimeoutMs?: number;
}

/** Limits that fit a small host. */
export const DEFAULT_HTTP_LIMITS: Required<HttpLimits> = {
  maxBodyBytes: 4_194_304,
  maxHeaderBytes: 16_384,
  maxConnections: 2_000,
  headerTimeoutMs: 5_000,
  requestTimeoutMs: 15_000,
  maxUnauthenticatedBodyBytes: 65_536,
  maxTotalBodyBytes: 134_217_728,
  answerStallTimeoutMs: 60_000,
};
