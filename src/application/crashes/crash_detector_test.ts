import t from 'tap';
import { FakeProbe } from '../../../test/support/direct_ends.js';
import { FakeLog, FakeMetrics } from '../../../test/support/fakes.js';
import { settle, VirtualClock } from '../../../test/support/virtual_clock.js';
import { Reachability } from '../../ports/mod.js';
import { CrashDetector } from './crash_detector.js';
import type { LostRun, ServerCrash } from './crash_detector.js';

class DetectorFixture {
  readonly clock = new VirtualClock();

  readonly probe = new FakeProbe();

  readonly log = new FakeLog();

  readonly crashes: ServerCrash[] = [];

  readonly detector = new CrashDetector({
    clock: this.clock,
    log: this.log,
    metrics: new FakeMetrics(),
    probe: this.probe,
    createCrashId: (serverId) => `end of ${serverId}`,
    onCrash: (crash) => this.crashes.push(crash),
  });

  loseRun(contentId: string, serverId = 's-1'): LostRun {
    const endedAtMs = this.clock.nowMs();
    const address = `${serverId}:80`;
    const run = { serverId, address, contentId, startedAtMs: endedAtMs - 50, endedAtMs };
    this.detector.recordLostRun(run);
    return run;
  }
}

t.test('a refused probe attributes all lost runs to one crash', async (t) => {
  const watched = new DetectorFixture();
  watched.probe.ended.set('s-1:80', Reachability.Refused);
  const runs = [watched.loseRun('a'), watched.loseRun('b')];
  await settle();
  t.same(watched.crashes, [{ serverId: 's-1', crashId: 'end of s-1', runs }]);
  t.same(watched.probe.checkedAddresses, ['s-1:80']);
  const event = 'backend_server_probed';
  t.match(watched.log.lines, [{ event, fields: { reachability: 'refused', contentIds: 'a,b' } }]);
});

t.test('no crash is reported for a server that accepts connections', async (t) => {
  // Guards against quarantining contents for a server that never crashed. A server or network
  // closes single connections, and a closed connection is taken for the crash of the process.
  const watched = new DetectorFixture();
  watched.loseRun('a');
  await settle();
  t.same(watched.crashes, []);
  watched.probe.ended.set('s-2:80', Reachability.Unknown);
  watched.loseRun('a', 's-2');
  await settle();
  t.same(watched.crashes, [], 'no crash is reported when the server is unreachable');
});

t.test('runs that are lost later are attributed to the same crash', async (t) => {
  const watched = new DetectorFixture();
  watched.probe.ended.set('s-1:80', Reachability.Refused);
  watched.loseRun('a');
  await settle();
  const late = watched.loseRun('b');
  t.same(watched.crashes.at(-1), { serverId: 's-1', crashId: 'end of s-1', runs: [late] });
  t.equal(watched.probe.checkedAddresses.length, 1);
});

t.test('a reported crash takes the runs that still wait for a probe', async (t) => {
  const watched = new DetectorFixture();
  const run = watched.loseRun('a');
  watched.detector.recordCrash('s-1', 'x');
  t.same(watched.crashes, [{ serverId: 's-1', crashId: 'x', runs: [run] }]);
  await settle();
  t.equal(watched.crashes.length, 1);
});
