import fc from 'fast-check';
import t from 'tap';
import { computePacePosition, computeTotalRate, deriveNamedPace, ServerPacer } from './mod.js';

const MS_PER_SECOND = 1_000;

const DURATION_MS = 20_000;

const STEP_MS = 5;

/** Time from the moment at which a turn is due until it expires, in milliseconds. */
const TURN_LIFETIME_MS = 1_500;

const CATCH_UP_MS = 25;

const SERVER = 's-1';

/** A host that sends whenever it may, or passes its turns on to another one. */
interface SimulatedHost {
  readonly pacer: ServerPacer;
  /** Hosts on its side of a partition, by ID. */
  readonly side: readonly string[];
  /** Whether it passes its turns on. */
  readonly isPassing: boolean;
  /** Whether calls wait here. */
  readonly hasCalls: boolean;
}

interface Turn {
  readonly to: SimulatedHost;
  readonly arrivesAtMs: number;
  readonly untilMs: number;
}

/** One fleet: its limit, its sides, what each host does, and how long turns are on their way. */
const fleets = fc.record({
  limit: fc.oneof(fc.double({ min: 0.2, max: 30, noNaN: true }), fc.constant(0)),
  sides: fc.array(fc.integer({ min: 1, max: 70 }), { minLength: 1, maxLength: 3 }),
  passingSeed: fc.integer({ min: 0, max: 1_000 }),
  delayMs: fc.integer({ min: 0, max: 4_000 }),
});

function buildHosts(limit: number, sides: readonly number[], passingSeed: number): SimulatedHost[] {
  const knownCount = sides.reduce((sum, size) => sum + size, 0);
  return sides.flatMap((size, sideIndex) => {
    const side = Array.from({ length: size }, (_, index) => `h-${sideIndex}-${index}`);
    const share = deriveNamedPace(limit, { presentCount: size, knownCount });
    return side.map((id, index) => {
      const pacer = new ServerPacer();
      const isSender = computePacePosition(id, side, SERVER) < share.senderCount;
      pacer.configure(Infinity, isSender ? share.intervalMs : Infinity, {
        totalPerSecond: computeTotalRate(share),
        catchUpMs: CATCH_UP_MS,
      });
      const draw = (index * 7 + passingSeed) % 5;
      return { pacer, side, isPassing: draw < 2, hasCalls: draw !== 4 };
    });
  });
}

/** Plays the fleet. Each host tries at each step, the worst that it can do. @returns send times */
function simulate(hosts: readonly SimulatedHost[], delayMs: number): number[] {
  const sentAtMs: number[] = [];
  const turns: Turn[] = [];
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
    const arrived = turns.filter(({ arrivesAtMs }) => arrivesAtMs <= nowMs);
    turns.splice(0, arrived.length);
    arrived.forEach(({ to, untilMs }) => {
      to.pacer.grantTurn(untilMs);
      if (!to.pacer.maySend(nowMs)) return;
      to.pacer.recordSent(nowMs);
      sentAtMs.push(nowMs);
    });
    hosts.forEach(({ pacer, isPassing, hasCalls }, index) => {
      if (!pacer.maySend(nowMs)) return;
      const to = hosts[(index + nowMs / STEP_MS) % hosts.length] as SimulatedHost;
      if (isPassing && to.hasCalls) {
        const ageMs = pacer.computeTurnAgeMs(nowMs, TURN_LIFETIME_MS);
        const untilMs = nowMs + TURN_LIFETIME_MS - ageMs;
        turns.push({ to, arrivesAtMs: nowMs + delayMs, untilMs });
      } else if (hasCalls) sentAtMs.push(nowMs);
      else return;
      pacer.recordSent(nowMs);
    });
  }
  return sentAtMs;
}

function countMost(times: readonly number[], windowMs: number): number {
  let first = 0;
  let most = 0;
  times.forEach((atMs, index) => {
    while ((times[first] as number) <= atMs - windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  });
  return most;
}

/** Bound for any window: one request a sender, the shared rate, and turns that are on their way. */
function computeBound(limit: number, sides: readonly number[], windowMs: number): number {
  const knownCount = sides.reduce((sum, size) => sum + size, 0);
  const shares = sides.map((presentCount) => deriveNamedPace(limit, { presentCount, knownCount }));
  const senders = shares.reduce((sum, { senderCount }) => sum + senderCount, 0);
  const rate = shares.reduce((sum, share) => sum + computeTotalRate(share), 0);
  return senders + (rate * (windowMs + TURN_LIFETIME_MS + CATCH_UP_MS)) / MS_PER_SECOND;
}

t.test(
  'all hosts together stay within the stated bound, whoever is cut off from whom',
  async (t) => {
    // Guards against a limit that each side of a partition, or each receiver of a turn, uses anew.
    fc.assert(
      fc.property(fleets, ({ limit, sides, passingSeed, delayMs }) => {
        const sent = simulate(buildHosts(limit, sides, passingSeed), delayMs);
        return [1_000, 4_000].every(
          (windowMs) => countMost(sent, windowMs) <= computeBound(limit, sides, windowMs),
        );
      }),
      { seed: 4_801, numRuns: 60 },
    );
    t.pass();
  },
);

t.test('the stated bound is what a server tolerates, however large the limit', async (t) => {
  // Guards against a design whose worst case is beyond what servers in need can take.
  fc.assert(
    fc.property(
      fc.double({ min: 0.2, max: 1_000, noNaN: true }),
      fc.integer({ min: 1, max: 400 }),
      (limit, hosts) => computeBound(limit, [hosts], 4_000) <= 1.5 * 4 * limit + 5,
    ),
    { seed: 4_802, numRuns: 1_000 },
  );
  t.pass();
});

t.test('sides of a partition share out no more than the whole fleet does', async (t) => {
  // Guards against hosts that each take the whole limit while they hear nobody.
  fc.assert(
    fc.property(
      fc.double({ min: 0, max: 100, noNaN: true }),
      fc.array(fc.integer({ min: 1, max: 200 }), { minLength: 1, maxLength: 20 }),
      (limit, sides) => {
        const knownCount = sides.reduce((sum, size) => sum + size, 0);
        const rate = sides.reduce((sum, presentCount) => {
          const share = deriveNamedPace(limit, { presentCount, knownCount });
          return sum + computeTotalRate(share);
        }, 0);
        return rate <= Math.max(0.2, limit) * 0.95 * 1.000_001;
      },
    ),
    { seed: 4_803, numRuns: 1_000 },
  );
  t.pass();
});

t.test('a sender alone uses nearly all of the limit, also where it checks late', async (t) => {
  const { intervalMs } = deriveNamedPace(1.4, { presentCount: 7, knownCount: 7 });
  const pacer = new ServerPacer();
  pacer.configure(Infinity, intervalMs, { catchUpMs: CATCH_UP_MS });
  let sent = 0;
  for (let nowMs = 0; nowMs < 100_000; nowMs += CATCH_UP_MS) {
    if (pacer.maySend(nowMs)) {
      pacer.recordSent(nowMs);
      sent += 1;
    }
  }
  t.ok(sent >= 0.9 * 140, String(sent));
  t.ok(sent <= 140);
});

t.test('a passed turn allows one request, and none after its end', async (t) => {
  const pacer = new ServerPacer();
  pacer.configure(Infinity, Infinity);
  pacer.grantTurn(100);
  pacer.grantTurn(100);
  t.equal(pacer.maySend(99), true);
  pacer.recordSent(99);
  t.equal(pacer.maySend(99), false);
  pacer.grantTurn(200);
  t.equal(pacer.computeTurnAgeMs(150, TURN_LIFETIME_MS), TURN_LIFETIME_MS - 50);
  t.equal(pacer.maySend(200), false);
});
