/**
 * Rate limit of one entry host for one backend server that may receive requests only at a pace.
 *
 * @module
 */

/** Further settings of {@link ServerPacer.configure}. */
export interface PacerOptions {
  /** Requests a second that all entry hosts together send. Default: no bound. */
  readonly totalPerSecond?: number;
  /**
   * How much earlier the request after a late one may be sent, in milliseconds, so that late
   * checks don't add up to a lower rate. Default: 0.
   */
  readonly catchUpMs?: number;
}

/** Tracks until when a server is paced and when this entry host may send to it next. */
export class ServerPacer {
  #pacedUntilMs = Number.NEGATIVE_INFINITY;

  #intervalMs = Infinity;

  #totalPerSecond = Infinity;

  #catchUpMs = 0;

  #sentAtMs = Number.NEGATIVE_INFINITY;

  /** Until when the turn that another entry host has passed on may be used. */
  #turnUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * @param pacedUntilMs - when the pace ends, on the monotonic clock
   * @param intervalMs - shortest time between two requests of this entry host until then;
   *   Infinity if it may send none
   * @param options - further settings of the pace
   */
  configure(
    pacedUntilMs: number,
    intervalMs: number,
    { totalPerSecond = Infinity, catchUpMs = 0 }: PacerOptions = {},
  ): void {
    this.#pacedUntilMs = pacedUntilMs;
    this.#intervalMs = intervalMs;
    this.#totalPerSecond = totalPerSecond;
    this.#catchUpMs = catchUpMs;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns requests a second that all entry hosts together may send; Infinity without a pace
   */
  computeTotalPerSecond(nowMs: number): number {
    return this.isPaced(nowMs) ? this.#totalPerSecond : Infinity;
  }

  /** Time of the last request of this entry host, or of the last turn that it passed on. */
  get sentAtMs(): number {
    return this.#sentAtMs;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether the server is paced */
  isPaced(nowMs: number): boolean {
    return nowMs < this.#pacedUntilMs;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether a request may be sent now */
  maySend(nowMs: number): boolean {
    return !this.isPaced(nowMs) || this.hasPassedTurn(nowMs) || this.#isIntervalOver(nowMs);
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether a passed turn may be used */
  hasPassedTurn(nowMs: number): boolean {
    return nowMs < this.#turnUntilMs;
  }

  /** @param nowMs - monotonic time at which a request is sent, or a turn is passed on */
  recordSent(nowMs: number): void {
    const usesTurn = this.hasPassedTurn(nowMs) && !this.#isIntervalOver(nowMs);
    this.#turnUntilMs = Number.NEGATIVE_INFINITY;
    if (usesTurn) return;
    const lateMs = this.#intervalMs < Infinity ? nowMs - this.#sentAtMs - this.#intervalMs : 0;
    this.#sentAtMs = nowMs - Math.max(0, Math.min(lateMs, this.#catchUpMs));
  }

  /** @param fromMs - monotonic time from which an interval must pass before the next request */
  restartInterval(fromMs: number): void {
    this.#sentAtMs = Math.max(this.#sentAtMs, fromMs);
  }

  /**
   * Takes over the right to send one request. A second one before the first is used adds nothing.
   *
   * @param untilMs - when the right ends, on the monotonic clock
   */
  grantTurn(untilMs: number): void {
    this.#turnUntilMs = untilMs;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @param lifetimeMs - time from the moment at which a turn is due until it expires
   * @returns age of the turn that the next request uses; 0 for a turn of this host's own
   */
  computeTurnAgeMs(nowMs: number, lifetimeMs: number): number {
    if (!this.hasPassedTurn(nowMs) || this.#isIntervalOver(nowMs)) return 0;
    return lifetimeMs - (this.#turnUntilMs - nowMs);
  }

  #isIntervalOver(nowMs: number): boolean {
    return this.#intervalMs < Infinity && nowMs - this.#sentAtMs >= this.#intervalMs;
  }
}
