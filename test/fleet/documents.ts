/**
 * Types of the configuration documents that operators publish, as the tests write them.
 *
 * @module
 */
import { createHash } from 'node:crypto';

/** One backend server of the fleet document. */
export interface BackendServerDocument {
  readonly id: string;
  readonly url: string;
  readonly engineKind?: string;
  readonly availabilityZone: string;
}

/** One service of the fleet document. */
export interface ServiceDocument {
  readonly id: string;
  readonly kind: 'model' | 'plain';
  readonly models: readonly string[];
  readonly honoursContinue: boolean;
  readonly checksOrders: boolean;
  readonly dispatchGroupSize: number;
  readonly backendServers: readonly BackendServerDocument[];
}

/** One engine kind of the fleet document. */
export interface EngineKindDocument {
  readonly id: string;
  readonly prefillTokensPerSecond: number;
  readonly decodeTokensPerSecond: number;
  readonly slots: number;
}

/** The fleet document. */
export interface FleetDocument {
  readonly services: readonly ServiceDocument[];
  readonly engineKinds: readonly EngineKindDocument[];
}

/** One work kind of a contract document. */
export interface WorkDocument {
  readonly kind: string;
  readonly service: string;
  readonly tier: 'urgent' | 'standard' | 'batch';
  readonly repeatable: boolean;
  readonly deadlineMs: number;
  readonly expectedOutputTokens?: number;
  readonly methods?: readonly string[];
  readonly pathPrefixes?: readonly string[];
}

/** The contract document of one client account. */
export interface ContractDocument {
  readonly account: string;
  readonly keys: readonly { readonly sha256: string }[];
  readonly weight: number;
  readonly limits: {
    readonly requestsPerSecond: number;
    readonly tokensPerSecond: number;
    readonly inFlight: number;
  };
  readonly longestDeadlineMs: number;
  readonly work: readonly WorkDocument[];
}

/** Credentials of a client account. */
export interface ClientAccount {
  readonly id: string;
  readonly apiKey: string;
}

/**
 * Builds the API key of an account in tests.
 *
 * @param accountId - ID of the account
 * @returns the API key
 */
export function buildApiKey(accountId: string): string {
  return `test-key-of-${accountId}`;
}

/**
 * Hashes an API key for a contract document.
 *
 * @param apiKey - the API key
 * @returns SHA-256 in lower-case hex
 */
export function hashApiKey(apiKey: string): string {
  return createHash('sha256').update(apiKey).digest('hex');
}
