import t from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { ServerLoad, ServerOutcome } from './mod.js';

const HOSTS = 8;
const SLOTS = 12;
const WORK = { promptTokens: 100, outputTokens: 10 };

t.test(
  'entry hosts with waiting calls do not overfill a server that has just started',
  async (t) => {
    // Guards against overfilling a server that has just registered: every entry host with waiting
    // calls sees it empty and fills all slots before it hears of the other hosts, and the server
    // then answers everything late for seconds.
    const random = new SeededRandom(7);
    const next = (): number => random.nextFraction();
    let maxTaken = 0;
    let totalTaken = 0;
    for (let run = 0; run < 200; run += 1) {
      const loads = Array.from({ length: HOSTS }, () => new ServerLoad(SLOTS, true));
      loads.forEach((load) => {
        // Checks the waiting calls repeatedly until the next report.
        for (let nowMs = 0; nowMs < 150; nowMs += 15) {
          const conditions = {
            waitingFraction: 1 / HOSTS,
            recomputeIntervalMs: 200,
            nowMs,
            randomFraction: next(),
          };
          while (load.share.hasSlot({ ...conditions, freeSlots: load.freeSlots }))
            load.recordStart(WORK);
        }
      });
      const taken = loads.reduce((total, load) => total + load.ownInFlight, 0);
      maxTaken = Math.max(maxTaken, taken);
      totalTaken += taken;
    }
    t.ok(maxTaken <= SLOTS * 1.5, String(maxTaken));
    t.ok(totalTaken / 200 > SLOTS * 0.9, String(totalTaken / 200));
  },
);

t.test('an entry host refills a slot that its own request has released', async (t) => {
  const load = new ServerLoad(SLOTS, true);
  load.setPeersInFlight(SLOTS - 1);
  load.recordStart(WORK);
  load.recordEnd(ServerOutcome.Answered, 1_000);
  const conditions = {
    freeSlots: load.freeSlots,
    waitingFraction: 1 / HOSTS,
    recomputeIntervalMs: 200,
    nowMs: 1_000,
    randomFraction: 0,
  };
  t.ok(load.share.hasSlot(conditions));
  load.recordStart(WORK);
  t.notOk(load.share.hasSlot(conditions));
});

t.test('free slots are shared out by randomized rounding', async (t) => {
  const random = new SeededRandom(11);
  const next = (): number => random.nextFraction();
  let taken = 0;
  for (let round = 0; round < 4_000; round += 1) {
    const load = new ServerLoad(SLOTS, true);
    load.setPeersInFlight(SLOTS - 1);
    const conditions = {
      freeSlots: 1,
      waitingFraction: 1 / HOSTS,
      recomputeIntervalMs: 200,
      nowMs: 0,
      randomFraction: next(),
    };
    if (load.share.hasSlot(conditions)) taken += 1;
  }
  t.ok(taken > 400 && taken < 600, String(taken));
});
