import fc from 'fast-check';
import t from 'tap';
import { ErrorKind } from '../errors/mod.js';
import {
  HEALTHY_RESULT,
  buildDemand,
  buildSpecs,
  createGroup,
} from '../../../test/support/group_fixture.js';
import {
  createStrategy,
  DecisionKind,
  REOPEN_DELAY_MS,
  ServerVerdict,
  StrategyName,
  TIERS,
} from './mod.js';
import type { Decision, GroupScheduler, SchedulingStrategy, SlotDemand, Tier } from './mod.js';

const ROOM_REFUSALS = [
  ErrorKind.QueueFull,
  ErrorKind.DeadlineUnreachable,
  ErrorKind.DeadlineExpired,
];

type Command =
  | {
      readonly kind: 'submit';
      readonly tier: Tier;
      readonly account: string;
      readonly remainingMs: number;
      readonly tokens: number;
    }
  | { readonly kind: 'wait'; readonly ms: number }
  | { readonly kind: 'release'; readonly index: number; readonly verdict: ServerVerdict }
  | { readonly kind: 'leave'; readonly index: number };

const COMMAND: fc.Arbitrary<Command> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('submit' as const),
      tier: fc.constantFrom(...TIERS),
      account: fc.constantFrom('a', 'b', 'c'),
      remainingMs: fc.constantFrom(100, 2_000, 10_000, 60_000, 600_000),
      tokens: fc.constantFrom(10, 300, 3000),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('wait' as const),
      ms: fc.constantFrom(1, 100, 1500, 8000),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('release' as const),
      index: fc.nat(100),
      verdict: fc.constantFrom(...Object.values(ServerVerdict)),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('leave' as const), index: fc.nat(3) }) },
);

/** Runs commands against a group and checks every guarantee after each command. */
class PromiseChecker {
  readonly group: GroupScheduler;

  /** Time at which each tier was last refused for lack of capacity. */
  readonly refusedAtMs = new Map<Tier, number>();

  readonly open = new Set<string>();

  #nowMs = 0;

  #drainingIndexes: number[] = [];

  #lastKey = 0;

  constructor(strategy: SchedulingStrategy) {
    this.group = createGroup(buildSpecs(3, 2), strategy);
  }

  run(command: Command): void {
    if (command.kind === 'wait') this.#nowMs += command.ms;
    if (command.kind === 'leave')
      this.#drainingIndexes = this.#drainingIndexes.length > 0 ? [] : [command.index];
    if (command.kind === 'submit') this.#submit(command);
    if (command.kind === 'release') {
      const held = this.group.pool.listHeld();
      const slot = held[command.index % Math.max(1, held.length)];
      if (slot)
        this.group.release(
          slot.grantId,
          { ...HEALTHY_RESULT, verdict: command.verdict },
          this.#nowMs,
        );
    }
    this.group.updateServers(buildSpecs(3, 2, this.#drainingIndexes), this.#nowMs);
    this.#check(this.group.run(this.#nowMs));
    this.#checkConservation();
  }

  #submit(command: Extract<Command, { kind: 'submit' }>): void {
    this.#lastKey += 1;
    const demand = buildDemand(String(this.#lastKey), {
      tier: command.tier,
      accountId: command.account,
      deadlineAtMs: this.#nowMs + command.remainingMs,
      waitingSinceMs: this.#nowMs,
      expectedOutputTokens: command.tokens,
    });
    const leastMs = this.group.pool.predictWork(demand, this.#nowMs)?.minMs ?? 0;
    const isUnreachable = leastMs * 0.8 > command.remainingMs;
    this.open.add(demand.key);
    const refusals = this.group.submit(demand, this.#nowMs);
    this.#check(refusals, isUnreachable ? demand.key : undefined);
    const isAdmitted = !refusals.some((refusal) => refusal.demand.key === demand.key);
    if (isAdmitted) this.#checkClosedTiers(demand);
  }

  /**
   * Checks that no lower tier is admitted for a while after a higher tier was
   * refused for lack of capacity.
   */
  #checkClosedTiers(demand: SlotDemand): void {
    this.refusedAtMs.forEach((atMs, tier) => {
      if (demand.tier > tier && this.#nowMs < atMs + REOPEN_DELAY_MS)
        throw new Error(`Tier ${demand.tier} was admitted after ${tier} was refused`);
    });
  }

  #check(decisions: readonly Decision[], unreachableKey?: string): void {
    decisions.forEach((decision) => {
      const { demand } = decision;
      if (!this.open.delete(demand.key)) throw new Error(`${demand.key} was decided twice`);
      if (decision.kind === DecisionKind.Grant) {
        this.#checkGrant(decision.backendServerId, demand);
        return;
      }
      if (demand.key === unreachableKey || !ROOM_REFUSALS.includes(decision.reason)) return;
      this.refusedAtMs.set(demand.tier, this.#nowMs);
      const lower = this.group.listWaiting().find((other) => other.tier > demand.tier);
      if (lower) throw new Error(`Tier ${demand.tier} was refused while ${lower.tier} waits`);
    });
  }

  #checkGrant(serverId: string, demand: SlotDemand): void {
    const server = this.group.pool.findServer(serverId);
    if (!server || server.isLeaving) throw new Error(`${serverId} is draining`);
    if (demand.excluded.includes(serverId)) throw new Error(`${serverId} is excluded`);
    if (server.held.size > server.window.getSize(this.#nowMs))
      throw new Error(`${serverId} holds more than its window`);
  }

  /** Checks that no demand waits beside a slot that it may use, and that no demand is lost. */
  #checkConservation(): void {
    const waiting = this.group.listWaiting();
    if (waiting.length !== this.open.size) throw new Error('a demand was lost');
    waiting.forEach((demand) => {
      if (!this.open.has(demand.key)) throw new Error(`${demand.key} waits after it was decided`);
      if (this.#isPlaceable(demand)) throw new Error(`${demand.key} waits beside a free slot`);
    });
  }

  #isPlaceable(demand: SlotDemand): boolean {
    const { pool } = this.group;
    if (!pool.strategy.hasAdaptiveReserve)
      return pool.pickServer(demand, false, this.#nowMs, () => 0) !== undefined;
    // Slots reserved for higher tiers may stay free, but no demand waits while the
    // whole group is idle.
    return (
      pool.heldCount === 0 && pool.pickServer(demand, false, this.#nowMs, () => 0) !== undefined
    );
  }
}

function runAll(strategy: SchedulingStrategy, commands: readonly Command[]): void {
  const checker = new PromiseChecker(strategy);
  commands.forEach((command) => checker.run(command));
}

const COMMANDS = fc.array(COMMAND, { minLength: 1, maxLength: 150, size: 'max' });

t.test('GroupScheduler keeps every guarantee in any order of events', async (t) => {
  // Guards against refusing an urgent request while batch requests wait or are
  // admitted. Any mix of arrivals, late and failed answers, draining backend
  // servers and time must not refuse a tier before the lower tiers.
  [0, 0.125, 0.5].forEach((reserveFraction) => {
    const strategy = createStrategy(StrategyName.Dispatcher, { reserveFraction });
    const property = fc.property(COMMANDS, (commands) => runAll(strategy, commands));
    t.doesNotThrow(() => fc.assert(property, { seed: 42, numRuns: 400 }), `${reserveFraction}`);
  });
});

t.test(
  'GroupScheduler without tier closing breaks the guarantee, which shows that the check works',
  async (t) => {
    const strategy = createStrategy(StrategyName.Dispatcher);
    const unclosed = Object.assign(Object.create(strategy) as SchedulingStrategy, {});
    Object.defineProperty(unclosed, 'closesTiers', { value: false });
    const property = fc.property(COMMANDS, (commands) => runAll(unclosed, commands));
    const result = fc.check(property, { seed: 42, numRuns: 400 });
    t.ok(result.failed);
    t.match(String(result.errorInstance), /was refused while|was admitted after/);
  },
);

t.test('GroupScheduler leaves no slot free that a request with time left could use', async (t) => {
  // A request with much time left never waits for a better backend server.
  const strategy = createStrategy(StrategyName.Dispatcher, { reserveFraction: 0 });
  const patient = fc.record({
    tier: fc.constantFrom(...TIERS),
    tokens: fc.integer({ min: 1, max: 2000 }),
    releases: fc.nat(1),
  });
  let waits = 0;
  fc.assert(
    fc.property(fc.array(patient, { maxLength: 60, size: 'max' }), (items) => {
      const group = createGroup(buildSpecs(3, 2), strategy);
      items.forEach(({ tier, tokens, releases }, index) => {
        const changes = { tier, expectedOutputTokens: tokens, deadlineAtMs: 10_000_000 };
        group.submit(buildDemand(String(index), changes), index);
        group.run(index);
        const held = group.pool.listHeld().slice(0, releases);
        held.forEach(({ grantId }) => group.release(grantId, HEALTHY_RESULT, index));
        group.run(index);
        if (group.waitingCount === 0) return;
        waits += 1;
        t.equal(group.pool.heldCount, 6);
      });
    }),
    { seed: 42, numRuns: 100 },
  );
  t.ok(waits > 100, 'some requests had to wait');
});
