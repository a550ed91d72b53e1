/**
 * Builders of dispatch groups and slot demands for tests of the scheduling.
 *
 * @module
 */
import { SeededRandom } from './fakes.js';
import {
  createStrategy,
  GroupScheduler,
  ServerVerdict,
  StrategyName,
  Tier,
} from '../../src/domain/scheduling/mod.js';
import type {
  SchedulingStrategy,
  ServerSpec,
  SlotDemand,
  SlotResult,
} from '../../src/domain/scheduling/mod.js';

/** The result of a healthy server for a short response. */
export const HEALTHY_RESULT: SlotResult = {
  verdict: ServerVerdict.Healthy,
  firstByteMs: 50,
  totalMs: 500,
  outputTokens: 20,
};

/** Builds backend servers whose decode speed rises with their index. */
export function buildSpecs(
  count: number,
  slots: number,
  leaving: readonly number[] = [],
): ServerSpec[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `engine-${index}`,
    slots,
    prefillTokensPerSecond: 8000,
    decodeTokensPerSecond: 50 + index * 25,
    isLeaving: leaving.includes(index),
  }));
}

/** Builds a demand of the standard tier whose deadline is one minute after time 0. */
export function buildDemand(key: string, changes: Partial<SlotDemand> = {}): SlotDemand {
  return {
    key,
    accountId: 'firm-a',
    weight: 1,
    tier: Tier.Standard,
    deadlineAtMs: 60_000,
    waitingSinceMs: 0,
    promptTokens: 200,
    expectedOutputTokens: 50,
    blockHashes: [],
    excluded: [],
    ...changes,
  };
}

/** Creates a dispatch group at time 0 with seeded random numbers. */
export function createGroup(
  specs: readonly ServerSpec[],
  strategy: SchedulingStrategy = createStrategy(StrategyName.Dispatcher),
): GroupScheduler {
  const random = new SeededRandom(42);
  const nextFraction = (): number => random.nextFraction();
  const group = new GroupScheduler({ strategy, isPlain: false, nowMs: 0, nextFraction });
  group.updateServers(specs, 0);
  return group;
}
