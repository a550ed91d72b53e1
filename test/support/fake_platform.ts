/**
 * A platform service within one process, for tests:
 * `const service = new FakePlatform(clock); const reader = service.createReader();`
 *
 * @module
 */
import { PlatformReader } from '../../src/ports/mod.js';
import type { Clock, PlatformReadOptions, PlatformSnapshot } from '../../src/ports/mod.js';

const EMPTY_SNAPSHOT: PlatformSnapshot = { index: 1, entries: [] };

/** One reader of a {@link FakePlatform}. */
export class FakePlatformReader extends PlatformReader {
  #isCut = false;

  /** @param service - what it reads */
  constructor(readonly service: FakePlatform) {
    super();
  }

  /** Cuts this reader alone off, or lets it through again. */
  setCut(isCut: boolean): void {
    this.#isCut = isCut;
    this.service.notify();
  }

  override async read(prefix: string, options: PlatformReadOptions): Promise<PlatformSnapshot> {
    const { service } = this;
    const { afterIndex, signal, waitMs } = options;
    service.readCount += 1;
    const mustFail = (): boolean => this.#isCut || service.isDown || signal.aborted;
    const isDone = (): boolean =>
      mustFail() || afterIndex === 0 || service.snapshot.index > afterIndex;
    const onAbort = (): void => service.notify();
    signal.addEventListener('abort', onAbort);
    if (!isDone()) await service.wait(waitMs, isDone);
    signal.removeEventListener('abort', onAbort);
    if (mustFail()) throw new Error('Cannot read the platform service: no connection');
    const { index, entries } = service.snapshot;
    return { index, entries: entries.filter(({ key }) => key.startsWith(prefix)) };
  }
}

/** The service that several readers share. */
export class FakePlatform {
  /** Reads so far, waiting ones included. */
  readCount = 0;

  isDown = false;

  #history: PlatformSnapshot[] = [EMPTY_SNAPSHOT];

  #frozen: PlatformSnapshot | undefined;

  readonly #waiting = new Set<() => void>();

  /** @param clock - times the waits */
  constructor(readonly clock: Clock) {}

  /** What it answers now. */
  get snapshot(): PlatformSnapshot {
    return this.#frozen ?? this.#history.at(-1) ?? EMPTY_SNAPSHOT;
  }

  /**
   * Writes a key as an operator would.
   *
   * @param key - which key
   * @param value - its text; undefined deletes it
   * @returns the index of the write
   */
  publish(key: string, value: string | undefined): number {
    const last = this.#history.at(-1) ?? EMPTY_SNAPSHOT;
    const index = last.index + 1;
    const others = last.entries.filter((entry) => entry.key !== key);
    const written =
      value === undefined ? [] : [{ key, value: Buffer.from(value), modifyIndex: index }];
    this.#history.push({ index, entries: [...others, ...written] });
    this.notify();
    return index;
  }

  /** Puts an older state back, as from a backup: later indices are counted again. */
  restore(index: number): void {
    this.#history = this.#history.filter((snapshot) => snapshot.index <= index);
    this.notify();
  }

  /**
   * Goes stale: answers an older state until {@link FakePlatform.thaw}.
   *
   * @param index - which state; by default that of this moment
   */
  freeze(index = this.snapshot.index): void {
    this.#frozen = this.#history.findLast((snapshot) => snapshot.index <= index);
  }

  /** Answers the newest state again. */
  thaw(): void {
    this.#frozen = undefined;
    this.notify();
  }

  /** Takes the service down, or brings it back. */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.notify();
  }

  /** @returns a reader of its own connection */
  createReader(): FakePlatformReader {
    return new FakePlatformReader(this);
  }

  /** Lets waiting reads look again. */
  notify(): void {
    [...this.#waiting].forEach((look) => look());
  }

  /**
   * Waits for something to happen, or for a time to pass.
   *
   * @param waitMs - longest wait in milliseconds
   * @param isDone - asked after each change
   */
  wait(waitMs: number, isDone: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(waitMs, resolve);
      const look = (): void => {
        if (!isDone()) return;
        timer.cancel();
        this.#waiting.delete(look);
        resolve();
      };
      this.#waiting.add(look);
    });
  }
}
