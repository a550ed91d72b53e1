/**
 * Runs mixed work of all tiers against a fleet, and kills an entry host midway.
 *
 * @module
 */
import { startFleet } from '../test/fleet/mod.js';
import type { Fleet, FleetShape } from '../test/fleet/mod.js';
import { SeededRandom } from '../test/support/fakes.js';
import { Caller } from './_caller.js';
import { sendWithRetries } from './_work_outcome.js';
import type { WorkOutcome } from './_work_outcome.js';
import { computeVerdict } from './_verdict.js';
import type { Verdict } from './_verdict.js';
import { WorkMix } from './_work.js';

/** Load that the demo puts on a fleet. */
export interface LoadShape {
  readonly seed: number;
  readonly durationMs: number;
  readonly arrivalsPerSecond: number;
  /** Factor by which the arrival rate rises in the middle fifth of the run. */
  readonly burstFactor: number;
  /** Factor that scales all durations of the simulated engines. */
  readonly timeScale: number;
}

/** Number of client accounts that send work. */
const ACCOUNT_COUNT = 3;
const MS_PER_SECOND = 1000;
const PROGRESS_INTERVAL_MS = 2000;
/** Start and end of the burst, as fractions of the run. */
const BURST_START_FRACTION = 0.4;
const BURST_END_FRACTION = 0.6;
/** Time at which an entry host is killed, as a fraction of the run. */
const KILL_FRACTION = 0.5;

/** Sends the work of one run and collects its outcomes. */
class ShapeRun {
  readonly #outcomes: WorkOutcome[] = [];

  readonly #pending: Promise<void>[] = [];

  readonly #random: SeededRandom;

  readonly #mix: WorkMix;

  readonly #callers: readonly Caller[];

  readonly #startMs = performance.now();

  constructor(
    readonly fleet: Fleet,
    readonly load: LoadShape,
    readonly print: (line: string) => void,
  ) {
    const { shape } = fleet.parts.options;
    this.#random = new SeededRandom(load.seed);
    this.#mix = new WorkMix(shape, this.#random);
    const urls = fleet.entryHosts.map((host) => host.url);
    this.#callers = fleet.accounts.slice(0, ACCOUNT_COUNT).map((each) => new Caller(each, urls));
  }

  async run(): Promise<readonly WorkOutcome[]> {
    const progress = setInterval(() => this.#printProgress(), PROGRESS_INTERVAL_MS);
    const kill = setTimeout(() => this.#killEntryHost(), this.load.durationMs * KILL_FRACTION);
    try {
      await this.#sendAll();
      await Promise.all(this.#pending);
    } finally {
      clearInterval(progress);
      clearTimeout(kill);
    }
    this.#printProgress();
    return this.#outcomes;
  }

  /** Sends work as an open loop: arrivals don't wait for earlier answers. */
  async #sendAll(): Promise<void> {
    let nextMs = 0;
    while (nextMs < this.load.durationMs) {
      const waitMs = nextMs - this.#getElapsedMs();
      if (waitMs > 0) {
        await new Promise((resolve) => {
          setTimeout(resolve, waitMs);
        });
      }
      this.#sendOne();
      nextMs += this.#pickIntervalMs(nextMs / this.load.durationMs);
    }
  }

  #sendOne(): void {
    const index = Math.floor(this.#random.nextFraction() * this.#callers.length);
    const outcome = sendWithRetries(this.#callers[index] as Caller, this.#mix.buildNext());
    this.#pending.push(
      outcome.then((ended) => {
        this.#outcomes.push(ended);
      }),
    );
  }

  #pickIntervalMs(progress: number): number {
    const isBurst = progress >= BURST_START_FRACTION && progress < BURST_END_FRACTION;
    const rate = this.load.arrivalsPerSecond * (isBurst ? this.load.burstFactor : 1);
    return (-Math.log(1 - this.#random.nextFraction()) / rate) * MS_PER_SECOND;
  }

  #killEntryHost(): void {
    const victim = this.fleet.entryHosts[1] ?? this.fleet.entryHosts[0];
    victim?.kill('SIGKILL');
    this.print(`${this.#formatTime()}  entry host ${victim?.id} (pid ${victim?.pid}) killed`);
  }

  #printProgress(): void {
    const count = (kind: string): number =>
      this.#outcomes.filter((outcome) => outcome.requestOutcomes.at(-1)?.kind === kind).length;
    const waiting = this.#pending.length - this.#outcomes.length;
    this.print(
      `${this.#formatTime()}  sent ${this.#pending.length}, answered ${count('answered')}, ` +
        `refused ${count('refused')}, in flight ${waiting}`,
    );
  }

  #getElapsedMs(): number {
    return performance.now() - this.#startMs;
  }

  #formatTime(): string {
    return `${(this.#getElapsedMs() / MS_PER_SECOND).toFixed(1).padStart(6)} s`;
  }
}

/**
 * Starts a fleet, runs the shape's work against it and stops the fleet.
 *
 * @param shape - the fleet's shape
 * @param load - the load
 * @param print - prints one line of progress
 * @returns the results
 */
export async function runShape(
  shape: FleetShape,
  load: LoadShape,
  print: (line: string) => void,
): Promise<Verdict> {
  const fleet = await startFleet({ shape, timeScale: load.timeScale, onProgress: print });
  try {
    const outcomes = await new ShapeRun(fleet, load, print).run();
    return computeVerdict(outcomes, await fleet.readRuns());
  } finally {
    await fleet.stop();
  }
}
