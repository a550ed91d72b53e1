import t from 'tap';
import { buildDocument } from '../../../test/support/direct_documents.js';
import { RouteTable } from './route_table.js';
import { hasMovedStreams } from './stream_routes.js';
import type { Route } from './types.js';

function buildRoute(prefix: string, service: string, changes: Partial<Route> = {}): Partial<Route> {
  const services = [{ serviceId: service, weight: 1 }];
  return { name: prefix, prefix, services, isStream: true, ...changes };
}

function hasMoved(former: readonly Partial<Route>[], next: readonly Partial<Route>[]): boolean {
  const [before, after] = [former, next].map(
    (routes, index) => new RouteTable(buildDocument(index + 1, { routes })),
  );
  return hasMovedStreams(before as RouteTable, after as RouteTable);
}

// Guards against versions that are inferred from servers which a stream never reached.
t.test('hasMovedStreams() finds streams that may have begun elsewhere', async (t) => {
  const root = buildRoute('/', 'a');
  t.ok(hasMoved([root], [buildRoute('/', 'b')]), 'another service');
  t.ok(hasMoved([root], [root, buildRoute('/x/', 'b')]), 'a longer prefix');
  t.ok(hasMoved([root, buildRoute('/x/', 'b')], [root]), 'a longer prefix that has gone');
  t.ok(hasMoved([buildRoute('/x/', 'a')], []), 'a route that has gone');
  t.ok(hasMoved([root], [buildRoute('/', 'a', { isResumable: true })]), 'other conditions');
});

t.test('hasMovedStreams() leaves out what moves no stream', async (t) => {
  const one = buildRoute('/x/', 'a');
  t.notOk(hasMoved([one], [one]), 'the same routes');
  t.notOk(hasMoved([one], [one, buildRoute('/y/', 'b')]), 'a route for other calls');
  t.notOk(hasMoved([one], [one, buildRoute('/x/z/', 'a')]), 'the same service');
  t.notOk(hasMoved([buildRoute('/', 'a', { isStream: false })], [one]), 'no streams before');
});
