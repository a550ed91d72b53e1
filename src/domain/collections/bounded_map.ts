/**
 * A bounded map that evicts the least recently set key.
 *
 * @module
 */

/**
 * Maps keys to values and evicts the least recently set key beyond the capacity, so that
 * its memory stays bounded. Reading a key does not delay its eviction.
 */
export class BoundedMap<T> {
  readonly #values = new Map<string, T>();

  readonly #capacity: number;

  /** @param capacity - maximum number of keys */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  /** Number of keys. */
  get size(): number {
    return this.#values.size;
  }

  /** @param key - key to look up. @returns its value; undefined if it is absent or was evicted */
  get(key: string): T | undefined {
    return this.#values.get(key);
  }

  /** @param key - key to look up. @returns whether the map holds it */
  has(key: string): boolean {
    return this.#values.has(key);
  }

  /** @param key - key that becomes the most recently set one. @param value - its value */
  set(key: string, value: T): void {
    this.#values.delete(key);
    this.#values.set(key, value);
    if (this.#values.size <= this.#capacity) return;
    const oldest = this.#values.keys().next();
    if (!oldest.done) this.#values.delete(oldest.value);
  }

  /** @returns all keys and values, least recently set first */
  listEntries(): readonly (readonly [string, T])[] {
    return [...this.#values];
  }

  /** @param key - key to remove. @returns whether the map held it */
  delete(key: string): boolean {
    return this.#values.delete(key);
  }
}
