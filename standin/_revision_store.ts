/**
 * The keys of a stand-in platform service, with their whole history.
 *
 * @module
 */

/** One key as it stands. */
export interface StoredKey {
  readonly key: string;
  readonly value: Buffer;
  readonly createIndex: number;
  readonly modifyIndex: number;
}

interface Write {
  readonly index: number;
  readonly key: string;
  /** Undefined: the key was deleted. */
  readonly value: Buffer | undefined;
}

/** What stands below a prefix. */
export interface PrefixState {
  readonly index: number;
  readonly keys: readonly StoredKey[];
}

/** Keeps each write, so that an older state can be put back. */
export class RevisionStore {
  #writes: Write[] = [];

  /** Index of the last write. */
  get index(): number {
    return this.#writes.at(-1)?.index ?? 1;
  }

  /**
   * Writes or deletes a key.
   *
   * @param key - which key
   * @param value - its value; undefined deletes it
   * @returns the write's index
   */
  write(key: string, value: Buffer | undefined): number {
    const index = this.index + 1;
    this.#writes.push({ index, key, value });
    return index;
  }

  /** @param index - writes after it are forgotten, as after a restore from a backup */
  removeAfter(index: number): void {
    this.#writes = this.#writes.filter((write) => write.index <= index);
  }

  /** @returns a copy that later writes don't change */
  createCopy(): RevisionStore {
    const copied = new RevisionStore();
    copied.#writes = [...this.#writes];
    return copied;
  }

  /**
   * Reads everything below a prefix.
   *
   * @param prefix - the keys' common start
   * @returns its index, which deletions raise too, and its keys
   */
  read(prefix: string): PrefixState {
    const keys = new Map<string, StoredKey>();
    let index = 1;
    this.#writes
      .filter((write) => write.key.startsWith(prefix))
      .forEach((write) => {
        index = write.index;
        this.#apply(keys, write);
      });
    return { index, keys: [...keys.values()].sort((a, b) => (a.key < b.key ? -1 : 1)) };
  }

  #apply(keys: Map<string, StoredKey>, { key, value, index }: Write): void {
    if (value === undefined) keys.delete(key);
    else {
      const createIndex = keys.get(key)?.createIndex ?? index;
      keys.set(key, { key, value, createIndex, modifyIndex: index });
    }
  }
}
