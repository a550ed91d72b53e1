import t from 'tap';
import { publishBackendServer, startWorld } from './_test_hosts.js';

t.test('HostListWatch limits its reads of a list that changes continuously', async (t) => {
  const { clock, platform } = await startWorld(t);
  const readsBefore = platform.readCount;
  for (let tenth = 0; tenth < 100; tenth += 1) {
    publishBackendServer(platform, 'engine-2');
    await clock.advance(100);
  }
  const reads = platform.readCount - readsBefore;
  t.ok(reads <= 3 * 11, `${reads} reads in ten seconds`);
});

t.test('HostListWatch aborts a read that is never answered', async (t) => {
  // Guards against an entry host that misses all further changes of the host list: its
  // connection to the service falls silent while new connections work, and a read
  // without a timeout would wait forever.
  const { clock, hub, platform, hosts } = await startWorld(t);
  const [a] = hosts;
  a.reader.isSilent = true;
  await clock.advance(11_000);
  a.reader.isSilent = false;
  publishBackendServer(platform, 'engine-1', 'leaving');
  hub.partition(['a'], ['b', 'c']);
  await clock.advance(15_000);
  t.ok(a.membership.isBackendServerLeaving('engine-1'));
});

t.test('HostListWatch skips an invalid entry and reads the rest of the list', async (t) => {
  const { clock, platform, hosts } = await startWorld(t);
  const [a] = hosts;
  platform.publish('hosts/broken', '{');
  publishBackendServer(platform, 'engine-1', 'leaving');
  await clock.advance(3_000);
  t.ok(a.membership.isBackendServerLeaving('engine-1'));
  t.equal(a.log.lines.filter(({ event }) => event === 'host_list_entry_refused').length, 1);
});

t.test('HostListWatch ignores an older list until it has persisted for a minute', async (t) => {
  // Guards against new work for a draining backend server: the list shows it as leaving,
  // and the next read is answered by a replica that lags. A list that stays older was
  // restored from a backup and is accepted.
  const { clock, platform, hosts } = await startWorld(t);
  const [a] = hosts;
  const before = platform.snapshot.index;
  publishBackendServer(platform, 'engine-1', 'leaving');
  await clock.advance(2_000);
  t.ok(a.membership.isBackendServerLeaving('engine-1'));
  platform.restore(before);
  await clock.advance(30_000);
  t.ok(a.membership.isBackendServerLeaving('engine-1'));
  await clock.advance(60_000);
  t.notOk(a.membership.isBackendServerLeaving('engine-1'));
});
