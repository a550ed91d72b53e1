import t from 'tap';
import { ServerLoad } from './mod.js';
import { WorkReport } from './work_report.js';

const WORK = { promptTokens: 1_000, outputTokens: 100 };

t.test('WorkReport scales predictions for a moment', async (t) => {
  // Guards against calls that are sent to a server which has just become slow.
  const load = new ServerLoad(8, true);
  const usualMs = load.predictFirstByteMs(WORK, 0);
  load.recordReport({ running: 0, waiting: 0, workPercent: 200 }, 0);
  const ratio = (nowMs: number): number => load.predictFirstByteMs(WORK, nowMs) / usualMs;
  t.ok(ratio(0) > 1.7 && ratio(0) < 2, `${ratio(0)}`);
  t.ok(ratio(300) > 1.35 && ratio(300) < 1.5);
  t.ok(ratio(2_000) < 1.02);
  t.equal(ratio(10_000), 1);
});

t.test('WorkReport of a server that always reports 400 loses its effect', async (t) => {
  // Guards against a server that gets no more work since its figure is wrong.
  const report = new WorkReport();
  report.record({ running: 0, waiting: 0, workPercent: 400 }, 0, 0);
  t.equal(report.computeFactor(0), 2.5, 'bounded from the first report on');
  for (let nowMs = 0; nowMs < 5_000; nowMs += 100) {
    report.record({ running: 0, waiting: 0, workPercent: 400 }, 0, nowMs);
  }
  t.ok(report.computeFactor(4_900) < 1.05);
});

t.test('a server that reports 100 while it is slow is judged by its answers', async (t) => {
  const load = new ServerLoad(8, true);
  for (let nowMs = 0; nowMs < 2_000; nowMs += 100) {
    load.recordReport({ running: 1, waiting: 0, workPercent: 100 }, nowMs);
    load.learnFirstByte(load.getConditions(WORK, nowMs), 500, nowMs);
  }
  t.ok(load.predictFirstByteMs(WORK, 2_000) > 450);
});

t.test('WorkReport raises the number in flight while it is newer than reports', async (t) => {
  // Guards against slots that are filled twice since the peers' counts are 150 to 450 ms old.
  const load = new ServerLoad(8, true);
  load.recordStart(WORK);
  load.recordReport({ running: 6, waiting: 1 }, 1_000);
  t.equal(load.inFlight, 7);
  load.setPeersInFlight(2, 1_100);
  t.equal(load.inFlight, 7, 'the report is newer');
  load.setPeersInFlight(2, 1_300);
  t.equal(load.inFlight, 3, 'the report is too old');
  load.recordReport({ running: 0, waiting: 0 }, 1_400);
  t.equal(load.inFlight, 3, 'never below what hosts have sent');
});
