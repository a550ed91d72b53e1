/**
 * What follows from accepted contracts and from the fleet document, in the
 * form that the rest of the system reads.
 *
 * @module
 */
import type { Tier } from '../scheduling/tier.js';

/** The two kinds of service that stand behind the system. */
export enum ServiceKind {
  /** A pool of model engines with the OpenAI-compatible protocol. */
  Model = 'model',
  /** A plain HTTP service, passed through whole. */
  Plain = 'plain',
}

/** One backend server of a service. */
export interface BackendServer {
  readonly id: string;
  readonly serviceId: string;
  /** Base URL, by IP number. */
  readonly url: string;
  readonly engineKind: string;
  readonly availabilityZone: string;
}

/** A generation of hardware; the figures are where learning starts from. */
export interface EngineKind {
  readonly id: string;
  /** Tokens a second. */
  readonly prefillTokensPerSecond: number;
  /** Tokens a second for one stream alone. */
  readonly decodeTokensPerSecond: number;
  /** Concurrent requests that the window starts from. */
  readonly slots: number;
}

/** One service and its backend servers. */
export interface Service {
  readonly id: string;
  readonly kind: ServiceKind;
  /** Names of the models it serves; empty for a plain service. */
  readonly models: readonly string[];
  /** Whether its backend servers answer `Expect: 100-continue` before they take a body. */
  readonly honoursContinue: boolean;
  /** Whether its backend servers refuse an order with an old fencing number. */
  readonly checksOrders: boolean;
  /** Most backend servers that one dispatcher looks after. */
  readonly dispatchGroupSize: number;
  readonly backendServers: readonly BackendServer[];
}

/** The accepted fleet document. */
export interface Fleet {
  readonly services: readonly Service[];
  readonly engineKinds: readonly EngineKind[];
}

/** What holds for one kind of work of one client account. */
export interface WorkKind {
  readonly kind: string;
  readonly serviceId: string;
  readonly tier: Tier;
  /** Whether it may be sent without a request ID. */
  readonly repeatable: boolean;
  /** Deadline where the caller names none, in milliseconds. */
  readonly deadlineMs: number;
  /** Expected output before anything was learnt, in tokens. */
  readonly expectedOutputTokens: number;
  /** Methods that it covers (plain services); empty: all. */
  readonly methods: readonly string[];
  /** Path prefixes that it covers (plain services); empty: all. */
  readonly pathPrefixes: readonly string[];
}

/** Limits of one client account over the whole deployment. */
export interface AccountLimits {
  readonly requestsPerSecond: number;
  /** Prompt and output tokens a second. */
  readonly tokensPerSecond: number;
  readonly inFlight: number;
}

/** Everything that follows from one client account's contract. */
export interface AccountContract {
  readonly accountId: string;
  /** SHA-256 of each API key in force, in lower-case hex. */
  readonly keyHashes: readonly string[];
  /** Weight in fair sharing inside a tier. */
  readonly weight: number;
  readonly limits: AccountLimits;
  /** Longest deadline that a caller may ask for, in milliseconds. */
  readonly longestDeadlineMs: number;
  /** Kinds of work; the first that fits a call without a `Work-Kind` header holds. */
  readonly work: readonly WorkKind[];
}
