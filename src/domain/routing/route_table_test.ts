import t from 'tap';
import { computeRank, pickService, RouteTable } from './mod.js';
import type { ClientAccount, Route, RoutingDocument } from './mod.js';

function buildRoute(changes: Partial<Route>): Route {
  return {
    name: 'r',
    hostName: 'api.example',
    prefix: '/a/',
    services: [{ serviceId: 'engines', weight: 1 }],
    isRepeatable: false,
    isStream: false,
    isResumable: false,
    timeoutMs: 1_000,
    targetMs: 100,
    targetGapMs: 0,
    rank: 0,
    maxAttempts: 1,
    mayBeAnonymous: false,
    ...changes,
  };
}

function buildAccount(id: string, rank?: number): ClientAccount {
  return { id, keys: [`key-${id}`], rank, limit: undefined };
}

function buildDocument(routes: readonly Route[]): RoutingDocument {
  return {
    version: 3,
    routes,
    services: [{ id: 'engines', maxConnections: 10, isEngine: true, tokensPerEvent: 1 }],
    accounts: [buildAccount('firm-a')],
    callerLimits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

t.test('RouteTable finds the route with the longest prefix for the host name', async (t) => {
  const table = new RouteTable(
    buildDocument([
      buildRoute({ name: 'short', prefix: '/a/' }),
      buildRoute({ name: 'long', prefix: '/a/b/' }),
      buildRoute({ name: 'other', hostName: 'other.example', prefix: '/a/b/c/' }),
    ]),
  );
  t.equal(table.findRoute('api.example', '/a/b/c/d')?.name, 'long');
  t.equal(table.findRoute('api.example', '/a/bc')?.name, 'short');
  t.equal(table.findRoute('api.example', '/a'), undefined);
  t.equal(table.findRoute('none.example', '/a/b'), undefined);
});

t.test('RouteTable finds an account by its key, and a service by its ID', async (t) => {
  const table = new RouteTable(buildDocument([]));
  t.equal(table.findAccount('key-firm-a')?.id, 'firm-a');
  t.equal(table.findAccount('key-firm-b'), undefined);
  t.equal(table.findService('engines')?.isEngine, true);
});

t.test('pickService() divides requests by weight', async (t) => {
  const route = buildRoute({
    services: [
      { serviceId: 'old', weight: 90 },
      { serviceId: 'new', weight: 10 },
    ],
  });
  t.equal(pickService(route, 0), 'old');
  t.equal(pickService(route, 0.899), 'old');
  t.equal(pickService(route, 0.9), 'new');
  t.equal(pickService(route, 0.9999), 'new');
  t.equal(pickService(buildRoute({ services: [] }), 0.5), undefined);
});

t.test('computeRank() orders by account first and by route within an account', async (t) => {
  // Guards against batch work that is served while urgent requests of the same account wait:
  // all accounts have the same rank, and if it replaces the ranks of the routes, the requests
  // of an account have no order among them.
  const urgent = buildRoute({ rank: 0 });
  const batch = buildRoute({ rank: 2 });
  const high = buildAccount('firm-a', 0);
  const low = buildAccount('firm-b', 1);
  const ranks = [
    computeRank(urgent, high),
    computeRank(batch, high),
    computeRank(urgent, low),
    computeRank(batch, low),
  ];
  t.same(
    [...ranks].sort((a, b) => a - b),
    ranks,
  );
  t.equal(new Set(ranks).size, 4);
  t.equal(computeRank(batch, undefined), computeRank(batch, high));
});
