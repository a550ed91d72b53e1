/**
 * Slot time that client accounts use at all entry hosts, by service.
 *
 * @module
 */
import { AccountUsage } from '../../domain/direct/mod.js';
import type { FairOrder, WeightedAccount } from '../../domain/direct/mod.js';
import type { Clock, EventLog, Metrics } from '../../ports/mod.js';
import { LazyMap } from './_lazy_map.js';
import type { PeerStatsTable } from './_peer_stats.js';
import { MAX_GAUGED_ACCOUNTS, ShareGauges } from './_share_gauges.js';
import type { AccountGauge } from './_share_gauges.js';
import { ShareLog } from './_share_log.js';

/**
 * Maximum number of accounts in a report: the busiest ones. An account that is left out counts with
 * this host's part of its usage only, which puts it ahead of those that use more.
 */
export const MAX_REPORTED_ACCOUNTS = 24;

/**
 * Time for which totals and a choice of the busiest accounts are used again, in milliseconds, so that
 * a relay computes them once for the reports of one round.
 */
const MAX_CHOICE_AGE_MS = 100;

/**
 * An account with less than this fraction of the average usage per weight is below its share. The
 * distance to 1 keeps accounts with about the same usage from changing places all the time.
 */
const BELOW_SHARE_FRACTION = 0.75;

/** Separates service and account in the ID of a sum; IDs from the configuration don't contain it. */
const SEPARATOR = '\n';

/** A slot that is charged to an account until it is given back. */
export interface SlotCharge {
  /** Replaces the predicted time by the actual one. */
  readonly settle: () => void;
}

/** Total of all active accounts of one service. */
interface ServiceTotal {
  readonly accountCount: number;
  readonly usageMs: number;
}

/** Dependencies of {@link AccountUsageTable}. */
export interface AccountUsageTableOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: PeerStatsTable;
}

/**
 * Holds the usage of each service. Slots of one service are no use to calls of another one: if usage
 * were summed over services, an account with long answers at model engines would always come last at
 * a plain service as well.
 *
 * Sums of peers are those of their last reports, without the decay since then. It is the same factor
 * for all accounts, about 0.97 for the 150 ms between two reports.
 */
export class AccountUsageTable {
  readonly #options: AccountUsageTableOptions;

  readonly #byService: LazyMap<AccountUsage>;

  readonly #shareLog: ShareLog;

  readonly #gauges: ShareGauges;

  #busiestIds: readonly string[] = [];

  #chosenAtMs = Number.NEGATIVE_INFINITY;

  /** By service ID. */
  #totals: ReadonlyMap<string, ServiceTotal> = new Map();

  #totalledAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - dependencies */
  constructor(options: AccountUsageTableOptions) {
    this.#options = options;
    this.#shareLog = new ShareLog(options);
    this.#gauges = new ShareGauges(options.metrics);
    const { peers } = options;
    this.#byService = new LazyMap(
      (serviceId) =>
        new AccountUsage((accountId) =>
          peers.getTotal('accountUsage', formatSumId(serviceId, accountId)),
        ),
    );
  }

  /** @param serviceId - ID of a service. @returns the order of the accounts that wait for it */
  getOrder(serviceId: string): FairOrder {
    const { clock } = this.#options;
    return {
      usage: this.#byService.getOrCreate(serviceId),
      nowMs: () => clock.nowMs(),
      isBelowShare: (account) => this.isBelowShare(serviceId, account),
    };
  }

  /**
   * Charges a slot when it is given.
   *
   * @param serviceId - ID of the service
   * @param account - account that is given the slot
   * @param predictedMs - time for which it is expected to hold the slot, in milliseconds
   * @returns the charge, to be settled once when the slot is given back
   */
  charge(serviceId: string, account: WeightedAccount, predictedMs: number): SlotCharge {
    const { clock } = this.#options;
    const usage = this.#byService.getOrCreate(serviceId);
    const startedAtMs = clock.nowMs();
    usage.charge(account, predictedMs, startedAtMs);
    return {
      settle: () => {
        const nowMs = clock.nowMs();
        const heldMs = nowMs - startedAtMs;
        usage.settle(account.accountId, { predictedMs, heldMs }, nowMs);
      },
    };
  }

  /**
   * Lists the sums to report.
   *
   * @param sources - incarnations of the peer processes to include in addition to this one
   * @returns slot milliseconds of the busiest accounts, by sum ID
   */
  listReported(sources: readonly string[]): Record<string, number> {
    this.#shareLog.review();
    const own = this.#listOwn();
    if (sources.length === 0)
      return Object.fromEntries(pickBusiest(Object.entries(own), MAX_REPORTED_ACCOUNTS));
    return this.#options.peers.sumFor('accountUsage', this.#chooseBusiest(own), { own, sources });
  }

  /** Sets the gauges of the busiest accounts. */
  updateGauges(): void {
    this.#gauges.update(this.listBusiest(MAX_GAUGED_ACCOUNTS));
  }

  /**
   * @param maxCount - maximum number of accounts
   * @returns the accounts with the highest sums of all services, highest first
   */
  listBusiest(maxCount: number): readonly AccountGauge[] {
    const sums = this.#sumAll(this.#listOwn());
    const totals = sumByService(sums);
    return pickBusiest(sums, maxCount).map(([id, usageMs]) => {
      const ids = parseSumId(id);
      return { ...ids, usageMs, share: usageMs / (totals.get(ids.serviceId)?.usageMs ?? usageMs) };
    });
  }

  /**
   * Records an account that is below its share for the log. Other accounts count with weight 1, as
   * reports don't tell weights.
   *
   * @param serviceId - ID of a service
   * @param account - an account whose call is the first that waits
   * @returns whether it has less slot time per weight than the accounts have on average
   */
  isBelowShare(serviceId: string, { accountId, weight }: WeightedAccount): boolean {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#totalledAtMs >= MAX_CHOICE_AGE_MS) {
      this.#totalledAtMs = nowMs;
      this.#totals = sumByService(this.#sumAll(this.#listOwn()));
    }
    const usageMs = this.#byService.getOrCreate(serviceId).getTotalMs(accountId, nowMs);
    const total = this.#totals.get(serviceId) ?? { accountCount: 1, usageMs: 0 };
    const averageMs = (weight * total.usageMs) / total.accountCount;
    const isBelow = usageMs < BELOW_SHARE_FRACTION * averageMs;
    if (isBelow) this.#shareLog.recordBelow({ serviceId, accountId, usageMs, averageMs });
    return isBelow;
  }

  #listOwn(): Record<string, number> {
    const nowMs = this.#options.clock.nowMs();
    const sums = this.#byService
      .listEntries()
      .flatMap(([serviceId, usage]) =>
        [...usage.listOwn(nowMs)].map(([id, ms]) => [formatSumId(serviceId, id), ms] as const),
      );
    return Object.fromEntries(sums);
  }

  #chooseBusiest(own: Readonly<Record<string, number>>): readonly string[] {
    const nowMs = this.#options.clock.nowMs();
    if (nowMs - this.#chosenAtMs >= MAX_CHOICE_AGE_MS) {
      this.#chosenAtMs = nowMs;
      this.#busiestIds = pickBusiest(this.#sumAll(own), MAX_REPORTED_ACCOUNTS).map(([id]) => id);
    }
    return this.#busiestIds;
  }

  #sumAll(own: Readonly<Record<string, number>>): [string, number][] {
    const totals = new Map(this.#options.peers.listTotals('accountUsage'));
    Object.entries(own).forEach(([id, ms]) => totals.set(id, (totals.get(id) ?? 0) + ms));
    return [...totals];
  }
}

function formatSumId(serviceId: string, accountId: string): string {
  return `${serviceId}${SEPARATOR}${accountId}`;
}

function parseSumId(id: string): Pick<AccountGauge, 'accountId' | 'serviceId'> {
  const [serviceId = '', accountId = ''] = id.split(SEPARATOR);
  return { serviceId, accountId };
}

function sumByService(sums: readonly [string, number][]): ReadonlyMap<string, ServiceTotal> {
  const totals = new Map<string, ServiceTotal>();
  sums.forEach(([id, ms]) => {
    const { serviceId } = parseSumId(id);
    const { accountCount = 0, usageMs = 0 } = totals.get(serviceId) ?? {};
    totals.set(serviceId, { accountCount: accountCount + 1, usageMs: usageMs + ms });
  });
  return totals;
}

function pickBusiest(sums: readonly [string, number][], maxCount: number): [string, number][] {
  return [...sums].sort(([, a], [, b]) => b - a).slice(0, maxCount);
}
