import t from 'tap';
import fc from 'fast-check';
import { AllowanceHosts, computeLargestBurst } from '../../../test/support/allowance_hosts.js';
import { SeededRandom } from '../../../test/support/fakes.js';

const IDS = ['eh-1', 'eh-2', 'eh-3', 'eh-4', 'eh-5', 'eh-6', 'eh-7', 'eh-8'];
const LEASE_SECONDS = 2;
const STEP_MS = 25;
/** With small requests the request limit binds, with large requests the token limit. */
const MAX_TOKENS = 800;
const PHASE_STEPS = 100;
const STEPS = 1000;
const NUM_RUNS = 20;
const LIMITS = { requestsPerSecond: 80, tokensPerSecond: 20_000, inFlight: 64 };

/** Faults begin at their step; cuts and partitions end after their number of steps. */
enum Fault {
  CutLink = 'cut_link',
  Partition = 'partition',
  Pause = 'pause',
  RestartLender = 'restart_home',
  Restart = 'restart',
}

interface PlannedFault {
  readonly kind: Fault;
  readonly atStep: number;
  readonly steps: number;
  readonly host: number;
  readonly other: number;
}

interface Run {
  readonly seed: number;
  readonly maxTokens: number;
  readonly maxRunMs: number;
  readonly loss: number;
  readonly maxDelayMs: number;
  readonly steps: number;
  readonly faults: readonly PlannedFault[];
}

const buildRuns = (kinds: readonly Fault[]): fc.Arbitrary<Run> =>
  fc.record({
    seed: fc.nat(100_000),
    maxTokens: fc.constantFrom(100, MAX_TOKENS),
    maxRunMs: fc.constantFrom(200, 3000, 20_000),
    loss: fc.constantFrom(0, 0, 0.1, 0.5),
    maxDelayMs: fc.constantFrom(1, 10, 500, 3000),
    steps: fc.constant(STEPS),
    faults: kinds.length
      ? fc.array(
          fc.record({
            kind: fc.constantFrom(...kinds),
            atStep: fc.nat(STEPS),
            steps: fc.integer({ min: 20, max: 400 }),
            host: fc.nat(IDS.length - 1),
            other: fc.nat(IDS.length - 1),
          }),
          { maxLength: 5 },
        )
      : fc.constant([]),
  });

function setPartition(hosts: AllowanceHosts, split: number, isCut: boolean): void {
  IDS.slice(0, split).forEach((a) => IDS.slice(split).forEach((b) => hosts.setCut(a, b, isCut)));
}

function applyFault(hosts: AllowanceHosts, fault: PlannedFault, step: number): void {
  const [a = '', b = ''] = [IDS[fault.host], IDS[fault.other]];
  const isStart = step === fault.atStep;
  if (!isStart && step !== fault.atStep + fault.steps) return;
  if (fault.kind === Fault.CutLink && a !== b) hosts.setCut(a, b, isStart);
  if (fault.kind === Fault.Partition) setPartition(hosts, fault.host, isStart);
  if (!isStart) return;
  if (fault.kind === Fault.Pause) hosts.setPaused(a, fault.steps * STEP_MS);
  if (fault.kind === Fault.RestartLender) hosts.start(hosts.lender);
  if (fault.kind === Fault.Restart) hosts.start(a);
}

/** Sends the requests of one step; `demands` holds the mean number for each entry host. */
function sendStep(
  hosts: AllowanceHosts,
  run: Run,
  demands: readonly number[],
  random: SeededRandom,
): void {
  IDS.forEach((id, index) => {
    for (let wanted = demands[index] ?? 0; wanted > random.nextFraction(); wanted -= 1) {
      const tokens = Math.ceil(random.nextFraction() * run.maxTokens);
      hosts.sendRequest(id, tokens, random.nextFraction() * run.maxRunMs);
    }
  });
}

/** Runs random demand that shifts between the entry hosts. */
function runRandom(run: Run): AllowanceHosts {
  const random = new SeededRandom(run.seed);
  const hosts = new AllowanceHosts({ ids: IDS, limits: LIMITS, ...run });
  let demands: number[] = [];
  for (let step = 0; step < run.steps; step += 1) {
    if (step % PHASE_STEPS === 0) {
      // All entry hosts are busy in some phases, and only a few in the others.
      const busyFraction = random.nextFraction() < 0.3 ? 1 : 0.3;
      demands = IDS.map(() =>
        random.nextFraction() < busyFraction ? 8 * random.nextFraction() ** 2 : 0,
      );
    }
    run.faults.forEach((fault) => applyFault(hosts, fault, step));
    sendStep(hosts, run, demands, random);
    hosts.advance(STEP_MS);
  }
  return hosts;
}

/** Computes the documented bound on bursts; see docs/design/account-limits.md. */
function computeBurstBounds(restarts: number): { requests: number; tokens: number } {
  const { requestsPerSecond, tokensPerSecond } = LIMITS;
  const perRestart = (1 + 2 * LEASE_SECONDS) / IDS.length;
  return {
    requests: requestsPerSecond + IDS.length + restarts * (requestsPerSecond * perRestart + 1),
    tokens:
      tokensPerSecond +
      IDS.length * (1 + MAX_TOKENS) +
      restarts * (tokensPerSecond * perRestart + MAX_TOKENS),
  };
}

function computeObservedBursts(hosts: AllowanceHosts): { requests: number; tokens: number } {
  const { admitted } = hosts;
  return {
    requests: computeLargestBurst(
      admitted.map(({ atMs }) => ({ atMs, amount: 1 })),
      LIMITS.requestsPerSecond,
    ),
    tokens: computeLargestBurst(
      admitted.map(({ atMs, tokens }) => ({ atMs, amount: tokens })),
      LIMITS.tokensPerSecond,
    ),
  };
}

function checkRuns(
  kinds: readonly Fault[],
  maxInFlight: number,
  note: (line: string) => void,
): void {
  const worst = { requests: 0, tokens: 0, running: 0 };
  fc.assert(
    fc.property(buildRuns(kinds), (run) => {
      const hosts = runRandom(run);
      const restarts = run.faults.filter(({ kind }) =>
        [Fault.Restart, Fault.RestartLender].includes(kind),
      ).length;
      const stated = computeBurstBounds(restarts);
      const seen = computeObservedBursts(hosts);
      worst.requests = Math.max(worst.requests, seen.requests / stated.requests);
      worst.tokens = Math.max(worst.tokens, seen.tokens / stated.tokens);
      worst.running = Math.max(worst.running, hosts.maxRunning);
      return (
        seen.requests <= stated.requests &&
        seen.tokens <= stated.tokens &&
        hosts.maxRunning <= maxInFlight
      );
    }),
    { seed: 42, numRuns: NUM_RUNS },
  );
  note(
    `largest fraction of the burst bound: requests ${worst.requests.toFixed(3)}, ` +
      `tokens ${worst.tokens.toFixed(3)}; most in flight ${worst.running} of ${LIMITS.inFlight}`,
  );
}

t.test('AllowanceManager keeps the burst bound while messages are lost or delayed', async (t) => {
  // Guards against an account that exceeds its limit for a long time. A lease arrives late or
  // never while its share is lent to another host, because lender and borrower disagree on
  // which lease is in effect and until when.
  checkRuns([], LIMITS.inFlight, (line) => t.comment(line));
  t.pass('no window exceeds the burst bound');
});

t.test(
  'AllowanceManager keeps the burst bound through pauses, cut links and partitions',
  async (t) => {
    // Guards against each side of a partition, or a process that resumes, using the whole limit.
    // The lender lends most of the limit, the borrower freezes or is cut off, and the lender lends
    // the same share again, because a lease outlives the lender's record of it.
    checkRuns([Fault.CutLink, Fault.Partition, Fault.Pause], 2 * LIMITS.inFlight, (line) =>
      t.comment(line),
    );
    t.pass('no window exceeds the burst bound');
  },
);

t.test('AllowanceManager keeps the burst bound through restarts', async (t) => {
  // Guards against an account that gets nearly twice its limit after its lender restarts. The
  // new incarnation does not know the leases granted before and lends the same share again.
  checkRuns([Fault.RestartLender, Fault.Restart, Fault.Partition], 2 * LIMITS.inFlight, (line) =>
    t.comment(line),
  );
  t.pass('no window exceeds the burst bound');
});
