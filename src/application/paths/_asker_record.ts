/**
 * What an entry host keeps of the exchanges of one peer process.
 *
 * @module
 */
import type { Clock, ResumedExchange } from '../../ports/mod.js';
import type { ProxiedExchange } from './_proxied_exchange.js';
import type { ReplyLog } from './_reply_log.js';

/** Time for which the events of an exchange are kept after its end, in milliseconds. */
const KEPT_REPLY_MS = 5_000;

/** Time for which the ID of an exchange is kept after its end, in milliseconds. */
const KEPT_ID_MS = 15_000;

/** Maximum number of exchanges that are kept after their end. */
const MAX_ENDED = 4_096;

interface EndedExchange {
  readonly endedAtMs: number;
  /** Events that the peer may have missed; undefined once they are dropped. */
  log: ReplyLog | undefined;
}

/** Exchanges of one peer process, in flight and for a while after their end. */
export class AskerRecord {
  readonly #clock: Clock;

  readonly #createdAtMs: number;

  readonly #running = new Map<number, ProxiedExchange>();

  /** In the order of their ends. */
  readonly #ended = new Map<number, EndedExchange>();

  /** Highest ID of an exchange that nothing is kept of any more. */
  #forgottenId = 0;

  /** @param hostId - ID of the peer's host. @param clock - clock */
  constructor(
    readonly hostId: string,
    clock: Clock,
  ) {
    this.#clock = clock;
    this.#createdAtMs = clock.nowMs();
  }

  /** Number of exchanges in flight, or waiting for room. */
  get runningCount(): number {
    return this.#running.size;
  }

  /** Whether nothing of the peer process is kept. */
  get isEmpty(): boolean {
    return this.#running.size === 0 && this.#ended.size === 0;
  }

  /** @param id - ID of an exchange. @returns whether it was handed to this host */
  has(id: number): boolean {
    return this.#running.has(id) || this.#ended.has(id);
  }

  /** @param id - ID of a new exchange. @param exchange - the exchange */
  add(id: number, exchange: ProxiedExchange): void {
    this.#running.set(id, exchange);
  }

  /** @returns exchanges in flight, or waiting for room */
  listRunning(): readonly ProxiedExchange[] {
    return [...this.#running.values()];
  }

  /** @param id - ID of an exchange. @returns it, if it is in flight */
  findRunning(id: number): ProxiedExchange | undefined {
    return this.#running.get(id);
  }

  /** @param id - ID of an exchange. @param log - events that the peer may have missed */
  end(id: number, log: ReplyLog): void {
    this.#running.delete(id);
    const kept = log.isClosed ? undefined : log;
    this.#ended.set(id, { endedAtMs: this.#clock.nowMs(), log: kept });
    if (this.#ended.size > MAX_ENDED) this.#forgetOldest();
  }

  /**
   * @param exchange - an exchange that the peer goes on with
   * @returns its events; undefined if none are kept
   */
  findLog({ exchangeId }: ResumedExchange): ReplyLog | undefined {
    return this.#running.get(exchangeId)?.log ?? this.#ended.get(exchangeId)?.log;
  }

  /**
   * Cancels the exchanges that the peer doesn't go on with, whose cancellation may have been lost.
   *
   * @param ids - IDs of the others
   */
  cancelOthers(ids: ReadonlySet<number>): void {
    [...this.#running].filter(([id]) => !ids.has(id)).forEach(([, exchange]) => exchange.cancel());
    this.#ended.forEach((ended, id) => {
      if (!ids.has(id)) dropLog(ended);
    });
  }

  /**
   * @param exchange - an exchange that the peer goes on with
   * @returns whether this host is sure that it never received the request
   */
  hasNeverReceived({ exchangeId, nextIndex, ageMs }: ResumedExchange): boolean {
    const keptMs = this.#clock.nowMs() - this.#createdAtMs;
    const isKept = keptMs >= ageMs && exchangeId > this.#forgottenId;
    return isKept && nextIndex === 0 && !this.has(exchangeId);
  }

  /** Drops what has been kept for long enough. */
  prune(): void {
    const nowMs = this.#clock.nowMs();
    this.#ended.forEach((ended) => {
      if (nowMs - ended.endedAtMs >= KEPT_REPLY_MS) dropLog(ended);
    });
    for (const { endedAtMs } of this.#ended.values()) {
      if (nowMs - endedAtMs < KEPT_ID_MS) return;
      this.#forgetOldest();
    }
  }

  #forgetOldest(): void {
    const [[id, ended] = []] = this.#ended;
    if (id === undefined || !ended) return;
    dropLog(ended);
    this.#ended.delete(id);
    this.#forgottenId = Math.max(this.#forgottenId, id);
  }
}

function dropLog(ended: EndedExchange): void {
  ended.log?.close();
  Object.assign(ended, { log: undefined });
}
