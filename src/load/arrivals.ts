/**
 * Draws the arrivals of a load run before it starts.
 *
 * @module
 */
import type { RandomSource } from '../ports/mod.js';
import type { Tier } from '../domain/scheduling/tier.js';
import { computeArrivalRate } from './plan.js';
import type { LoadAccount, LoadPlan, LoadWork } from './plan.js';

const MS_PER_SECOND = 1000;

/** One request, sent at its scheduled time regardless of the outcome of earlier requests. */
export interface Arrival {
  readonly index: number;
  /** Scheduled time after the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly phase: string;
  readonly account: LoadAccount;
  /** Index of the account's caller that sends the request. */
  readonly caller: number;
  readonly work: LoadWork;
  readonly tier: Tier;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Key of the shared prompt prefix; undefined when the prompt has none. */
  readonly prefix: string | undefined;
}

/**
 * Draws all arrivals of a plan as a Poisson process with the rate of each phase.
 *
 * @param plan - the load plan
 * @param random - a seeded generator
 * @returns the arrivals in the order of time
 */
export function listArrivals(plan: LoadPlan, random: RandomSource): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let phaseStartMs = 0;
  plan.phases.forEach((phase) => {
    const phaseEndMs = phaseStartMs + phase.seconds * MS_PER_SECOND;
    const ratePerSecond = computeArrivalRate(plan, phase);
    let atMs = phaseStartMs + computeGapMs(ratePerSecond, random);
    while (atMs < phaseEndMs) {
      arrivals.push(
        createArrival(plan, { index: arrivals.length, atMs, phase: phase.name }, random),
      );
      atMs += computeGapMs(ratePerSecond, random);
    }
    phaseStartMs = phaseEndMs;
  });
  return arrivals;
}

/**
 * Computes the total duration of a plan's phases.
 *
 * @param plan - the plan
 * @returns the duration in milliseconds
 */
export function computePlanDurationMs(plan: LoadPlan): number {
  return plan.phases.reduce((sum, phase) => sum + phase.seconds * MS_PER_SECOND, 0);
}

function computeGapMs(ratePerSecond: number, random: RandomSource): number {
  if (ratePerSecond <= 0) return Number.POSITIVE_INFINITY;
  return (-Math.log(1 - random.nextFraction()) / ratePerSecond) * MS_PER_SECOND;
}

function createArrival(
  plan: LoadPlan,
  base: Pick<Arrival, 'index' | 'atMs' | 'phase'>,
  random: RandomSource,
): Arrival {
  const account = drawByShare(plan.accounts, random);
  const work = drawByShare(plan.work, random);
  const prefixIndex = Math.floor(random.nextFraction() * work.prefixCount);
  return {
    ...base,
    account,
    work,
    tier: work.tier,
    caller: Math.floor(random.nextFraction() * plan.callersPerAccount),
    promptTokens: drawLength(work.promptTokens, random),
    outputTokens: drawLength(work.outputTokens, random),
    prefix: work.prefixCount > 0 ? `${account.id}/${work.name}/${prefixIndex}` : undefined,
  };
}

function drawByShare<T extends { readonly share: number }>(
  choices: readonly T[],
  random: RandomSource,
): T {
  const total = choices.reduce((sum, choice) => sum + choice.share, 0);
  let remaining = random.nextFraction() * total;
  const found = choices.find((choice) => {
    remaining -= choice.share;
    return remaining < 0;
  });
  return found ?? (choices.at(-1) as T);
}

/** Draws log-uniformly: each order of magnitude within the range is equally likely. */
function drawLength([low, high]: readonly [number, number], random: RandomSource): number {
  const exponent = Math.log(low) + random.nextFraction() * (Math.log(high) - Math.log(low));
  return Math.min(high, Math.max(low, Math.round(Math.exp(exponent))));
}
