/**
 * Admits a bounded number of jobs at a time, the most urgent first.
 *
 * @module
 */

/** A job that waits for admission. */
export interface GatedJob {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Called once the job is admitted; it must be released when it ends. */
  readonly start: () => void;
  /** Called instead if there is no room for the job. */
  readonly refuse: () => void;
}

/** Bounds of an {@link UrgencyGate}. */
export interface GateBounds {
  /** Maximum number of admitted jobs. */
  readonly maxRunning: number;
  /** Maximum number of waiting jobs. */
  readonly maxWaiting: number;
}

/** Admits jobs within its bounds, in order of urgency and then of arrival. */
export class UrgencyGate {
  readonly #bounds: GateBounds;

  #waiting: GatedJob[] = [];

  #runningCount = 0;

  /** @param bounds - how many jobs may run and wait */
  constructor(bounds: GateBounds) {
    this.#bounds = bounds;
  }

  /** Number of admitted jobs. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Number of waiting jobs. */
  get waitingCount(): number {
    return this.#waiting.length;
  }

  /** @param job - starts at once, waits, or is refused; a less urgent one may be refused for it */
  submit(job: GatedJob): void {
    if (this.#runningCount < this.#bounds.maxRunning) {
      this.#start(job);
      return;
    }
    const position = this.#waiting.findIndex(({ urgency }) => urgency > job.urgency);
    this.#waiting.splice(position < 0 ? this.#waiting.length : position, 0, job);
    if (this.#waiting.length > this.#bounds.maxWaiting) this.#waiting.pop()?.refuse();
  }

  /** Ends an admitted job, and starts the most urgent waiting one. */
  release(): void {
    this.#runningCount -= 1;
    const next = this.#waiting.shift();
    if (next) this.#start(next);
  }

  /**
   * Withdraws a waiting job.
   *
   * @param job - a job
   * @returns whether it was waiting
   */
  remove(job: GatedJob): boolean {
    const isWaiting = this.#waiting.includes(job);
    this.#waiting = this.#waiting.filter((other) => other !== job);
    return isWaiting;
  }

  #start(job: GatedJob): void {
    this.#runningCount += 1;
    job.start();
  }
}
