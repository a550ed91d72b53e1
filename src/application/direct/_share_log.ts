/**
 * Writes log lines about client accounts that have less than their fair share of the slots.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { Clock, EventLog } from '../../ports/mod.js';

/**
 * Time for which an account has to be first in line, below its share, before that is logged, in
 * milliseconds. Beside a busy account the others are there for moments all the time.
 */
const MIN_BELOW_MS = 500;

/** Time without a waiting call below the share after which an account is back, in milliseconds. */
const BACK_AFTER_MS = 1_000;

/** Shortest time between two lines about accounts below their share, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/** Maximum number of accounts that are tracked. */
const MAX_TRACKED = 256;

/** An account whose calls wait although it has less than its share. */
export interface ShortAccount {
  readonly serviceId: string;
  readonly accountId: string;
  /** Slot time of the account, in milliseconds. */
  readonly usageMs: number;
  /** Average slot time of the accounts for the account's weight, in milliseconds. */
  readonly averageMs: number;
}

/** A tracked account. */
interface TrackedAccount {
  readonly account: ShortAccount;
  readonly sinceMs: number;
  lastMs: number;
  isLogged: boolean;
}

/** Logs when an account falls below its share while its calls wait, and when that is over. */
export class ShareLog {
  readonly #options: { readonly clock: Clock; readonly log: EventLog };

  /** By service and account. */
  readonly #tracked = new Map<string, TrackedAccount>();

  #loggedAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - the log, and the clock that its rate is measured by */
  constructor(options: { readonly clock: Clock; readonly log: EventLog }) {
    this.#options = options;
  }

  /** @param account - an account below its share whose call is the first that waits */
  recordBelow(account: ShortAccount): void {
    const nowMs = this.#options.clock.nowMs();
    const key = JSON.stringify([account.serviceId, account.accountId]);
    const found = this.#tracked.get(key);
    if (!found) {
      const tracked = { account, sinceMs: nowMs, lastMs: nowMs, isLogged: false };
      if (this.#tracked.size < MAX_TRACKED) this.#tracked.set(key, tracked);
      return;
    }
    found.lastMs = nowMs;
    const isDue = nowMs - found.sinceMs >= MIN_BELOW_MS;
    if (found.isLogged || !isDue || nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    found.isLogged = true;
    this.#loggedAtMs = nowMs;
    this.#write('account_below_share', account, { belowMs: Math.round(nowMs - found.sinceMs) });
  }

  /** Drops the accounts that have no call any more that waits below their share. */
  review(): void {
    const nowMs = this.#options.clock.nowMs();
    this.#tracked.forEach(({ account, sinceMs, lastMs, isLogged }, key) => {
      if (nowMs - lastMs < BACK_AFTER_MS) return;
      this.#tracked.delete(key);
      const belowMs = Math.round(lastMs - sinceMs);
      if (isLogged) this.#write('account_share_regained', account, { belowMs });
    });
  }

  #write(event: string, account: ShortAccount, times: { readonly belowMs: number }): void {
    const { serviceId, accountId, usageMs, averageMs } = account;
    this.#options.log.write(LogLevel.Info, event, {
      account: accountId,
      service: serviceId,
      usageMs: Math.round(usageMs),
      averageMs: Math.round(averageMs),
      ...times,
    });
  }
}
