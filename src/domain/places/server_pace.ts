/**
 * All reasons for which one backend server may receive requests only at a pace.
 *
 * @module
 */
import { ServerPacer } from './server_pacer.js';
import { ServerPause } from './server_pause.js';
import { SlotPacer } from './slot_pacer.js';

/** Longest time without a request to a server that names a limit, in milliseconds. */
const LIMIT_REFRESH_MS = 2_000;

/**
 * Combines the pace of a warming server, of a server that names a rate limit, of one that bears
 * few refusals, and of one that asked for a pause.
 */
export class ServerPace {
  /** Pace of this entry host while the server is warming up. */
  readonly warmup = new ServerPacer();

  /** Pace of this entry host while the server names a rate limit. */
  readonly rateLimit = new ServerPacer();

  /** This entry host's part of the slots while the server bears few refusals. */
  readonly slots = new SlotPacer();

  /** Pause that the server asked this entry host for. */
  readonly pause = new ServerPause();

  /** @param nowMs - monotonic time in milliseconds. @returns whether requests must keep a pace */
  isPaced(nowMs: number): boolean {
    const { pause, rateLimit, slots, warmup } = this;
    return (
      warmup.isPaced(nowMs) || rateLimit.isPaced(nowMs) || slots.isPaced || pause.isActive(nowMs)
    );
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @param ownInFlight - requests of this entry host on the server
   * @returns whether a request may be sent now
   */
  maySend(nowMs: number, ownInFlight: number): boolean {
    if (!this.pause.maySend(nowMs)) return false;
    const isInTurn = this.warmup.maySend(nowMs) && this.rateLimit.maySend(nowMs);
    return isInTurn && this.slots.maySend(nowMs, ownInFlight);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the next request uses a turn of this host's own, which it may pass on
   */
  hasOwnTurn(nowMs: number): boolean {
    const { rateLimit } = this;
    const isInTurn = this.warmup.maySend(nowMs) && rateLimit.maySend(nowMs);
    return rateLimit.isPaced(nowMs) && isInTurn && !rateLimit.hasPassedTurn(nowMs);
  }

  /** @param nowMs - monotonic time at which a request is sent, or a turn is passed on */
  recordSent(nowMs: number): void {
    this.warmup.recordSent(nowMs);
    this.rateLimit.recordSent(nowMs);
    this.slots.recordSent(nowMs);
    this.pause.recordSent(nowMs);
  }

  /**
   * Takes over a turn. It ends no wait for a warming server: turns may arrive late and together,
   * and such a server has no room for that.
   *
   * @param untilMs - when the right to send one request ends, on the monotonic clock
   */
  grantTurn(untilMs: number): void {
    this.rateLimit.grantTurn(untilMs);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @param lifetimeMs - time from the moment at which a turn is due until it expires
   * @returns age of the turn that the next request uses, in milliseconds
   */
  computeTurnAgeMs(nowMs: number, lifetimeMs: number): number {
    return this.rateLimit.computeTurnAgeMs(nowMs, lifetimeMs);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns requests a second that all entry hosts together may send; Infinity without a pace
   */
  computeTotalPerSecond(nowMs: number): number {
    return Math.min(
      this.warmup.computeTotalPerSecond(nowMs),
      this.rateLimit.computeTotalPerSecond(nowMs),
    );
  }

  /**
   * Tells whether the server should receive the next request in any case: only its answers tell
   * that its limit has ended.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns whether the last request to a limited server was sent long ago
   */
  isRefreshDue(nowMs: number): boolean {
    const { rateLimit } = this;
    return rateLimit.isPaced(nowMs) && nowMs - rateLimit.sentAtMs >= LIMIT_REFRESH_MS;
  }
}
