/**
 * The load report of a stand-in backend server, which lags behind the current load.
 *
 * @module
 */

/** The load that `GET /v1/load` reports, as numbers of calls. */
export interface Load {
  readonly running: number;
  readonly waiting: number;
}

interface Sample {
  readonly atMs: number;
  readonly load: Load;
}

/** Returns the load as it was a fixed time ago. */
export class LaggedLoad {
  readonly #samples: Sample[] = [{ atMs: -Infinity, load: { running: 0, waiting: 0 } }];

  /** @param lagMs - age of the reported load, in milliseconds */
  constructor(readonly lagMs: number) {}

  /** Records a change of the load. @param load - the current load */
  record(load: Load): void {
    this.#samples.push({ atMs: performance.now(), load });
    this.#prune();
  }

  /** @returns the load as it was `lagMs` ago */
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
