/**
 * The entry hosts that a caller may use.
 *
 * @module
 */
import type { Assignment } from '../application/views/mod.js';
import type { Clock } from '../ports/mod.js';

const FAILED_URL_COOLDOWN_MS = 5000;

/** Addresses in the order in which they are to be tried. */
export class AddressBook {
  readonly #configuredUrls: readonly string[];

  readonly #clock: Clock;

  readonly #failedAtMs = new Map<string, number>();

  #assignedUrls: readonly string[] = [];

  #assignedUntilMs = 0;

  /**
   * @param configuredUrls - addresses from the settings, asked first and when nothing else is known
   * @param clock - tells how long an answer may be kept
   */
  constructor(configuredUrls: readonly string[], clock: Clock) {
    this.#configuredUrls = configuredUrls.map((url) => url.replace(/\/+$/, ''));
    this.#clock = clock;
  }

  /** @param assignment - an entry host's answer, kept as long as it says */
  apply({ entryHost, entryHosts, keepMs }: Assignment): void {
    this.#assignedUrls = [entryHost, ...entryHosts].map(({ url }) => url.replace(/\/+$/, ''));
    this.#assignedUntilMs = this.#clock.nowMs() + keepMs;
  }

  /** @param url - an address that did not answer; it is tried last for a while */
  recordFailure(url: string): void {
    this.#failedAtMs.set(url, this.#clock.nowMs());
  }

  /**
   * @param preferredUrl - an address to put first, unless it failed
   * @returns every known address, best first
   */
  list(preferredUrl?: string): readonly string[] {
    const isAssignmentValid = this.#clock.nowMs() < this.#assignedUntilMs;
    const orderedUrls = isAssignmentValid
      ? [...this.#assignedUrls, ...this.#configuredUrls]
      : [...this.#configuredUrls, ...this.#assignedUrls];
    const urls = [
      ...new Set(preferredUrl === undefined ? orderedUrls : [preferredUrl, ...orderedUrls]),
    ];
    return [
      ...urls.filter((url) => !this.#hasFailedRecently(url)),
      ...urls.filter((url) => this.#hasFailedRecently(url)),
    ];
  }

  #hasFailedRecently(url: string): boolean {
    const failedAtMs = this.#failedAtMs.get(url);
    return failedAtMs !== undefined && this.#clock.nowMs() - failedAtMs < FAILED_URL_COOLDOWN_MS;
  }
}
