/**
 * One user's run: a fleet, mixed work in all tiers, a killed entry host.
 *
 * @module
 */
import { startFleet } from '../test/fleet/mod.js';
import type { Fleet, FleetShape } from '../test/fleet/mod.js';
import { SeededRandom } from '../test/support/fakes.js';
import { Caller } from './_caller.js';
import { runJourney } from './_journey.js';
import type { Journey } from './_journey.js';
import { computeVerdict } from './_verdict.js';
import type { Verdict } from './_verdict.js';
import { WorkMix } from './_work.js';

/** How the demo loads a fleet. */
export interface LoadShape {
  readonly seed: number;
  readonly durationMs: number;
  readonly arrivalsPerSecond: number;
  /** Arrivals in the middle fifth come so many times as often. */
  readonly burstFactor: number;
  /** All of the engines' durations are multiplied by it. */
  readonly timeScale: number;
}

const ACCOUNT_COUNT = 3;
const MS_PER_SECOND = 1000;
const PROGRESS_INTERVAL_MS = 2000;
const BURST_START = 0.4;
const BURST_END = 0.6;
const KILL_AT = 0.5;

/** Sends the work and counts it. */
class ShapeRun {
  readonly #journeys: Journey[] = [];

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

  async run(): Promise<readonly Journey[]> {
    const progress = setInterval(() => this.#printProgress(), PROGRESS_INTERVAL_MS);
    const kill = setTimeout(() => this.#killEntryHost(), this.load.durationMs * KILL_AT);
    try {
      await this.#sendAll();
      await Promise.all(this.#pending);
    } finally {
      clearInterval(progress);
      clearTimeout(kill);
    }
    this.#printProgress();
    return this.#journeys;
  }

  /** Open loop: arrivals don't wait for answers. */
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
    const journey = runJourney(this.#callers[index] as Caller, this.#mix.buildNext());
    this.#pending.push(
      journey.then((ended) => {
        this.#journeys.push(ended);
      }),
    );
  }

  #pickIntervalMs(progress: number): number {
    const isBurst = progress >= BURST_START && progress < BURST_END;
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
      this.#journeys.filter((journey) => journey.endings.at(-1)?.kind === kind).length;
    const waiting = this.#pending.length - this.#journeys.length;
    this.print(
      `${this.#formatTime()}  sent ${this.#pending.length}, answered ${count('answered')}, ` +
        `refused ${count('refused')}, on the way ${waiting}`,
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
 * Runs one user's work over a fleet of its own and ends the fleet.
 *
 * @param shape - the user's shape
 * @param load - how much work
 * @param print - prints progress, a line each
 * @returns what was measured
 */
export async function runShape(
  shape: FleetShape,
  load: LoadShape,
  print: (line: string) => void,
): Promise<Verdict> {
  const fleet = await startFleet({ shape, timeScale: load.timeScale, onProgress: print });
  try {
    const journeys = await new ShapeRun(fleet, load, print).run();
    return computeVerdict(journeys, await fleet.readRuns());
  } finally {
    await fleet.stop();
  }
}
