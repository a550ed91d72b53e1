/**
 * A fake platform service in one process, for tests:
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

  /** @param service - the service to read */
  constructor(readonly service: FakePlatform) {
    super();
  }

  /** Cuts off only this reader from the service, or reconnects it. */
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

/** A platform service that several readers share. */
export class FakePlatform {
  /** Number of reads so far, including those that still wait. */
  readCount = 0;

  isDown = false;

  #history: PlatformSnapshot[] = [EMPTY_SNAPSHOT];

  /** State that reads return while the service is stale. */
  #staleSnapshot: PlatformSnapshot | undefined;

  readonly #waiters = new Set<() => void>();

  /** @param clock - clock for the timeouts of waiting reads */
  constructor(readonly clock: Clock) {}

  /** State that reads currently return. */
  get snapshot(): PlatformSnapshot {
    return this.#staleSnapshot ?? this.#history.at(-1) ?? EMPTY_SNAPSHOT;
  }

  /**
   * Writes a key, as an operator does.
   *
   * @param key - the key
   * @param value - text of the value; undefined deletes the key
   * @returns index of the write
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

  /** Restores an older state, as from a backup; later writes reuse the indexes after it. */
  restore(index: number): void {
    this.#history = this.#history.filter((snapshot) => snapshot.index <= index);
    this.notify();
  }

  /**
   * Makes the service stale: reads return an older state until {@link FakePlatform.thaw}.
   *
   * @param index - index of the state; by default the current one
   */
  freeze(index = this.snapshot.index): void {
    this.#staleSnapshot = this.#history.findLast((snapshot) => snapshot.index <= index);
  }

  /** Ends the staleness: reads return the newest state again. */
  thaw(): void {
    this.#staleSnapshot = undefined;
    this.notify();
  }

  /** Sets whether the service is down, so that reads fail. */
  setDown(isDown: boolean): void {
    this.isDown = isDown;
    this.notify();
  }

  /** @returns a new reader, which can be cut off independently of others */
  createReader(): FakePlatformReader {
    return new FakePlatformReader(this);
  }

  /** Makes waiting reads check again whether they are done. */
  notify(): void {
    [...this.#waiters].forEach((look) => look());
  }

  /**
   * Waits until a condition holds or a time has passed.
   *
   * @param waitMs - longest wait in milliseconds
   * @param isDone - the condition, checked after each notification
   */
  wait(waitMs: number, isDone: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.setTimer(waitMs, resolve);
      const check = (): void => {
        if (!isDone()) return;
        timer.cancel();
        this.#waiters.delete(check);
        resolve();
      };
      this.#waiters.add(check);
    });
  }
}
