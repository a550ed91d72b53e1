import t from 'tap';
import { FakeLog, FakeMetrics } from '../../../test/support/fakes.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { PeerMessageType } from '../../ports/mod.js';
import { TurnMonitor, TurnTask } from './mod.js';

type Tap = Pick<typeof t, 'teardown'>;

/** A monitor whose process works for as long as a test says. */
function createMonitor(t: Tap) {
  const [clock, log, metrics] = [new VirtualClock(), new FakeLog(), new FakeMetrics()];
  const processor = { ms: 0 };
  const measureProcessorMs = (): number => processor.ms;
  const turns = new TurnMonitor({ clock, log, metrics, measureProcessorMs });
  turns.start();
  t.teardown(() => turns.stop());
  const work = (forMs: number): void => {
    clock.jump(forMs);
    processor.ms += forMs;
  };
  return { clock, log, metrics, turns, work };
}

/** Guards against a host that stands still and can't be told from one that has ended. */
t.test('TurnMonitor names the length and the task of a long turn', async (t) => {
  const { clock, log, metrics, turns, work } = createMonitor(t);
  turns.run(TurnTask.StorePast, () => work(900));
  await clock.advance(100);
  t.match(log.list('long_turn'), [
    { turnMs: 900, task: 'store_past', taskMs: 900, processorMs: 900 },
  ]);
  t.same(metrics.values.get('longest_turn_ms'), [900]);
  t.equal(metrics.counts.get('long_turns_total{"task":"store_past"}'), 1);
});

/** Guards against a long turn of many short messages that no line names. */
t.test('TurnMonitor adds up short tasks of one kind, without those inside them', async (t) => {
  const { clock, log, turns, work } = createMonitor(t);
  for (let count = 0; count < 20; count += 1)
    turns.run(PeerMessageType.HostReport, () => {
      turns.run(TurnTask.StoreChanges, () => work(10));
      work(30);
    });
  await clock.advance(100);
  t.match(log.list('long_turn'), [{ turnMs: 700, task: 'host_report', taskMs: 600 }]);
});

/** Guards against blame on this process for time in which it was stopped. */
t.test('TurnMonitor tells a process that had no processor from one that worked', async (t) => {
  const { clock, log } = createMonitor(t);
  clock.jump(1_100);
  await clock.advance(1);
  t.match(log.list('long_turn'), [{ turnMs: 1_000, task: 'other', processorMs: 0 }]);
});

t.test('TurnMonitor says nothing of short turns and passes results and errors on', async (t) => {
  const { clock, log, metrics, turns, work } = createMonitor(t);
  t.equal(
    turns.run(TurnTask.Metrics, () => 'text'),
    'text',
  );
  const fail = (): never => {
    work(5);
    throw new Error('no');
  };
  t.throws(() => turns.run(TurnTask.Status, fail), { message: 'no' });
  await clock.advance(1_000);
  t.same(log.lines, []);
  t.same(metrics.values.get('longest_turn_ms'), [5]);
});
