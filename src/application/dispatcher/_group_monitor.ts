/**
 * Log events and gauges of dispatch groups.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { Tier, TIER_NAMES, TIERS } from '../../domain/scheduling/mod.js';
import type { EventLog, Metrics } from '../../ports/mod.js';
import type { HostedGroup } from './_hosted_group.js';

/** State of a group that is compared to detect changes. */
interface MonitoredState {
  readonly openTier: Tier;
  readonly ejected: readonly string[];
}

const INITIAL_STATE: MonitoredState = { openTier: Tier.Batch, ejected: [] };

/** Logs changes of dispatch groups and sets the groups' gauges. */
export class GroupMonitor {
  readonly #log: EventLog;

  readonly #metrics: Metrics;

  readonly #lastStates = new Map<string, MonitoredState>();

  /**
   * @param log - receives the changes
   * @param metrics - receives gauges and counters
   */
  constructor(log: EventLog, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /**
   * Logs the tiers that closed or reopened and the backend servers that were ejected since the
   * last call.
   *
   * @param group - the group
   * @param nowMs - monotonic time in milliseconds
   */
  logChanges(group: HostedGroup, nowMs: number): void {
    const { scheduler, id } = group;
    const previous = this.#lastStates.get(id) ?? INITIAL_STATE;
    const { openTier } = scheduler;
    const ejected = scheduler.pool.listEjected(nowMs);
    this.#lastStates.set(id, { openTier, ejected });
    if (openTier !== previous.openTier) {
      const event = openTier < previous.openTier ? 'tiers_closed' : 'tier_reopened';
      this.#log.write(LogLevel.Warn, event, { group: id, openTier: TIER_NAMES[openTier] });
    }
    ejected
      .filter((backendServer) => !previous.ejected.includes(backendServer))
      .forEach((backendServer) => {
        this.#metrics.count('backend_server_ejections_total', { backendServer });
        this.#log.write(LogLevel.Warn, 'backend_server_ejected', { group: id, backendServer });
      });
  }

  /**
   * Sets the gauges of a group.
   *
   * @param group - the group
   * @param nowMs - monotonic time in milliseconds
   */
  setGauges({ scheduler, id }: HostedGroup, nowMs: number): void {
    const labels = { group: id };
    TIERS.forEach((tier) =>
      this.#metrics.set('dispatcher_waiting_requests', scheduler.countWaiting(tier), {
        ...labels,
        tier: TIER_NAMES[tier],
      }),
    );
    this.#metrics.set('dispatcher_held_slots', scheduler.pool.heldCount, labels);
    this.#metrics.set('dispatcher_window_slots', scheduler.pool.computeWindow(nowMs), labels);
    this.#metrics.set('dispatcher_open_tier', scheduler.openTier, labels);
  }
}
