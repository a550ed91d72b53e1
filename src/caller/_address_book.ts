/**
 * The entry hosts that a caller may use.
 *
 * @module
 */
import type { Assignment } from '../application/views/mod.js';
import type { Clock } from '../ports/mod.js';

const AVOID_MS = 5000;

/** Addresses in the order in which they are to be tried. */
export class AddressBook {
  readonly #firstUrls: readonly string[];

  readonly #clock: Clock;

  readonly #failedAtMs = new Map<string, number>();

  #assigned: readonly string[] = [];

  #assignedUntilMs = 0;

  /**
   * @param firstUrls - addresses from the settings, asked first and when nothing else is known
   * @param clock - tells how long an answer may be kept
   */
  constructor(firstUrls: readonly string[], clock: Clock) {
    this.#firstUrls = firstUrls.map((url) => url.replace(/\/+$/, ''));
    this.#clock = clock;
  }

  /** @param assignment - an entry host's answer, kept as long as it says */
  apply({ entryHost, entryHosts, keepMs }: Assignment): void {
    this.#assigned = [entryHost, ...entryHosts].map(({ url }) => url.replace(/\/+$/, ''));
    this.#assignedUntilMs = this.#clock.nowMs() + keepMs;
  }

  /** @param url - an address that did not answer; it is tried last for a while */
  noteFailure(url: string): void {
    this.#failedAtMs.set(url, this.#clock.nowMs());
  }

  /**
   * @param first - an address to put first, unless it failed
   * @returns every known address, best first
   */
  list(first?: string): readonly string[] {
    const isKept = this.#clock.nowMs() < this.#assignedUntilMs;
    const ordered = isKept
      ? [...this.#assigned, ...this.#firstUrls]
      : [...this.#firstUrls, ...this.#assigned];
    const urls = [...new Set(first === undefined ? ordered : [first, ...ordered])];
    return [
      ...urls.filter((url) => !this.#hasFailed(url)),
      ...urls.filter((url) => this.#hasFailed(url)),
    ];
  }

  #hasFailed(url: string): boolean {
    const failedAtMs = this.#failedAtMs.get(url);
    return failedAtMs !== undefined && this.#clock.nowMs() - failedAtMs < AVOID_MS;
  }
}
