/**
 * Orders the entry host URLs that a caller client tries.
 *
 * @module
 */
import type { Assignment } from '../application/views/mod.js';
import type { Clock } from '../ports/mod.js';

/** Time for which a URL is tried last after a failure, in milliseconds. */
const FAILED_URL_COOLDOWN_MS = 5000;

/** Keeps the configured and the assigned entry host URLs and lists them in the order of trial. */
export class AddressBook {
  readonly #configuredUrls: readonly string[];

  readonly #clock: Clock;

  readonly #failedAtMs = new Map<string, number>();

  #assignedUrls: readonly string[] = [];

  #assignedUntilMs = 0;

  /**
   * @param configuredUrls - base URLs of entry hosts from the settings; listed before the assigned
   *   URLs only while no assignment is valid
   * @param clock - measures how long an assignment stays valid and how long ago a URL failed
   */
  constructor(configuredUrls: readonly string[], clock: Clock) {
    this.#configuredUrls = configuredUrls.map((url) => url.replace(/\/+$/, ''));
    this.#clock = clock;
  }

  /**
   * Replaces the assigned URLs.
   *
   * @param assignment - an entry host's answer; it is valid for its `keepMs`
   */
  apply({ entryHost, entryHosts, keepMs }: Assignment): void {
    this.#assignedUrls = [entryHost, ...entryHosts].map(({ url }) => url.replace(/\/+$/, ''));
    this.#assignedUntilMs = this.#clock.nowMs() + keepMs;
  }

  /** @param url - a URL that failed; it moves to the end of the list for a while */
  recordFailure(url: string): void {
    this.#failedAtMs.set(url, this.#clock.nowMs());
  }

  /**
   * @param preferredUrl - a URL to put first, unless it failed recently
   * @returns every known URL, without duplicates; those that failed recently come last
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
