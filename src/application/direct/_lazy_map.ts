/**
 * A map that creates each missing value on first access.
 *
 * @module
 */

/** Holds one value for each key, created when it is first requested. */
export class LazyMap<T> {
  readonly #values = new Map<string, T>();

  readonly #create: (key: string) => T;

  /** @param create - creates the value for a key */
  constructor(create: (key: string) => T) {
    this.#create = create;
  }

  /** @param key - a key. @returns its value, created if it is missing */
  getOrCreate(key: string): T {
    const existing = this.#values.get(key);
    if (existing !== undefined) return existing;
    const created = this.#create(key);
    this.#values.set(key, created);
    return created;
  }

  /** @param key - a key. @returns its value; undefined if it was never created */
  get(key: string): T | undefined {
    return this.#values.get(key);
  }

  /** @returns all keys with their values */
  listEntries(): readonly (readonly [string, T])[] {
    return [...this.#values];
  }
}
