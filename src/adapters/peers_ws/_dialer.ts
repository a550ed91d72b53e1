/**
 * Schedules the dialling of peer addresses.
 *
 * @module
 */
import type { Clock, RandomSource, Timer } from '../../ports/mod.js';

/** Options of {@link Dialer}. */
export interface DialerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Shortest backoff before jitter between two attempts to dial an address, in milliseconds. */
  readonly minRedialMs: number;
  /** Longest backoff between two attempts to dial an address, in milliseconds. */
  readonly maxRedialMs: number;
  /** Whether a dialled or accepted link to the address exists or is being established. */
  readonly hasLink: (url: string) => boolean;
  /** Starts to establish a link to the address. */
  readonly open: (url: string) => void;
}

/** Dial state of one address. */
interface AddressState {
  /** Number of consecutive failed attempts and short-lived links. */
  failures: number;
  /** Pending redial; undefined when none is scheduled. */
  timer: Timer | undefined;
}

/** Maintains one link to each address; redials with exponential backoff and jitter. */
export class Dialer {
  readonly #options: DialerOptions;

  readonly #addresses = new Map<string, AddressState>();

  readonly #ownUrls = new Set<string>();

  /** @param options - clock, randomness, backoff limits and callbacks */
  constructor(options: DialerOptions) {
    this.#options = options;
  }

  /** @param urls - the addresses to maintain links to; replaces the previous ones */
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

  /** @param url - an address of this process, which is never dialled again */
  addOwnUrl(url: string): void {
    this.#ownUrls.add(url);
  }

  /**
   * Dials an address without backoff, unless a link to it exists.
   *
   * @param url - the address; ignored unless `setAddresses` named it
   */
  dialNow(url: string): void {
    const state = this.#addresses.get(url);
    if (!state || this.#ownUrls.has(url)) return;
    state.timer?.cancel();
    state.timer = undefined;
    if (!this.#options.hasLink(url)) this.#options.open(url);
  }

  /**
   * Schedules another attempt to dial an address after its backoff.
   *
   * @param url - the address whose link has ended
   * @param lifetimeMs - how long the link existed; a lifetime below `maxRedialMs` counts as a
   *   failure, since a peer that closes each link after the handshake would otherwise be redialled
   *   without an increasing backoff
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

  /** Cancels all pending attempts and dials no further addresses. */
  stop(): void {
    this.setAddresses([]);
  }

  #computeDelayMs({ failures }: AddressState): number {
    const { random, minRedialMs, maxRedialMs } = this.#options;
    const maxDelayMs = Math.min(maxRedialMs, minRedialMs * 2 ** Math.min(failures, 30));
    return maxDelayMs * (0.5 + random.nextFraction() / 2);
  }
}
