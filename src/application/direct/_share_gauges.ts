/**
 * Gauges of the slot time that client accounts use.
 *
 * @module
 */
import type { MetricLabels, Metrics } from '../../ports/mod.js';

/** Number of accounts with gauges: the busiest ones. */
export const MAX_GAUGED_ACCOUNTS = 20;

/** What the gauges show of one account at one service. */
export interface AccountGauge {
  readonly serviceId: string;
  readonly accountId: string;
  /** Decayed sum of slot time at all entry hosts, in milliseconds. */
  readonly usageMs: number;
  /** Fraction of the usage of all accounts of the service, in [0, 1]. */
  readonly share: number;
}

/** Sets the gauges of the busiest accounts, and those of accounts that were among them to 0. */
export class ShareGauges {
  readonly #metrics: Metrics;

  /** Labels of the gauges that are not 0, by service and account. */
  #shown: ReadonlyMap<string, MetricLabels> = new Map();

  /** @param metrics - registry that holds the gauges */
  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** @param accounts - the busiest accounts */
  update(accounts: readonly AccountGauge[]): void {
    const shown = new Map<string, MetricLabels>();
    accounts.forEach(({ serviceId, accountId, usageMs, share }) => {
      const labels = { service: serviceId, account: accountId };
      shown.set(JSON.stringify(labels), labels);
      this.#set(labels, { usageMs, share });
    });
    this.#shown.forEach((labels, key) => {
      if (!shown.has(key)) this.#set(labels, { usageMs: 0, share: 0 });
    });
    this.#shown = shown;
  }

  #set(labels: MetricLabels, { usageMs, share }: Pick<AccountGauge, 'share' | 'usageMs'>): void {
    this.#metrics.set('account_slot_usage_ms', Math.round(usageMs), labels);
    this.#metrics.set('account_slot_share', share, labels);
  }
}
