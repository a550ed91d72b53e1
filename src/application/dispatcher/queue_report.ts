/**
 * What operators see of a dispatch group.
 *
 * @module
 */
import { TIER_NAMES, TIERS } from '../../domain/scheduling/mod.js';
import type { SchedulingStrategy, StrategyName } from '../../domain/scheduling/mod.js';
import type { HeldGroup } from './_held_group.js';

/** One backend server of a reported group. */
export interface ServerReport {
  readonly id: string;
  readonly running: number;
  readonly window: number;
  readonly leaving: boolean;
  /** Requests there by its own last report. */
  readonly reportedLoad: number;
  /** How much slower it is than its engine kind says. */
  readonly slowdown: number;
}

/** One group that is dispatched from this entry host. */
export interface QueueReport {
  readonly groupId: string;
  readonly strategy: StrategyName;
  /** Whether this entry host believes that it is responsible for the group. */
  readonly responsible: boolean;
  /** Waiting requests by tier name. */
  readonly queued: Readonly<Record<string, number>>;
  readonly running: number;
  readonly window: number;
  /** Name of the lowest open tier. */
  readonly openTier: string;
  /** Backend servers that are ejected now. */
  readonly ejected: readonly string[];
  readonly backendServers: readonly ServerReport[];
}

/**
 * Builds a group's report.
 *
 * @param group - the group
 * @param strategy - how it is scheduled
 * @param nowMs - monotonic time in milliseconds
 * @returns the report, ready for JSON
 */
export function buildQueueReport(
  group: HeldGroup,
  strategy: SchedulingStrategy,
  nowMs: number,
): QueueReport {
  const { scheduler } = group;
  const queued = TIERS.map((tier) => [TIER_NAMES[tier], scheduler.countWaiting(tier)] as const);
  return {
    groupId: group.id,
    strategy: strategy.name,
    responsible: group.isResponsible,
    queued: Object.fromEntries(queued),
    running: scheduler.pool.heldCount,
    window: scheduler.pool.computeWindow(nowMs),
    openTier: TIER_NAMES[scheduler.openTier],
    ejected: scheduler.pool.listEjected(nowMs),
    backendServers: scheduler.pool.listServers().map((server) => ({
      id: server.spec.id,
      running: server.held.size,
      window: server.window.getSize(nowMs),
      leaving: server.isLeaving,
      reportedLoad: server.reportedLoad,
      slowdown: Math.round(server.speed.computeSlowdown() * 100) / 100,
    })),
  };
}
