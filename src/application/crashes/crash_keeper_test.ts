import t from 'tap';
import { CrashLine } from '../../../test/support/crash_line.js';
import type { FakeProbe } from '../../../test/support/direct_ends.js';
import { CrashUpdateKind } from '../../ports/mod.js';

t.test('word of ends goes on through relays', async (t) => {
  // Symptom: one half of the fleet goes on sending what the other half refuses.
  // Sequence: the servers end under calls of a host that has a link to its relay only.
  // Cause: a relay kept to itself what it had heard.
  const line = new CrashLine(t, ['a', 'relay-1', 'relay-2', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await line.crash(0, ['x']);
  t.same(
    [0, 1, 2, 3].map((index) => line.isHeld(index, 'x')),
    [true, true, true, true],
  );
});

t.test('word that was lost is made up for by the next digests', async (t) => {
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  line.hub.silence('relay', 'b');
  for (let crash = 0; crash < 3; crash += 1) await line.crash(0, ['x']);
  t.notOk(line.isHeld(2, 'x'));
  line.hub.heal('relay', 'b');
  await line.clock.advance(1_500);
  t.ok(line.isHeld(2, 'x'));
});

t.test('late word of an end says nothing of the server that is there by then', async (t) => {
  // Symptom: a run that broke at a server that lives is laid to that server's former end.
  // Sequence: word of the end comes seconds later, and the run breaks right after it.
  // Cause: when the word came was taken for when the server had ended.
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  line.hub.silence('relay', 'b');
  await line.crash(0, ['x']);
  line.hub.heal('relay', 'b');
  await line.clock.advance(1_500);
  line.ended.clear();
  const endedAtMs = line.clock.nowMs();
  const run = { serverId: 's-1', address: 's-1:80', startedAtMs: endedAtMs - 50, endedAtMs };
  line.keepers[2]?.noteLost({ ...run, contentId: 'y' });
  t.same(line.probes[2]?.asked, ['s-1:80']);
});

t.test('ends that several hosts saw are joined', async (t) => {
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  for (const index of [0, 1, 2]) await line.crash(index, ['x', `beside ${index}`]);
  await line.crash(0, ['x']);
  t.ok(line.isHeld(2, 'x'));
  t.notOk(line.isHeld(2, 'beside 0'));
});

t.test('a relay that reaches the server speaks against a host that is cut off', async (t) => {
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  const [probe] = line.probes as [FakeProbe];
  probe.isCut = true;
  for (let crash = 0; crash < 4; crash += 1) {
    line.ended.clear();
    const crashed = line.crash(0, ['x']);
    line.ended.clear();
    await crashed;
  }
  t.same(
    [0, 1, 2].map((index) => line.isHeld(index, 'x')),
    [false, false, false],
  );
});

t.test('what was answered a moment ago did not end the servers that it ran at since', async (t) => {
  // Symptom: what many callers ask for is refused on a day on which servers fail.
  // Sequence: it runs everywhere all the time, so also at each server that ends, one after the other.
  // Cause: only answers after the ends spoke for it.
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  const startedAtMs = line.clock.nowMs();
  line.keepers[2]?.noteAnswered({
    contentId: 'popular',
    serverId: 's-0',
    startedAtMs,
    hasSucceeded: true,
  });
  for (let crash = 0; crash < 4; crash += 1) await line.crash(0, ['popular']);
  t.notOk(line.isHeld(0, 'popular'));
  await line.clock.advance(120_000);
  for (let crash = 0; crash < 4; crash += 1) await line.crash(0, ['popular']);
  t.ok(line.isHeld(0, 'popular'), 'an old answer says nothing of the servers of today');
});

t.test('nothing is said while no server has ended', async (t) => {
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  await line.clock.advance(10_000);
  t.same(line.listMessages(), []);
  t.same(line.probes[0]?.asked, []);
});

t.test('messages stay bounded while callers invent new contents', async (t) => {
  // Symptom: links between entry hosts are full of word about requests.
  // Sequence: a caller sends new requests all the time, and servers end under hundreds of them.
  // Cause: all that was ever seen was told again and again.
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  for (let crash = 0; crash < 20; crash += 1) {
    const contentIds = Array.from({ length: 200 }, (_, index) => `${crash} ${index}`);
    await line.crash(crash % 3, contentIds);
  }
  const before = line.listMessages().length;
  await line.clock.advance(10_000);
  const messages = line.listMessages();
  t.ok(messages.every(({ notes }) => notes.length <= 96));
  // A digest, an offer and an answer a second from each end of each link.
  t.ok(messages.length - before <= 10 * 4 * 3 + 12);
});

t.test('hosts that know the same send digests only', async (t) => {
  const line = new CrashLine(t, ['a', 'relay', 'b']);
  for (let crash = 0; crash < 3; crash += 1) await line.crash(0, ['x']);
  const before = line.listMessages().length;
  await line.clock.advance(5_000);
  const kinds = new Set(
    line
      .listMessages()
      .slice(before)
      .map(({ kind }) => kind),
  );
  t.same([...kinds], [CrashUpdateKind.Digest]);
});
