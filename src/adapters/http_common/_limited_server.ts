/**
 * Creates HTTP servers with limits on sizes, times and connections.
 *
 * @module
 */
import { createServer } from 'node:http';
import type { Server, ServerOptions } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { HttpLimits } from './http_limits.js';

/** Most connections over the limit that still get an error answer; others are dropped. */
const MAX_OVERFLOW_CONNECTIONS = 128;

/** Interval of the checks for requests that exceed a timeout. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/** Longest time that an idle connection stays open, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 10_000;

/** Idle time before TCP probes whether the caller is still reachable, in milliseconds. */
const TCP_KEEP_ALIVE_DELAY_MS = 15_000;

/** Certificate and private key of a listener, in PEM. */
export interface TlsIdentity {
  readonly certificate: string | Buffer;
  readonly key: string | Buffer;
}

/** Options of {@link createLimitedServer}. */
export interface LimitedServerOptions {
  readonly limits: HttpLimits;
  /** Certificate and key for HTTPS; without them the server speaks plain HTTP. */
  readonly tls?: TlsIdentity | undefined;
  /** Whether connections make room for new ones, so that none is dropped. */
  readonly answersAtOnce?: boolean | undefined;
}

/**
 * Creates a server.
 *
 * @param options - limits and certificate
 * @returns the server, not listening yet
 */
export function createLimitedServer({ limits, tls, answersAtOnce }: LimitedServerOptions): Server {
  const options: ServerOptions = {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headerTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connectionsCheckingInterval: Math.min(TIMEOUT_CHECK_INTERVAL_MS, limits.headerTimeoutMs),
    // The listener checks the header itself, to answer as the error table defines it.
    requireHostHeader: false,
    // Without probes, a caller that became unreachable would occupy its connection forever.
    keepAlive: true,
    keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS,
    noDelay: true,
  };
  const server = tls
    ? createTlsServer({
        ...options,
        cert: tls.certificate,
        key: tls.key,
        handshakeTimeout: limits.headerTimeoutMs,
      })
    : createServer(options);
  if (!answersAtOnce) server.maxConnections = limits.maxConnections + MAX_OVERFLOW_CONNECTIONS;
  return server;
}
