/**
 * The configuration that the operators of a soak run publish.
 *
 * @module
 */
import { buildConfiguration, TEST_KEY } from '../platform/test/documents.js';
import type { TestStore } from '../platform/test/store.js';

/** API key that a run may revoke. */
export const REVOCABLE_KEY = 'key-to-be-revoked';

/** When a key was added, and when it was taken away, in milliseconds. */
export interface KeySpan {
  readonly fromMs: number;
  /** `Infinity` while it is valid. */
  readonly untilMs: number;
}

/** Start of the API keys that are replaced by one another. */
const REPLACED_KEY_PREFIX = 'key-in-turn-';

/** Time for which a new key and the one that it replaces are both valid, in milliseconds. */
const KEY_OVERLAP_MS = 800;

/** Publishes configurations, each with one more change. */
export class PublishedConfiguration {
  /** When the revocable key was removed, in milliseconds; `Infinity` before that. */
  revokedAtMs = Infinity;

  /** The keys in turn so far. */
  readonly keySpans = new Map<string, KeySpan>();

  readonly #store: TestStore;

  readonly #timeoutMs: number;

  #version = 0;

  #addedRoutes = 0;

  #replacedKeys = 0;

  #isReplacing = false;

  /**
   * @param store - the store to write to
   * @param timeoutMs - timeout of each route
   */
  constructor(store: TestStore, timeoutMs: number) {
    this.#store = store;
    this.#timeoutMs = timeoutMs;
    this.keySpans.set(this.keyInTurn, { fromMs: Number.NEGATIVE_INFINITY, untilMs: Infinity });
  }

  /** Key in turn that callers use at present. */
  get keyInTurn(): string {
    return `${REPLACED_KEY_PREFIX}${this.#replacedKeys}`;
  }

  get #nextKey(): string {
    return `${REPLACED_KEY_PREFIX}${this.#replacedKeys + 1}`;
  }

  /** Publishes the next version. */
  publish(): void {
    this.#version += 1;
    this.write();
  }

  /** Publishes a version with one more route. */
  addRoute(): void {
    this.#addedRoutes += 1;
    this.publish();
  }

  /** Publishes a version without the revocable key; has no effect after the first call. */
  revokeKey(): void {
    if (this.revokedAtMs !== Infinity) return;
    this.revokedAtMs = performance.now();
    this.publish();
  }

  /**
   * Publishes a version with the next key in turn, and later one without the key before it, which
   * calls in flight still use. Has no effect until then.
   *
   * @param schedule - runs a callback later
   */
  replaceKey(schedule: (delayMs: number, run: () => void) => void): void {
    if (this.#isReplacing) return;
    this.#isReplacing = true;
    this.keySpans.set(this.#nextKey, { fromMs: performance.now(), untilMs: Infinity });
    this.publish();
    schedule(KEY_OVERLAP_MS, () => {
      const span = this.keySpans.get(this.keyInTurn) as KeySpan;
      this.keySpans.set(this.keyInTurn, { ...span, untilMs: performance.now() });
      this.#replacedKeys += 1;
      this.#isReplacing = false;
      this.publish();
    });
  }

  /** Writes the latest version, as after a restore of the store. */
  write(): void {
    const apiKeys = [
      TEST_KEY,
      ...(this.revokedAtMs === Infinity ? [REVOCABLE_KEY] : []),
      this.keyInTurn,
      ...(this.#isReplacing ? [this.#nextKey] : []),
    ];
    const added = Array.from({ length: this.#addedRoutes }, (_, index) => `/added-${index}/`);
    const changes = { apiKeys, additionalPrefixes: added, timeoutMs: this.#timeoutMs };
    this.#store.put('op/config', buildConfiguration(this.#version, changes));
  }
}
