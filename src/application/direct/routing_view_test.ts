import t from 'tap';
import { buildDocument, startDirectHost } from '../../../test/support/direct_host.js';
import { settle } from '../../../test/support/virtual_clock.js';

t.test('a newer configuration takes effect, and an older one never does', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  host.feed.put('configuration', buildDocument(7));
  await settle();
  host.feed.put('configuration', buildDocument(5));
  await settle();
  t.equal(host.routing.table?.version, 7);
});

t.test(
  'an unreadable configuration leaves the last valid one in effect, unconfirmed',
  async (t) => {
    // Guards against an unreadable configuration that ends the service or hides a revocation.
    // Operators publish malformed data; it must neither replace the configuration in effect nor
    // confirm it.
    const host = await startDirectHost(t, {}, ['s-1']);
    await host.clock.advance(100);
    host.feed.put('configuration', 'no configuration');
    await settle();
    t.equal(host.routing.table?.version, 1);
    t.equal(host.routing.computeAgeMs(), 100);
    t.ok(host.log.lines.some(({ event }) => event === 'configuration_refused'));
  },
);

t.test('the configuration ages while the store is silent, and recovers afterwards', async (t) => {
  const host = await startDirectHost(t, {}, ['s-1']);
  await host.clock.advance(1_000);
  t.equal(host.routing.computeAgeMs(), 1_000);
  host.feed.isDown = true;
  await host.clock.advance(3_000);
  t.ok(host.routing.computeAgeMs() >= 3_000);
  host.feed.isDown = false;
  await host.clock.advance(1_500);
  t.ok(host.routing.computeAgeMs() <= 1_500, String(host.routing.computeAgeMs()));
});
