import t from 'tap';
import { ListFault, startWorld } from './_test_hosts.js';

t.test('HostListWatch bounds its reads of a list that changes all the time', async (t) => {
  const { clock, list } = await startWorld(t);
  const readsBefore = list.reads;
  for (let tenth = 0; tenth < 100; tenth += 1) {
    list.putBackendServer('engine-2');
    await clock.advance(100);
  }
  t.ok(list.reads - readsBefore <= 3 * 11, `${list.reads - readsBefore} reads in ten seconds`);
});

t.test('HostListWatch gives up a read that is never answered', async (t) => {
  const { clock, list, hosts } = await startWorld(t);
  list.fault = ListFault.Silent;
  await clock.advance(30_000);
  list.fault = ListFault.None;
  list.putBackendServer('engine-1', 'leaving');
  await clock.advance(20_000);
  hosts.forEach((host) => t.ok(host.keeper.isBackendServerLeaving('engine-1')));
});

t.test('HostListWatch reads the list around an entry that it cannot read', async (t) => {
  const { clock, list, hosts } = await startWorld(t);
  const [a] = hosts;
  list.put('broken', '{');
  list.putBackendServer('engine-1', 'leaving');
  await clock.advance(3_000);
  t.ok(a.keeper.isBackendServerLeaving('engine-1'));
  t.equal(a.log.lines.filter(({ event }) => event === 'host_list_entry_refused').length, 1);
});
