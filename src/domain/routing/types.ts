/**
 * What operators publish for calls that bear their own request ID: routes,
 * services and client accounts.
 *
 * @module
 */

import type { Regions } from '../places/mod.js';

/** One of the services that share a route's requests. */
export interface WeightedService {
  readonly serviceId: string;
  /** Share relative to the other services of the route; above 0. */
  readonly weight: number;
}

/** How requests below one path prefix of one host name are handled. */
export interface Route {
  readonly name: string;
  /** Host name that the caller asked for. */
  readonly hostName: string;
  /** Start of the path, with a slash at both ends. */
  readonly prefix: string;
  readonly services: readonly WeightedService[];
  /** Whether a request may be run more than once. */
  readonly isRepeatable: boolean;
  /** Whether the answer is a series of events. */
  readonly isStream: boolean;
  /** Whether a broken stream may go on at another backend server. */
  readonly isResumable: boolean;
  /** Longest time that a caller may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to its first event, that callers aim at, in milliseconds. */
  readonly targetMs: number;
  /** Longest pause between events that callers accept, in milliseconds; 0: none is set. */
  readonly targetGapMs: number;
  /** Rank of its requests; 0 is the most urgent. */
  readonly rank: number;
  /** Most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether it is served without a key. */
  readonly isOpen: boolean;
  /** Regions in which its requests may be handled. */
  readonly regions?: Regions;
}

/** A service that backend servers belong to. */
export interface ServiceInfo {
  readonly id: string;
  /** Most connections that one of its backend servers accepts from all entry hosts. */
  readonly maxConnections: number;
  /** Whether its backend servers are model engines. */
  readonly isEngine: boolean;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** What one of its backend servers bears while it warms up; undefined: as much as when warm. */
  readonly warmup?: ServiceWarmup | undefined;
}

/** How backend servers of a service warm up after their start. */
export interface ServiceWarmup {
  readonly durationMs: number;
  /** Requests a second that a cold one bears. */
  readonly requestsPerSecond: number;
}

/** What an account's limit counts. */
export enum LimitUnit {
  Requests = 'requests',
  Tokens = 'tokens',
}

/** Limit of one client account, over all entry hosts together. */
export interface AccountLimit {
  readonly unit: LimitUnit;
  /** Units a second. */
  readonly ratePerSecond: number;
  /** Most units that gather while the account is quiet. */
  readonly burst: number;
  /** Units of a request that doesn't say how many it takes. */
  readonly unitsOfUnsized: number;
}

/** A client account. */
export interface ClientAccount {
  readonly id: string;
  readonly keys: readonly string[];
  /** Rank of its requests, which goes before their routes'; undefined: the most urgent. */
  readonly rank: number | undefined;
  /** Undefined: the account has no limit. */
  readonly limit: AccountLimit | undefined;
  /** Regions in which its requests may be handled. */
  readonly regions?: Regions;
}

/** Limits on what one caller's connection may do. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One published configuration as a whole. */
export interface RoutingDocument {
  /** Rises with each publication. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceInfo[];
  readonly accounts: readonly ClientAccount[];
  readonly callerLimits: CallerLimits;
}
