/**
 * One object for each key, made when it is first asked for.
 *
 * @module
 */

/** A map that fills itself. */
export class KeptByKey<T> {
  readonly #values = new Map<string, T>();

  readonly #create: (key: string) => T;

  /** @param create - makes the object of a key */
  constructor(create: (key: string) => T) {
    this.#create = create;
  }

  /** @param key - a key. @returns its object */
  take(key: string): T {
    const existing = this.#values.get(key);
    if (existing !== undefined) return existing;
    const created = this.#create(key);
    this.#values.set(key, created);
    return created;
  }

  /** @param key - a key. @returns its object, if it was ever asked for */
  find(key: string): T | undefined {
    return this.#values.get(key);
  }

  /** @returns keys and objects */
  list(): readonly (readonly [string, T])[] {
    return [...this.#values];
  }
}
