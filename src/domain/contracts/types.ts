/**
 * Types of validated contracts and of the validated fleet document.
 *
 * @module
 */
import type { SoftwareVersion } from '../streams/mod.js';

import type { Tier } from '../scheduling/tier.js';

/** The kinds of service to which requests are dispatched. */
export enum ServiceKind {
  /** A pool of model engines that speak the OpenAI-compatible protocol. */
  Model = 'model',
  /** A plain HTTP service; calls and answers are forwarded unchanged. */
  Plain = 'plain',
}

/** One backend server of a service. */
export interface BackendServer {
  readonly id: string;
  readonly serviceId: string;
  /** Base URL with an IP address as host. */
  readonly url: string;
  /** ID of its {@link EngineKind}. */
  readonly engineKind: string;
  readonly availabilityZone: string;
  /** Software that it runs; undefined if the fleet document names none. */
  readonly softwareVersion?: SoftwareVersion | undefined;
}

/** A generation of hardware; its speeds and slots are initial estimates. */
export interface EngineKind {
  readonly id: string;
  /** Prompt tokens per second. */
  readonly prefillTokensPerSecond: number;
  /** Output tokens per second of a single stream without concurrent ones. */
  readonly decodeTokensPerSecond: number;
  /** Initial size of the concurrency window, in requests. */
  readonly slots: number;
}

/** One service and its backend servers. */
export interface Service {
  readonly id: string;
  readonly kind: ServiceKind;
  /** Names of the models that it serves; empty for a plain service. */
  readonly models: readonly string[];
  /** Whether its backend servers answer `Expect: 100-continue` before they read a body. */
  readonly honoursContinue: boolean;
  /** Whether its backend servers refuse requests with an outdated fencing token. */
  readonly checksOrders: boolean;
  /** Maximum number of backend servers that one dispatcher manages. */
  readonly dispatchGroupSize: number;
  readonly backendServers: readonly BackendServer[];
}

/** The accepted fleet document. */
export interface Fleet {
  readonly services: readonly Service[];
  readonly engineKinds: readonly EngineKind[];
}

/** Settings of one kind of work of one client account at one service. */
export interface WorkKind {
  readonly kind: string;
  readonly serviceId: string;
  readonly tier: Tier;
  /** Whether a request may run more than once; if not, it needs a request ID. */
  readonly repeatable: boolean;
  /** Default deadline of a request without its own, in milliseconds. */
  readonly deadlineMs: number;
  /** Initial estimate of a request's output, in tokens. */
  readonly expectedOutputTokens: number;
  /** HTTP methods that it covers, for plain services; empty: all. */
  readonly methods: readonly string[];
  /** Path prefixes that it covers, for plain services; empty: all. */
  readonly pathPrefixes: readonly string[];
}

/** Limits of one client account across all entry hosts. */
export interface AccountLimits {
  readonly requestsPerSecond: number;
  /** Prompt and output tokens per second. */
  readonly tokensPerSecond: number;
  /** Maximum number of concurrent requests. */
  readonly inFlight: number;
}

/** The validated contract of one client account, defaults included. */
export interface AccountContract {
  readonly accountId: string;
  /** SHA-256 of each valid API key, in lower-case hex. */
  readonly keyHashes: readonly string[];
  /** Weight in fair queueing within a tier. */
  readonly weight: number;
  readonly limits: AccountLimits;
  /** Maximum deadline that a caller may request, in milliseconds. */
  readonly longestDeadlineMs: number;
  /** Kinds of work; a call without a `Work-Kind` header has the first kind that covers it. */
  readonly work: readonly WorkKind[];
}
