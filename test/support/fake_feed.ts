/**
 * An in-memory change feed on the clock of a test.
 *
 * @module
 */
import { ChangeFeed, HistoryLostError } from '../../src/ports/mod.js';
import type { Clock, FeedChange, FeedChanges, FeedSnapshot } from '../../src/ports/mod.js';

/** A change feed whose keys tests write. It can be down, silent or without history. */
export class FakeFeed extends ChangeFeed {
  /** Whether reads fail. */
  isDown = false;

  /** Whether reads are never answered. */
  isSilent = false;

  readCount = 0;

  readonly #clock: Clock;

  readonly #items = new Map<string, FeedChange>();

  #history: FeedChange[] = [];

  /** Revision up to which the history of changes was discarded. */
  #discardedRevision = 0;

  #revision = 0;

  /** Callbacks that wake the reads that wait for a change. */
  readonly #waiters = new Set<() => void>();

  #snapshotsReleased: Promise<void> = Promise.resolve();

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  /** Writes a key. @param key - the key. @param value - text, or a value to store as JSON */
  put(key: string, value: unknown): void {
    this.#write(key, Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)));
  }

  remove(key: string): void {
    this.#write(key, undefined);
  }

  /** Discards the history of changes, so that older revisions can no longer be followed. */
  discardHistory(): void {
    this.#discardedRevision = this.#revision;
    this.#history = [];
  }

  /** Delays the responses to snapshot reads. @returns the function that releases them */
  holdSnapshots(): { release: () => void } {
    let release = (): void => undefined;
    this.#snapshotsReleased = new Promise((resolve) => {
      release = resolve;
    });
    return { release };
  }

  override async readAll(prefix: string): Promise<FeedSnapshot> {
    const snapshot = await this.#read(() => ({
      items: [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .flatMap(({ key, value, revision }) => (value ? [{ key, value, revision }] : [])),
      revision: this.#revision,
    }));
    await this.#snapshotsReleased;
    return snapshot;
  }

  override async readChanges(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<FeedChanges> {
    if (afterRevision < this.#discardedRevision)
      throw new HistoryLostError('Cannot follow: forgotten');
    await this.#read(() => undefined);
    if (this.#listChanges(prefix, afterRevision).length === 0) await this.#wait(waitMs);
    return this.#read(() => ({
      changes: this.#listChanges(prefix, afterRevision),
      revision: this.#revision,
    }));
  }

  #write(key: string, value: Uint8Array | undefined): void {
    this.#revision += 1;
    const change = { key, value, revision: this.#revision };
    if (value) this.#items.set(key, change);
    else this.#items.delete(key);
    this.#history.push(change);
    [...this.#waiters].forEach((wake) => wake());
  }

  #listChanges(prefix: string, after: number): FeedChange[] {
    return this.#history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
  }

  #read<T>(build: () => T): Promise<T> {
    this.readCount += 1;
    if (this.isSilent) return new Promise(() => {});
    if (this.isDown) return Promise.reject(new Error('Cannot read: the feed is down'));
    return Promise.resolve(build());
  }

  #wait(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        this.#waiters.delete(wake);
        resolve();
      };
      this.#clock.setTimer(waitMs, wake);
      this.#waiters.add(wake);
    });
  }
}
