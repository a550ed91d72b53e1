/**
 * Runs a load plan as an open loop: requests start on schedule regardless of earlier outcomes.
 *
 * @module
 */
import http from 'node:http';
import { performance } from 'node:perf_hooks';
import { listArrivals } from './arrivals.js';
import type { Arrival } from './arrivals.js';
import { LoadClient } from './_load_client.js';
import { LoadRandom } from './load_random.js';
import type { RequestOutcome } from './outcome.js';
import type { LoadPlan } from './plan.js';

/** Sleep between two checks for due arrivals, in milliseconds. */
const TICK_MS = 5;

/** Options of {@link runLoad}. */
export interface RunLoadOptions {
  /** Base URLs of the entry hosts' listeners for callers. */
  readonly urls: readonly string[];
  readonly seed: number;
  /** Called with the outcome of each request as it ends. */
  readonly onOutcome?: (outcome: RequestOutcome) => void;
}

/** Result of {@link runLoad}. */
export interface LoadRun {
  readonly seed: number;
  /** Wall-clock time of the start, in milliseconds since the Unix epoch. */
  readonly startedWallMs: number;
  /** Time from the start until the last request ended, in milliseconds. */
  readonly elapsedMs: number;
  /** Longest delay between an arrival's scheduled time and its start, in milliseconds. */
  readonly worstLagMs: number;
  readonly outcomes: readonly RequestOutcome[];
}

/**
 * Runs a plan to its end. Times count from the scheduled arrival of a request, so a load tool that
 * falls behind makes answers look slower, never faster.
 *
 * @param plan - the load plan
 * @param options - entry hosts, seed and callback
 * @returns the outcomes of all requests and the times of the run
 */
export async function runLoad(plan: LoadPlan, options: RunLoadOptions): Promise<LoadRun> {
  const arrivals = listArrivals(plan, new LoadRandom(options.seed));
  const agent = new http.Agent({ keepAlive: true, maxTotalSockets: plan.maxSockets });
  const clients = createClients(plan, options.urls, agent);
  const startedWallMs = Date.now();
  const startMs = performance.now();
  const pending: Promise<RequestOutcome>[] = [];
  let worstLagMs = 0;
  let nextIndex = 0;
  while (nextIndex < arrivals.length) {
    const elapsedMs = performance.now() - startMs;
    while (nextIndex < arrivals.length && (arrivals[nextIndex] as Arrival).atMs <= elapsedMs) {
      const arrival = arrivals[nextIndex] as Arrival;
      worstLagMs = Math.max(worstLagMs, elapsedMs - arrival.atMs);
      const client = clients.get(buildClientKey(arrival.account.id, arrival.caller)) as LoadClient;
      pending.push(
        client.run(arrival, startMs + arrival.atMs).then(createOutcomeReporter(options)),
      );
      nextIndex += 1;
    }
    await waitMs(TICK_MS);
  }
  const outcomes = await Promise.all(pending);
  agent.destroy();
  return {
    seed: options.seed,
    startedWallMs,
    elapsedMs: performance.now() - startMs,
    worstLagMs,
    outcomes,
  };
}

function createClients(
  plan: LoadPlan,
  urls: readonly string[],
  agent: http.Agent,
): Map<string, LoadClient> {
  const clients = new Map<string, LoadClient>();
  const { graceMs, checksAnswers } = plan;
  plan.accounts.forEach((account) => {
    for (let caller = 0; caller < plan.callersPerAccount; caller += 1) {
      clients.set(
        buildClientKey(account.id, caller),
        new LoadClient({ urls, firstUrlIndex: clients.size, agent, graceMs, checksAnswers }),
      );
    }
  });
  return clients;
}

function buildClientKey(accountId: string, caller: number): string {
  return `${accountId}/${caller}`;
}

function createOutcomeReporter(
  options: RunLoadOptions,
): (outcome: RequestOutcome) => RequestOutcome {
  return (outcome) => {
    options.onOutcome?.(outcome);
    return outcome;
  };
}

function waitMs(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
