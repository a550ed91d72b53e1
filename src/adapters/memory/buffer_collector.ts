/**
 * Collects buffers that nobody uses any more, before they fill a small machine.
 *
 * @module
 */
import { getHeapStatistics, setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Steps by which buffers must have grown since the last collection before the next one. */
const RETRY_STEPS = 3;

/** Collects garbage; with `minor`, only among what was allocated lately. */
type Collect = (options?: { readonly type: 'minor' }) => void;

/** Options of {@link BufferCollector}. */
export interface BufferCollectorOptions {
  /** Most bytes that buffers may take, whether or not somebody uses them. */
  readonly maxBytes: number;
  /** Bytes received between two checks, which may come on top. */
  readonly stepBytes: number;
  /** @returns bytes of all buffers. Default: asks the engine. */
  readonly measureBytes?: () => number;
  /** Collects garbage. Default: asks the engine. */
  readonly collect?: Collect;
}

/**
 * Counts received bytes. The engine lets 64 MB of buffers and half of the heap's limit gather before it
 * collects them, and no option lowers that: more than a small machine has. Below the limit, nothing
 * is done.
 */
export class BufferCollector {
  readonly #options: Required<BufferCollectorOptions>;

  #uncheckedBytes = 0;

  #collections = 0;

  /** What was in use after the last collection of everything, or less since. */
  #usedBytes = 0;

  /** @param options - the limit, and the engine */
  constructor(options: BufferCollectorOptions) {
    this.#options = {
      measureBytes: () => getHeapStatistics().external_memory,
      collect: options.collect ?? exposeCollect(),
      ...options,
    };
  }

  /** Most bytes that buffers may take. */
  get maxBytes(): number {
    return this.#options.maxBytes;
  }

  /** Number of collections so far. */
  get collections(): number {
    return this.#collections;
  }

  /** @param bytes - bytes that were received into a new buffer */
  record(bytes: number): void {
    this.#uncheckedBytes += bytes;
    if (this.#uncheckedBytes < this.#options.stepBytes) return;
    this.#uncheckedBytes = 0;
    if (!this.#mustCollect()) return;
    this.#collect({ type: 'minor' });
    if (!this.#mustCollect()) return;
    this.#collect();
    this.#usedBytes = this.#options.measureBytes();
  }

  /** What is in use can't be collected, and each try takes the time of a whole collection. */
  #mustCollect(): boolean {
    const { maxBytes, measureBytes, stepBytes } = this.#options;
    const bytes = measureBytes();
    this.#usedBytes = Math.min(this.#usedBytes, bytes);
    return bytes > Math.max(maxBytes, this.#usedBytes + RETRY_STEPS * stepBytes);
  }

  #collect(options?: { readonly type: 'minor' }): void {
    this.#collections += 1;
    this.#options.collect(options);
  }
}

/** @returns the engine's function, which it only gives to new contexts */
function exposeCollect(): Collect {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as Collect;
  setFlagsFromString('--no-expose-gc');
  return collect;
}
