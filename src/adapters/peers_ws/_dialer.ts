/**
 * Decides when which address is dialled.
 *
 * @module
 */
import type { Clock, RandomSource, Timer } from '../../ports/mod.js';

/** What the dialer needs. */
export interface DialerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Shortest and longest time between two attempts, in milliseconds. */
  readonly minRedialMs: number;
  readonly maxRedialMs: number;
  /** Whether a link, dialled or accepted, leads to the address or is being made. */
  readonly hasLink: (url: string) => boolean;
  /** Begins to make a link. */
  readonly open: (url: string) => void;
}

interface AddressState {
  failures: number;
  timer: Timer | undefined;
}

/** Keeps one link to each address, with backoff and jitter between attempts. */
export class Dialer {
  readonly #options: DialerOptions;

  readonly #addresses = new Map<string, AddressState>();

  readonly #ownUrls = new Set<string>();

  /** @param options - what the dialer needs */
  constructor(options: DialerOptions) {
    this.#options = options;
  }

  /** @param urls - the addresses to keep links to, from now on */
  setAddresses(urls: readonly string[]): void {
    const wanted = new Set(urls);
    this.#addresses.forEach((address, url) => {
      if (wanted.has(url)) return;
      address.timer?.cancel();
      this.#addresses.delete(url);
    });
    wanted.forEach((url) => {
      if (this.#addresses.has(url)) return;
      this.#addresses.set(url, { failures: 0, timer: undefined });
      this.dialNow(url);
    });
  }

  /** @param url - an address of this very process, never to be dialled again */
  addOwnUrl(url: string): void {
    this.#ownUrls.add(url);
  }

  /**
   * Dials an address without waiting, unless something leads there already.
   *
   * @param url - the address; one that is not wanted is left alone
   */
  dialNow(url: string): void {
    const state = this.#addresses.get(url);
    if (!state || this.#ownUrls.has(url)) return;
    state.timer?.cancel();
    state.timer = undefined;
    if (!this.#options.hasLink(url)) this.#options.open(url);
  }

  /**
   * Has an address dialled again after its backoff.
   *
   * @param url - the address whose link has gone
   * @param lifetimeMs - how long the link had lived; a short life counts as a
   *   failure, since an end that breaks off after each handshake would else be
   *   dialled without a pause
   */
  scheduleRedial(url: string, lifetimeMs: number): void {
    const state = this.#addresses.get(url);
    if (!state || state.timer || this.#options.hasLink(url)) return;
    state.failures = lifetimeMs >= this.#options.maxRedialMs ? 0 : state.failures + 1;
    state.timer = this.#options.clock.setTimer(this.#computeDelayMs(state), () => {
      state.timer = undefined;
      this.dialNow(url);
    });
  }

  /** Dials nothing any more. */
  stop(): void {
    this.setAddresses([]);
  }

  #computeDelayMs({ failures }: AddressState): number {
    const { random, minRedialMs, maxRedialMs } = this.#options;
    const maxDelayMs = Math.min(maxRedialMs, minRedialMs * 2 ** Math.min(failures, 30));
    return maxDelayMs * (0.5 + random.nextFraction() / 2);
  }
}
