/**
 * Builds the documents that the fake feed of a test holds.
 *
 * @module
 */
import type { StoreLayout } from '../../src/application/direct/mod.js';
import type { BackendServerEntry } from '../../src/domain/backend_servers/mod.js';
import type {
  AccountLimit,
  ClientAccount,
  Route,
  RoutingDocument,
  ServiceWarmup,
} from '../../src/domain/routing/mod.js';

/** Prefix of the keys that close an availability zone in tests. */
export const CLOSED_ZONES_PREFIX = 'closed/';

/** Where the test's store holds what, as JSON. */
export const TEST_LAYOUT: StoreLayout = {
  configurationKey: 'configuration',
  serversPrefix: 'servers/',
  closedZonesPrefix: CLOSED_ZONES_PREFIX,
  decodeConfiguration: (value) => JSON.parse(Buffer.from(value).toString()) as RoutingDocument,
  decodeServer: (_key, value) => JSON.parse(Buffer.from(value).toString()) as BackendServerEntry,
};

/** Overrides for {@link buildDocument}. */
export interface DocumentChanges {
  readonly keys?: readonly string[];
  /** IDs of accounts besides the first one; the key of each is its ID behind `key-`. */
  readonly accounts?: readonly string[];
  readonly limit?: AccountLimit;
  readonly route?: Partial<Route>;
  /** Changes of several routes, each with a name and prefix of its own. Default: one route. */
  readonly routes?: readonly Partial<Route>[];
  /** Number of output tokens in one event. Default: 1. */
  readonly tokensPerEvent?: number;
  readonly warmup?: ServiceWarmup;
}

const ROUTE: Route = {
  name: 'r',
  hostName: 'api.example',
  prefix: '/a/',
  services: [{ serviceId: 'engines', weight: 1 }],
  isRepeatable: false,
  isStream: false,
  isResumable: false,
  timeoutMs: 2_000,
  targetMs: 200,
  targetGapMs: 100,
  rank: 0,
  maxAttempts: 2,
  mayBeAnonymous: false,
};

const ENGINES = { id: 'engines', maxConnections: 10, isEngine: true, tokensPerEvent: 1 };

/** @returns a routing document with one route, one service and one client account */
export function buildDocument(version: number, changes: DocumentChanges = {}): RoutingDocument {
  const account: ClientAccount = {
    id: 'firm-a',
    keys: changes.keys ?? ['key-a'],
    rank: undefined,
    limit: changes.limit,
  };
  return {
    version,
    routes: (changes.routes ?? [changes.route]).map((route) => ({ ...ROUTE, ...route })),
    services: [{ ...ENGINES, tokensPerEvent: changes.tokensPerEvent ?? 1, warmup: changes.warmup }],
    accounts: [
      account,
      ...(changes.accounts ?? []).map((id) => ({
        id,
        keys: [`key-${id}`],
        rank: undefined,
        limit: undefined,
      })),
    ],
    callerLimits: {
      maxHeaderBytes: 1_000,
      maxBodyBytes: 1_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 1_000,
    },
  };
}

/** @returns the registry entry of a backend server, as the fake feed stores it */
export function buildServer(id: string, changes: Partial<BackendServerEntry> = {}): object {
  return {
    id,
    serverId: id,
    bornAtMs: 0,
    serviceId: 'engines',
    address: '10.0.0.1:80',
    availabilityZone: 'hall-a',
    slots: 2,
    softwareVersion: 'v1',
    isLeaving: false,
    warmupLeftMs: 0,
    ...changes,
  };
}
