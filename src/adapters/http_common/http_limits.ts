/**
 * Limits on connections and requests that every listener enforces.
 *
 * @module
 */

/** Limits of one listener. */
export interface HttpLimits {
  /** Longest allowed body of an authenticated request, in bytes. */
  readonly maxBodyBytes: number;
  /** Longest allowed request line and headers together, in bytes. */
  readonly maxHeaderBytes: number;
  /** Most open connections whose requests are served. */
  readonly maxConnections: number;
  /** Longest time for the headers of a request to arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** Longest time for a request to arrive, body included, in milliseconds. */
  readonly requestTimeoutMs: number;
  /**
   * Most bytes of a refused body that are read and discarded before the connection is
   * closed.
   */
  readonly maxUnauthenticatedBodyBytes: number;
  /** Most bytes of bodies buffered at once over all connections. Default: 128 MiB. */
  readonly maxTotalBodyBytes?: number;
  /** Most bytes that requests take in sum until their answers are closed. Default: 32 MiB. */
  readonly maxTotalRequestBytes?: number;
  /** Longest time that a caller may read no byte of a pending answer. Default: 60 s. */
  readonly answerStallTimeoutMs?: number;
}

/** Default limits, suitable for a small host. */
export const DEFAULT_HTTP_LIMITS: Required<HttpLimits> = {
  maxBodyBytes: 4_194_304,
  maxHeaderBytes: 16_384,
  maxConnections: 2_000,
  headerTimeoutMs: 5_000,
  requestTimeoutMs: 15_000,
  maxUnauthenticatedBodyBytes: 65_536,
  maxTotalBodyBytes: 134_217_728,
  maxTotalRequestBytes: 33_554_432,
  answerStallTimeoutMs: 60_000,
};
