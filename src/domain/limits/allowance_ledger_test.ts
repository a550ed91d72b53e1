import t from 'tap';
import fc from 'fast-check';
import { SeededRandom } from '../../../test/support/fakes.js';
import {
  AllowanceLedger,
  buildShare,
  computeBaseShare,
  LEASE_DURATION_MS,
  LeaseHolder,
  LIMIT_KINDS,
  LimitKind,
} from './mod.js';
import type { AllowanceShare, LedgerContext, LedgerGrant } from './mod.js';

const ACCOUNT_ID = 'firm-a';
const STEP_MS = 50;
const STEPS = 600;
const NUM_RUNS = 50;
const ROUNDING_TOLERANCE = 1e-6;

interface Borrower {
  readonly id: string;
  readonly holder: LeaseHolder;
  readonly base: AllowanceShare;
}

interface Run {
  readonly seed: number;
  readonly count: number;
  readonly limits: AllowanceShare;
  readonly loss: number;
  readonly maxDelayMs: number;
  readonly restartEverySteps: number;
}

const RUN_ARBITRARY: fc.Arbitrary<Run> = fc.record({
  seed: fc.nat(1_000_000),
  count: fc.integer({ min: 1, max: 8 }),
  limits: fc.record({
    requestsPerSecond: fc.constantFrom(0.5, 20, 1000),
    tokensPerSecond: fc.constantFrom(10, 20_000),
    inFlight: fc.constantFrom(1, 2, 7, 64),
  }),
  loss: fc.constantFrom(0, 0.1, 0.6),
  maxDelayMs: fc.constantFrom(0, 100, 2500, 9000),
  restartEverySteps: fc.constantFrom(STEPS + 1, 70, 130),
});

/** Simulates entry hosts that borrow from one ledger over a lossy network, without requests. */
class LeaseSimulation {
  readonly borrowers: readonly Borrower[];

  readonly ids: readonly string[];

  nowMs = 0;

  #ledger: AllowanceLedger;

  #lenderIncarnation = 1;

  #lastRequestNumber = 0;

  #lastLeaseNumber = 0;

  #messages: { readonly atMs: number; readonly deliver: () => void }[] = [];

  readonly #demands = new Map<string, AllowanceShare>();

  readonly #random: SeededRandom;

  constructor(readonly run: Run) {
    this.#random = new SeededRandom(run.seed);
    this.ids = Array.from({ length: run.count }, (_, index) => `eh-${index + 1}`);
    this.borrowers = this.ids.map((id) => ({
      id,
      holder: new LeaseHolder(),
      base: computeBaseShare(run.limits, ACCOUNT_ID, id, this.ids),
    }));
    this.#ledger = this.#createLedger(0);
  }

  /** Restarts the lender, which then knows no leases. */
  restartLender(): void {
    this.#lenderIncarnation += 1;
    this.#lastLeaseNumber = 0;
    this.#ledger = this.#createLedger(this.nowMs + LEASE_DURATION_MS);
  }

  runStep(): void {
    this.nowMs += STEP_MS;
    const due = this.#messages.filter(({ atMs }) => atMs <= this.nowMs);
    this.#messages = this.#messages.filter(({ atMs }) => atMs > this.nowMs);
    due.forEach(({ deliver }) => deliver());
    this.borrowers.forEach((borrower) => {
      if (this.#random.nextFraction() < 0.02) this.#changeDemand(borrower.id);
      if (this.#random.nextFraction() < 0.1) this.#sendRequest(borrower);
    });
    this.#sendDueLeases();
  }

  /** Lists the fraction of a limit that each entry host may use now. */
  listFractions(kind: LimitKind): readonly number[] {
    return this.borrowers.map(
      ({ holder, base }) => holder.computeShare(base, this.nowMs)[kind] / this.run.limits[kind],
    );
  }

  #createLedger(quietUntilMs: number): AllowanceLedger {
    return new AllowanceLedger({
      accountId: ACCOUNT_ID,
      lendingStartsAtMs: quietUntilMs,
      nextLeaseNumber: () => {
        this.#lastLeaseNumber += 1;
        return this.#lastLeaseNumber;
      },
    });
  }

  #changeDemand(id: string): void {
    const factor = this.#random.nextFraction() < 0.5 ? 0 : 2 * this.#random.nextFraction();
    const demand = buildShare((kind) => this.run.limits[kind] * factor);
    this.#demands.set(id, demand);
  }

  #sendRequest(borrower: Borrower): void {
    this.#lastRequestNumber += 1;
    const requestNumber = this.#lastRequestNumber;
    const lenderIncarnation = String(this.#lenderIncarnation);
    borrower.holder.recordRequest(requestNumber, this.nowMs);
    const report = {
      entryHostId: borrower.id,
      incarnation: borrower.id,
      requestNumber,
      heldLease: borrower.holder.getLeaseNumber(lenderIncarnation),
      demand: this.#demands.get(borrower.id) ?? buildShare(() => 0),
      running: 0,
    };
    this.#send(() => {
      if (lenderIncarnation !== String(this.#lenderIncarnation)) return;
      this.#ledger.recordReport(report, this.nowMs);
      this.#sendLease(borrower, this.#grant(borrower.id));
    });
  }

  #grant(id: string): LedgerGrant | undefined {
    return this.#ledger.grant(id, this.#buildContext());
  }

  #sendDueLeases(): void {
    this.#ledger.listDueHosts(this.#buildContext()).forEach((id) => {
      const borrower = this.borrowers.find((one) => one.id === id);
      if (borrower) this.#sendLease(borrower, this.#grant(id));
    });
  }

  #sendLease(borrower: Borrower, grant: LedgerGrant | undefined): void {
    if (!grant) return;
    const lease = { ...grant, lenderIncarnation: String(this.#lenderIncarnation) };
    this.#send(() => borrower.holder.accept(lease, this.nowMs));
  }

  #buildContext(): LedgerContext {
    return {
      limits: this.run.limits,
      listedIds: this.ids,
      reachableIncarnations: new Map(this.ids.map((id) => [id, id])),
      maxRequestMs: 1000,
      nowMs: this.nowMs,
    };
  }

  #send(deliver: () => void): void {
    if (this.#random.nextFraction() < this.run.loss) return;
    const delayMs = this.#random.nextFraction() * this.run.maxDelayMs;
    this.#messages.push({ atMs: this.nowMs + delayMs, deliver });
  }
}

interface Peak {
  /** Largest sum of all shares, as a fraction of the limit. */
  readonly sum: number;
  /** Largest share of one of 8 entry hosts, as a fraction of the limit. */
  readonly largestShare: number;
}

/** Throws if the shares in use exceed a limit. */
function checkTotalUse(simulation: LeaseSimulation): Peak {
  const peaks = LIMIT_KINDS.map((kind) => {
    const fractions = simulation.listFractions(kind);
    const sum = fractions.reduce((total, fraction) => total + fraction, 0);
    if (sum > 1 + ROUNDING_TOLERANCE)
      throw new Error(`Shares of ${kind} add up to ${sum} at ${simulation.nowMs} ms`);
    const isLending = fractions.length === 8 && kind === LimitKind.Requests;
    return { sum, largestShare: isLending ? Math.max(...fractions) : 0 };
  });
  return mergePeaks(peaks);
}

function mergePeaks(peaks: readonly Peak[]): Peak {
  return {
    sum: Math.max(...peaks.map(({ sum }) => sum)),
    largestShare: Math.max(...peaks.map(({ largestShare }) => largestShare)),
  };
}

t.test('AllowanceLedger never lends the same capacity twice', async (t) => {
  // Guards against shares in use that add up to more than the limit, because capacity is lent
  // while another host may still use it. Leases and confirmations are lost, reordered or
  // arrive expired; the lender restarts while leases are active; the demand keeps changing.
  let most: Peak = { sum: 0, largestShare: 0 };
  fc.assert(
    fc.property(RUN_ARBITRARY, (run) => {
      const borrowers = new LeaseSimulation(run);
      for (let step = 1; step <= STEPS; step += 1) {
        if (step % run.restartEverySteps === 0) borrowers.restartLender();
        borrowers.runStep();
        most = mergePeaks([most, checkTotalUse(borrowers)]);
      }
    }),
    { seed: 42, numRuns: NUM_RUNS },
  );
  t.comment(`largest sum of all shares: ${most.sum.toFixed(6)} of the limit`);
  t.comment(`largest share of one of 8 entry hosts: ${most.largestShare.toFixed(3)} of the limit`);
  t.ok(most.sum <= 1 + ROUNDING_TOLERANCE);
  t.ok(most.largestShare > 0.9, 'capacity was lent');
});

t.test('AllowanceLedger lends nothing while a previous lender may have leases', async (t) => {
  // Guards against use of twice the limit for seconds after the lender was replaced: the
  // previous lender lent nearly everything and crashed, and the new one, which knows none of
  // its leases, lends at once.
  const quietUntilMs = 5000;
  const ledger = new AllowanceLedger({
    accountId: ACCOUNT_ID,
    lendingStartsAtMs: quietUntilMs,
    nextLeaseNumber: () => 1,
  });
  const limits = { requestsPerSecond: 10, tokensPerSecond: 10, inFlight: 10 };
  const context: Omit<LedgerContext, 'nowMs'> = {
    limits,
    listedIds: ['eh-1'],
    reachableIncarnations: new Map([['eh-1', 'eh-1']]),
    maxRequestMs: 1000,
  };
  t.equal(ledger.grant('eh-1', { ...context, nowMs: quietUntilMs - 1 }), undefined);
  t.same(ledger.grant('eh-1', { ...context, nowMs: quietUntilMs })?.share.inFlight, 1);
});

t.test('AllowanceLedger reserves the in-flight requests of a silent entry host', async (t) => {
  // Guards against more requests in flight than the limit, because the ledger counts leases
  // instead of running requests: an entry host starts many requests under a lease and falls
  // silent; its lease expires while its requests still run.
  const limits = { requestsPerSecond: 10, tokensPerSecond: 10, inFlight: 10 };
  let lease = 0;
  const ledger = new AllowanceLedger({
    accountId: ACCOUNT_ID,
    lendingStartsAtMs: 0,
    nextLeaseNumber: () => {
      lease += 1;
      return lease;
    },
  });
  const context = (nowMs: number): LedgerContext => ({
    limits,
    listedIds: ['eh-1', 'eh-2'],
    reachableIncarnations: new Map([
      ['eh-1', 'eh-1'],
      ['eh-2', 'eh-2'],
    ]),
    maxRequestMs: 60_000,
    nowMs,
  });
  const report = (
    id: string,
    nowMs: number,
    state: { wanted: number; running: number; heldLease: number },
  ): LedgerGrant | undefined => {
    ledger.recordReport(
      {
        entryHostId: id,
        incarnation: id,
        requestNumber: 1,
        heldLease: state.heldLease,
        demand: { requestsPerSecond: 0, tokensPerSecond: 0, inFlight: state.wanted },
        running: state.running,
      },
      nowMs,
    );
    return ledger.grant(id, context(nowMs));
  };
  const low = report('eh-1', 0, { wanted: 0, running: 8, heldLease: 0 });
  t.equal(low?.share.inFlight, 1);
  report('eh-1', 1, { wanted: 0, running: 8, heldLease: low?.leaseNumber ?? 0 });
  const asks = { wanted: 9, running: 0, heldLease: 0 };
  t.equal(report('eh-2', 2, asks)?.share.inFlight, 5, 'at most its base share');
  const held = { wanted: 0, running: 0, heldLease: low?.leaseNumber ?? 0 };
  report('eh-1', 3, held);
  t.equal(report('eh-2', 4, asks)?.share.inFlight, 9, 'all but the floor share of the idle host');
});
