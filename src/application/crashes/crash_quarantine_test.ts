import t from 'tap';
import { CrashChain } from '../../../test/support/crash_chain.js';
import type { FakeProbe } from '../../../test/support/direct_ends.js';
import { CrashUpdateKind } from '../../ports/mod.js';

t.test('crash notes are forwarded through relays', async (t) => {
  // Guards against one half of the fleet sending a content that the other half refuses. Servers
  // crash under calls of a host that is linked to its relay only, and the relay does not forward
  // the notes.
  const hosts = new CrashChain(t, ['a', 'relay-1', 'relay-2', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await hosts.crash(0, ['x']);
  t.same(
    [0, 1, 2, 3].map((index) => hosts.isHeld(index, 'x')),
    [true, true, true, true],
  );
});

t.test('lost crash notes are repaired by the next digests', async (t) => {
  const hosts = new CrashChain(t, ['a', 'relay', 'b']);
  hosts.hub.silence('relay', 'b');
  for (let crash = 0; crash < 3; crash += 1) await hosts.crash(0, ['x']);
  t.notOk(hosts.isHeld(2, 'x'));
  hosts.hub.heal('relay', 'b');
  await hosts.clock.advance(1_500);
  t.ok(hosts.isHeld(2, 'x'));
});

t.test('a late crash note is not applied to the server that has restarted since', async (t) => {
  // Guards against attributing a run that broke at a live server to that server's earlier crash.
  // The crash note arrives seconds late, the run breaks right after it, and the arrival time is
  // taken for the time of the crash.
  const hosts = new CrashChain(t, ['a', 'relay', 'b']);
  hosts.hub.silence('relay', 'b');
  await hosts.crash(0, ['x']);
  hosts.hub.heal('relay', 'b');
  await hosts.clock.advance(1_500);
  hosts.ended.clear();
  const endedAtMs = hosts.clock.nowMs();
  const run = { serverId: 's-1', address: 's-1:80', startedAtMs: endedAtMs - 50, endedAtMs };
  hosts.quarantines[2]?.recordLostRun({ ...run, contentId: 'y' });
  t.same(hosts.probes[2]?.checkedAddresses, ['s-1:80']);
});

t.test('crashes observed by several hosts are combined', async (t) => {
  const hosts = new CrashChain(t, ['a', 'relay', 'b']);
  for (const index of [0, 1, 2]) await hosts.crash(index, ['x', `beside ${index}`]);
  await hosts.crash(0, ['x']);
  t.ok(hosts.isHeld(2, 'x'));
  t.notOk(hosts.isHeld(2, 'beside 0'));
});

t.test(
  'a relay that reaches the server clears the suspects of a host that is cut off',
  async (t) => {
    const hosts = new CrashChain(t, ['a', 'relay', 'b']);
    const [probe] = hosts.probes as [FakeProbe];
    probe.isCut = true;
    for (let crash = 0; crash < 4; crash += 1) {
      hosts.ended.clear();
      const crashed = hosts.crash(0, ['x']);
      hosts.ended.clear();
      await crashed;
    }
    t.same(
      [0, 1, 2].map((index) => hosts.isHeld(index, 'x')),
      [false, false, false],
    );
  },
);

t.test('a recently answered content is not blamed for later crashes', async (t) => {
  // Guards against refusing a popular content while servers fail for other reasons. The content
  // runs everywhere at all times, so also at each server that crashes, and only answers after the
  // crashes count as evidence for it.
  const hosts = new CrashChain(t, ['a', 'relay', 'b']);
  const startedAtMs = hosts.clock.nowMs();
  hosts.quarantines[2]?.recordAnswer({
    contentId: 'popular',
    serverId: 's-0',
    startedAtMs,
    hasSucceeded: true,
  });
  for (let crash = 0; crash < 4; crash += 1) await hosts.crash(0, ['popular']);
  t.notOk(hosts.isHeld(0, 'popular'));
  await hosts.clock.advance(120_000);
  for (let crash = 0; crash < 4; crash += 1) await hosts.crash(0, ['popular']);
  t.ok(hosts.isHeld(0, 'popular'), 'an old answer is no evidence for later crashes');
});

t.test('no message is sent while no server has crashed', async (t) => {
  const hosts = new CrashChain(t, ['a', 'relay', 'b']);
  await hosts.clock.advance(10_000);
  t.same(hosts.listMessages(), []);
  t.same(hosts.probes[0]?.checkedAddresses, []);
});

t.test('messages stay bounded while callers invent new contents', async (t) => {
  // Guards against crash notes that saturate the links between entry hosts. A caller sends new
  // contents all the time, servers crash under hundreds of them, and every note ever seen is sent
  // again and again.
  const hosts = new CrashChain(t, ['a', 'relay', 'b']);
  for (let crash = 0; crash < 20; crash += 1) {
    const contentIds = Array.from({ length: 200 }, (_, index) => `${crash} ${index}`);
    await hosts.crash(crash % 3, contentIds);
  }
  const before = hosts.listMessages().length;
  await hosts.clock.advance(10_000);
  const messages = hosts.listMessages();
  t.ok(messages.every(({ notes }) => notes.length <= 96));
  // Each end of each link sends a digest, an offer and an answer per second.
  t.ok(messages.length - before <= 10 * 4 * 3 + 12);
});

t.test('hosts with the same knowledge send only digests', async (t) => {
  const hosts = new CrashChain(t, ['a', 'relay', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await hosts.crash(0, ['x']);
  const before = hosts.listMessages().length;
  await hosts.clock.advance(5_000);
  const kinds = new Set(
    hosts
      .listMessages()
      .slice(before)
      .map(({ kind }) => kind),
  );
  t.same([...kinds], [CrashUpdateKind.Digest]);
});
