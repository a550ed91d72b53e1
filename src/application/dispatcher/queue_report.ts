/**
 * Reports of dispatch groups for operators.
 *
 * @module
 */
import { TIER_NAMES, TIERS } from '../../domain/scheduling/mod.js';
import type { SchedulingStrategy, StrategyName } from '../../domain/scheduling/mod.js';
import type { HostedGroup } from './_hosted_group.js';

/** One backend server of a reported group. */
export interface ServerReport {
  readonly id: string;
  /** Slots that are granted and not yet released. */
  readonly running: number;
  /** Current size of the concurrency window, in slots. */
  readonly window: number;
  /** Whether it is draining. */
  readonly leaving: boolean;
  /** Running and waiting requests by its own last load report. */
  readonly reportedLoad: number;
  /** Factor by which it is slower than the nominal speed of its engine kind. */
  readonly slowdown: number;
}

/** Report of a group that this entry host dispatches for. */
export interface QueueReport {
  readonly groupId: string;
  readonly strategy: StrategyName;
  /** Whether this entry host is responsible for the group by its own membership view. */
  readonly responsible: boolean;
  /** Queued requests by tier name. */
  readonly queued: Readonly<Record<string, number>>;
  /** Slots that are granted and not yet released, over all backend servers. */
  readonly running: number;
  /** Sum of the concurrency windows, in slots. */
  readonly window: number;
  /** Name of the lowest open tier. */
  readonly openTier: string;
  /** IDs of the backend servers that are currently ejected as outliers. */
  readonly ejected: readonly string[];
  readonly backendServers: readonly ServerReport[];
}

/**
 * Builds the report of a group.
 *
 * @param group - the group
 * @param strategy - the scheduling strategy in use
 * @param nowMs - monotonic time in milliseconds
 * @returns the report, ready for JSON
 */
export function buildQueueReport(
  group: HostedGroup,
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
