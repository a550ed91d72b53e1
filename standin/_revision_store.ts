/**
 * Versioned key-value store of a stand-in platform service.
 *
 * @module
 */

/** The current value of a key and the indexes of the writes that created and last changed it. */
export interface StoredKey {
  readonly key: string;
  readonly value: Buffer;
  readonly createIndex: number;
  readonly modifyIndex: number;
}

interface Write {
  readonly index: number;
  readonly key: string;
  /** Value of the key; undefined for a deletion. */
  readonly value: Buffer | undefined;
}

/** All keys below a prefix. */
export interface PrefixState {
  readonly index: number;
  readonly keys: readonly StoredKey[];
}

/** Keeps every write, so that an older state can be restored. */
export class RevisionStore {
  #writes: Write[] = [];

  /** Index of the last write. */
  get index(): number {
    return this.#writes.at(-1)?.index ?? 1;
  }

  /**
   * Writes or deletes a key.
   *
   * @param key - the key
   * @param value - the new value; undefined deletes the key
   * @returns the index of the write
   */
  write(key: string, value: Buffer | undefined): number {
    const index = this.index + 1;
    this.#writes.push({ index, key, value });
    return index;
  }

  /** Drops later writes, like a restore from a backup. @param index - last write to keep */
  truncateAfter(index: number): void {
    this.#writes = this.#writes.filter((write) => write.index <= index);
  }

  /** @returns a copy that later writes to this store do not change */
  createCopy(): RevisionStore {
    const copied = new RevisionStore();
    copied.#writes = [...this.#writes];
    return copied;
  }

  /**
   * Reads all keys below a prefix.
   *
   * @param prefix - prefix of the keys
   * @returns the keys, and the index of the last write or deletion below the prefix
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
