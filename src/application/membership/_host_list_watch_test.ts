import t from 'tap';
import { listBackendServer, startWorld } from './_test_hosts.js';

t.test('HostListWatch bounds its reads of a list that changes all the time', async (t) => {
  const { clock, platform } = await startWorld(t);
  const readsBefore = platform.readCount;
  for (let tenth = 0; tenth < 100; tenth += 1) {
    listBackendServer(platform, 'engine-2');
    await clock.advance(100);
  }
  const reads = platform.readCount - readsBefore;
  t.ok(reads <= 3 * 11, `${reads} reads in ten seconds`);
});

t.test('HostListWatch gives up a read that is never answered', async (t) => {
  // Symptom: an entry host never hears of a change of the host list again.
  // Sequence: the connection to the service falls silent while new ones work.
  // Cause: the waiting read has no limit of its own.
  const { clock, hub, platform, hosts } = await startWorld(t);
  const [a] = hosts;
  a.reader.isSilent = true;
  await clock.advance(11_000);
  a.reader.isSilent = false;
  listBackendServer(platform, 'engine-1', 'leaving');
  hub.partition(['a'], ['b', 'c']);
  await clock.advance(15_000);
  t.ok(a.keeper.isBackendServerLeaving('engine-1'));
});

t.test('HostListWatch reads the list around an entry that it cannot read', async (t) => {
  const { clock, platform, hosts } = await startWorld(t);
  const [a] = hosts;
  platform.publish('hosts/broken', '{');
  listBackendServer(platform, 'engine-1', 'leaving');
  await clock.advance(3_000);
  t.ok(a.keeper.isBackendServerLeaving('engine-1'));
  t.equal(a.log.lines.filter(({ event }) => event === 'host_list_entry_refused').length, 1);
});

t.test('HostListWatch takes no older read, and a restored list after a while', async (t) => {
  // Symptom: a backend server that goes away gets new work again for a moment.
  // Sequence: the list shows it leaving; the next read comes from a replica that lags.
  // Cause: the last read counts, whatever its index.
  const { clock, platform, hosts } = await startWorld(t);
  const [a] = hosts;
  const before = platform.snapshot.index;
  listBackendServer(platform, 'engine-1', 'leaving');
  await clock.advance(2_000);
  t.ok(a.keeper.isBackendServerLeaving('engine-1'));
  platform.restore(before);
  await clock.advance(30_000);
  t.ok(a.keeper.isBackendServerLeaving('engine-1'));
  await clock.advance(60_000);
  t.notOk(a.keeper.isBackendServerLeaving('engine-1'));
});
