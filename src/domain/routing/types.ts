/**
 * Types of the published routing configuration, for calls that carry a request ID:
 * routes, services and client accounts.
 *
 * @module
 */

import type { AllowedRegions } from '../places/mod.js';

/** One of the services among which a route's requests are divided. */
export interface WeightedService {
  readonly serviceId: string;
  /** Weight relative to the other services of the route; above 0. */
  readonly weight: number;
}

/** Settings for the requests of one host name whose path starts with one prefix. */
export interface Route {
  readonly name: string;
  /** Host name in the request. */
  readonly hostName: string;
  /** Path prefix; begins and ends with a slash. */
  readonly prefix: string;
  readonly services: readonly WeightedService[];
  /** Whether a request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether the answer is a stream of events. */
  readonly isStream: boolean;
  /** Whether another backend server may resume an interrupted stream. */
  readonly isResumable: boolean;
  /** Maximum time for which a caller may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Target latency until the answer or, for a stream, its first event, in milliseconds. */
  readonly targetMs: number;
  /** Longest acceptable gap between the events of a stream, in milliseconds; 0: no target. */
  readonly targetGapMs: number;
  /** Rank of its requests; 0 is the most urgent. */
  readonly rank: number;
  /** Maximum number of backend servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether requests without an API key are served. */
  readonly mayBeAnonymous: boolean;
  /** Regions in which its requests may be handled; undefined: all. */
  readonly regions?: AllowedRegions;
}

/** A service and the properties that its backend servers share. */
export interface ServiceInfo {
  readonly id: string;
  /** Maximum number of connections that one backend server accepts from all entry hosts. */
  readonly maxConnections: number;
  /** Whether its backend servers are model engines. */
  readonly isEngine: boolean;
  /** Number of output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Load limits of a backend server during warm-up; undefined: full load from the start. */
  readonly warmup?: ServiceWarmup | undefined;
}

/** The warm-up of a service's backend servers after their start. */
export interface ServiceWarmup {
  readonly durationMs: number;
  /** Requests per second that a cold backend server can handle. */
  readonly requestsPerSecond: number;
}

/** The unit in which an account's limit is counted. */
export enum LimitUnit {
  Requests = 'requests',
  Tokens = 'tokens',
}

/** Rate limit of one client account across all entry hosts. */
export interface AccountLimit {
  readonly unit: LimitUnit;
  /** Units per second. */
  readonly ratePerSecond: number;
  /** Maximum number of units that accumulate while the account is idle. */
  readonly burst: number;
  /** Units charged for a request without a declared size. */
  readonly unitsOfUnsized: number;
}

/** A client account. */
export interface ClientAccount {
  readonly id: string;
  /** API keys of the account. */
  readonly keys: readonly string[];
  /** Rank of its requests, which precedes the rank of the route; undefined: 0, the most urgent. */
  readonly rank: number | undefined;
  /** Rate limit; undefined: the account has no limit. */
  readonly limit: AccountLimit | undefined;
  /** Regions in which its requests may be handled; undefined: all. */
  readonly regions?: AllowedRegions;
  /** Weight of its share of the slots, relative to other accounts. Default: 1. */
  readonly weight?: number | undefined;
}

/** Limits on each connection of a caller. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One published routing configuration. */
export interface RoutingDocument {
  /** Version number; increases with each publication. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceInfo[];
  readonly accounts: readonly ClientAccount[];
  readonly callerLimits: CallerLimits;
}
