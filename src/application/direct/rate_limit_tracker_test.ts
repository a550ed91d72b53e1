import t from 'tap';
import { startDirectHost } from '../../../test/support/direct_host.js';
import { RateLimitKind } from '../../ports/mod.js';

t.test('a limit in an answer is logged, counted and told with the next dispatch', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  host.call();
  host.getSent(0).sendRateLimit(1.5);
  host.getSent(0).sendResponse();
  t.match(host.log.list('backend_server_limit_changed'), [
    { backendServer: 's-1', requestsPerSecond: 1.5, source: 'answer' },
  ]);
  t.equal(host.metrics.counts.get('backend_server_limits_read_total{"kind":"limited"}'), 1);
  t.same(host.servers.notices.rateLimits.listLimitedIds(), ['s-1']);
});

t.test('a value that is no rate changes nothing but a counter and one line', async (t) => {
  // Guards against a flood of lines, and against a limit lost or made up by a malformed value.
  const host = await startDirectHost(t, {}, ['s-1']);
  host.call();
  const { listener } = host.getSent(0);
  listener.onNotice({ kind: RateLimitKind.Limited, requestsPerSecond: 2 }, true);
  const invalid = { kind: RateLimitKind.Invalid, text: `many${'!'.repeat(500)}` } as const;
  Array.from({ length: 20 }, () => listener.onNotice(invalid, true));
  t.equal(host.servers.notices.rateLimits.find('s-1'), 2);
  t.equal(host.metrics.counts.get('backend_server_limits_read_total{"kind":"invalid"}'), 20);
  const lines = host.log.list('backend_server_limit_refused');
  t.equal(lines.length, 1);
  t.equal(String(lines[0]?.value).length, 40);
  await host.clock.advance(10_000);
  listener.onNotice(invalid, true);
  t.equal(host.log.list('backend_server_limit_refused').length, 2);
});

t.test('an answer of a server that has gone from the registry is not kept', async (t) => {
  // Guards against records that pile up, one for each late answer of an ended server.
  const host = await startDirectHost(t, {}, ['s-1']);
  host.call();
  host.feed.remove('servers/s-1');
  await host.clock.advance(3_000);
  host.getSent(0).sendRateLimit(1.5);
  t.equal(host.servers.findEntry('s-1'), undefined);
  t.same(host.servers.notices.rateLimits.listReported(), {});
});
