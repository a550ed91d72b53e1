/**
 * A load report that lags behind.
 *
 * @module
 */

/** What `GET /v1/load` tells. */
export interface Load {
  readonly running: number;
  readonly waiting: number;
}

interface Sample {
  readonly atMs: number;
  readonly load: Load;
}

/** Tells the load as it was a fixed time ago. */
export class LaggedLoad {
  readonly #samples: Sample[] = [{ atMs: -Infinity, load: { running: 0, waiting: 0 } }];

  /** @param lagMs - how far the report lags, in milliseconds */
  constructor(readonly lagMs: number) {}

  /** @param load - the load from now on */
  record(load: Load): void {
    this.#samples.push({ atMs: performance.now(), load });
    this.#prune();
  }

  /** @returns the load as it was */
  read(): Load {
    this.#prune();
    return (this.#samples[0] as Sample).load;
  }

  #prune(): void {
    const limitMs = performance.now() - this.lagMs;
    while (this.#samples.length > 1 && (this.#samples[1] as Sample).atMs <= limitMs) {
      this.#samples.shift();
    }
  }
}
