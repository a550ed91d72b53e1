import fc from 'fast-check';
import t from 'tap';
import { hasMovedStreams, RouteTable } from './mod.js';
import type { Route, RoutingDocument } from './mod.js';

const HOST_NAMES = ['one.example', 'other.example'] as const;

/** Reads of prefixes and host names that one look-up may take, however many routes there are. */
const MAX_READS_PER_LOOK_UP = 8;

function buildRoute(changes: Partial<Route>): Route {
  return {
    name: 'r',
    hostName: HOST_NAMES[0],
    prefix: '/',
    services: [{ serviceId: 'engines', weight: 1 }],
    isRepeatable: false,
    isStream: true,
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

function buildTable(routes: readonly Route[]): RouteTable {
  const callerLimits = {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const document: RoutingDocument = {
    version: 1,
    routes,
    services: [],
    accounts: [],
    callerLimits,
  };
  return new RouteTable(document);
}

/** The plain search: the longest prefix, the first of equal ones. */
function searchRoute(routes: readonly Route[], hostName: string, path: string): Route | undefined {
  return routes
    .filter((route) => route.hostName === hostName && path.startsWith(route.prefix))
    .sort((a, b) => b.prefix.length - a.prefix.length)[0];
}

/** The plain comparison of where each prefix of both configurations leads. */
function searchMoves(former: readonly Route[], next: readonly Route[]): boolean {
  const describePlaces = (route: Route | undefined): string => {
    if (!route?.isStream) return '';
    const ids = route.services.map(({ serviceId }) => serviceId).sort();
    return JSON.stringify([route.isResumable, route.mayBeAnonymous, ids]);
  };
  return [...former, ...next].some(({ hostName, prefix }) => {
    const before = searchRoute(former, hostName, prefix);
    if (before?.isStream !== true) return false;
    return describePlaces(before) !== describePlaces(searchRoute(next, hostName, prefix));
  });
}

const pathArbitrary = fc.string({ unit: fc.constantFrom('/', 'a', 'b'), maxLength: 6 });

const prefixArbitrary = fc.oneof(
  { weight: 4, arbitrary: pathArbitrary.map((path) => `/${path}/`) },
  pathArbitrary,
);

const routeArbitrary = fc
  .record({
    hostName: fc.constantFrom(...HOST_NAMES),
    prefix: prefixArbitrary,
    isStream: fc.boolean(),
    isResumable: fc.constantFrom(false, false, true),
    mayBeAnonymous: fc.constantFrom(false, false, true),
    services: fc.array(
      fc.record({ serviceId: fc.constantFrom('x', 'y'), weight: fc.constant(1) }),
      { maxLength: 2 },
    ),
  })
  .map(buildRoute);

const routesArbitrary = fc.array(routeArbitrary, { maxLength: 8 });

const addedArbitrary = fc.array(routeArbitrary, { maxLength: 2 });

/** Routes whose prefixes and host names count each time that they are read. */
function buildCountedRoutes(count: number, reads: { count: number }): readonly Route[] {
  return Array.from({ length: count }, (_, index) => {
    const route = buildRoute({});
    const defineCounted = (name: keyof Route, value: string): void => {
      const get = (): string => {
        Object.assign(reads, { count: reads.count + 1 });
        return value;
      };
      Object.defineProperty(route, name, { get });
    };
    defineCounted('prefix', `/p-${String(index).padStart(6, '0')}/`);
    defineCounted('hostName', HOST_NAMES[0]);
    return route;
  });
}

t.test('findRoute() finds what a plain search finds', async () => {
  fc.assert(
    fc.property(routesArbitrary, prefixArbitrary, (routes, path) => {
      const table = buildTable(routes);
      return HOST_NAMES.every(
        (hostName) => table.findRoute(hostName, path) === searchRoute(routes, hostName, path),
      );
    }),
    { seed: 11, numRuns: 1_000 },
  );
});

t.test('hasMovedStreams() finds what a plain comparison finds', async () => {
  fc.assert(
    fc.property(routesArbitrary, addedArbitrary, fc.nat(8), (former, added, dropped) => {
      const next = [...former.filter((_, index) => index !== dropped), ...added];
      const hasMoved = hasMovedStreams(buildTable(former), buildTable(next));
      return hasMoved === searchMoves(former, next);
    }),
    { seed: 12, numRuns: 1_000 },
  );
});

/** Guards against calls that wait longer the more routes a configuration has. */
t.test('findRoute() takes no more reads with more routes', async (t) => {
  const reads = { count: 0 };
  const table = buildTable(buildCountedRoutes(1_000, reads));
  reads.count = 0;
  t.ok(table.findRoute(HOST_NAMES[0], '/p-000999/x'));
  t.notOk(table.findRoute(HOST_NAMES[0], '/none/'));
  t.ok(reads.count <= 2 * MAX_READS_PER_LOOK_UP, `${reads.count} reads`);
});

/** Guards against hosts that stand still at each change of a configuration with many routes. */
t.test('hasMovedStreams() takes a number of reads that is linear in the routes', async (t) => {
  [100, 1_000].forEach((count) => {
    const reads = { count: 0 };
    const [former, next] = [0, 1].map(() => buildTable(buildCountedRoutes(count, reads)));
    reads.count = 0;
    t.notOk(hasMovedStreams(former as RouteTable, next as RouteTable));
    t.ok(reads.count <= 2 * count * MAX_READS_PER_LOOK_UP, `${count}: ${reads.count} reads`);
  });
});

/** Guards against many routes of one prefix that are each compared by all services of the first. */
t.test('hasMovedStreams() compares the services of each prefix once', async (t) => {
  const reads = { count: 0 };
  const services = new Proxy(
    Array.from({ length: 1_000 }, (_, index) => ({ serviceId: `s-${index}`, weight: 1 })),
    {
      get: (target, name) => {
        if (name === 'map') reads.count += 1;
        return Reflect.get(target, name) as unknown;
      },
    },
  );
  const others = services.map((service) => service);
  const buildRoutes = (count: number, list: typeof services): readonly Route[] =>
    Array.from({ length: count }, () => buildRoute({ services: list }));
  reads.count = 0;
  t.notOk(
    hasMovedStreams(buildTable(buildRoutes(500, services)), buildTable(buildRoutes(500, others))),
  );
  t.ok(reads.count <= 4, `${reads.count} lists`);
});
