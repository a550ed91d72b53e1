/**
 * An in-memory change feed on the clock of a test.
 *
 * @module
 */
import { ChangeFeed, HistoryLostError } from '../../src/ports/mod.js';
import type { Clock, FeedChange, FeedChanges, FeedSnapshot } from '../../src/ports/mod.js';

/** The content of a {@link FakeFeed} at one moment, from which it can be restored. */
export interface FeedCopy {
  readonly items: ReadonlyMap<string, FeedChange>;
  readonly history: readonly FeedChange[];
  readonly revision: number;
}

/** A change feed whose keys tests write. It can be down, silent, without history or restored. */
export class FakeFeed extends ChangeFeed {
  /** Whether reads fail. */
  isDown = false;

  /** Whether reads are never answered. */
  isSilent = false;

  /** Number of reads of changes for which the history is lost, whatever is asked for. */
  lossesLeft = 0;

  readCount = 0;

  /** Era that answers name, by the actual one. */
  namedEra: (era: number) => number | undefined = (era) => era;

  readonly #clock: Clock;

  #items = new Map<string, FeedChange>();

  #history: FeedChange[] = [];

  /** Revision up to which the history of changes was discarded. */
  #discardedRevision = 0;

  #revision = 0;

  #era = 1;

  /** Callbacks that end the waits of reads, with or without an error. */
  readonly #waiters = new Set<(error?: Error) => void>();

  #snapshotsReleased: Promise<void> = Promise.resolve();

  #changesReleased: Promise<void> = Promise.resolve();

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

  /** Number of times that the feed was restored, plus one. */
  get era(): number {
    return this.#era;
  }

  /** Revision of the newest write. */
  get revision(): number {
    return this.#revision;
  }

  /** Value of a key as text; undefined if there is none. */
  getText(key: string): string | undefined {
    const value = this.#items.get(key)?.value;
    return value && Buffer.from(value).toString();
  }

  /** All keys with their values as text. */
  listTexts(): [key: string, text: string][] {
    return [...this.#items.keys()].map((key) => [key, this.getText(key) ?? '']);
  }

  /** @returns the current content, for {@link FakeFeed.restore} */
  copy(): FeedCopy {
    return { items: new Map(this.#items), history: [...this.#history], revision: this.#revision };
  }

  /** Takes the content of another feed over, as another reader of the same store sees it. */
  load({ items, history, revision }: FeedCopy): void {
    this.#items = new Map(items);
    this.#history = [...history];
    this.#revision = revision;
    this.#discardedRevision = (history[0]?.revision ?? revision + 1) - 1;
  }

  /** Replaces the content by a copy, which begins a new era, and cuts all waiting reads. */
  restore(copy: FeedCopy): void {
    const discardedRevision = this.#discardedRevision;
    this.load(copy);
    this.#discardedRevision = Math.min(discardedRevision, copy.revision);
    this.#era += 1;
    [...this.#waiters].forEach((wake) => wake(new Error('Cannot read: the feed was restored')));
  }

  /** Delays the responses to snapshot reads. @returns the function that releases them */
  holdSnapshots(): { release: () => void } {
    const { released, release } = createHold();
    this.#snapshotsReleased = released;
    return { release };
  }

  /** Delays the responses to reads of changes. @returns the function that releases them */
  holdChanges(): { release: () => void } {
    const { released, release } = createHold();
    this.#changesReleased = released;
    return { release };
  }

  override async readAll(prefix: string): Promise<FeedSnapshot> {
    const snapshot = await this.#read(() => ({
      items: [...this.#items.values()]
        .filter(({ key }) => key.startsWith(prefix))
        .flatMap(({ key, value, revision }) => (value ? [{ key, value, revision }] : [])),
      revision: this.#revision,
      era: this.namedEra(this.#era),
    }));
    await this.#snapshotsReleased;
    return snapshot;
  }

  override async readChanges(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<FeedChanges> {
    await this.#read(() => undefined);
    if (this.lossesLeft > 0) {
      this.lossesLeft -= 1;
      throw new HistoryLostError('Cannot follow: forgotten');
    }
    if (afterRevision < this.#discardedRevision || afterRevision > this.#revision)
      throw new HistoryLostError('Cannot follow: forgotten');
    const mustWait = waitMs > 0 && this.#listChanges(prefix, afterRevision).length === 0;
    if (mustWait) await this.#wait(waitMs);
    const answer = await this.#read(() => ({
      changes: this.#listChanges(prefix, afterRevision),
      revision: this.#revision,
      era: this.namedEra(this.#era),
    }));
    await this.#changesReleased;
    return answer;
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
    return new Promise((resolve, reject) => {
      const wake = (error?: Error): void => {
        this.#waiters.delete(wake);
        if (error) reject(error);
        else resolve();
      };
      this.#clock.setTimer(waitMs, () => wake());
      this.#waiters.add(wake);
    });
  }
}

function createHold(): { readonly released: Promise<void>; readonly release: () => void } {
  let release = (): void => undefined;
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  return { released, release };
}
