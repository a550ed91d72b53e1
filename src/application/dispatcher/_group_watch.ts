/**
 * What operators are told of a dispatch group as it goes on.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import { Tier, TIER_NAMES, TIERS } from '../../domain/scheduling/mod.js';
import type { EventLog, Metrics } from '../../ports/mod.js';
import type { HeldGroup } from './_held_group.js';

/** What was last told of a group. */
interface Noted {
  readonly openTier: Tier;
  readonly ejected: readonly string[];
}

const NOTHING_NOTED: Noted = { openTier: Tier.Batch, ejected: [] };

/** Logs changes of a group and sets its gauges. */
export class GroupWatch {
  readonly #log: EventLog;

  readonly #metrics: Metrics;

  readonly #noted = new Map<string, Noted>();

  /**
   * @param log - where changes go
   * @param metrics - where gauges are set
   */
  constructor(log: EventLog, metrics: Metrics) {
    this.#log = log;
    this.#metrics = metrics;
  }

  /**
   * Tells what has changed since the last call.
   *
   * @param group - the group
   * @param nowMs - monotonic time in milliseconds
   */
  note(group: HeldGroup, nowMs: number): void {
    const { scheduler, id } = group;
    const before = this.#noted.get(id) ?? NOTHING_NOTED;
    const { openTier } = scheduler;
    const ejected = scheduler.pool.listEjected(nowMs);
    this.#noted.set(id, { openTier, ejected });
    if (openTier !== before.openTier) {
      const event = openTier < before.openTier ? 'tiers_closed' : 'tier_reopened';
      this.#log.write(LogLevel.Warn, event, { group: id, openTier: TIER_NAMES[openTier] });
    }
    ejected
      .filter((backendServer) => !before.ejected.includes(backendServer))
      .forEach((backendServer) => {
        this.#metrics.count('backend_server_ejections_total', { backendServer });
        this.#log.write(LogLevel.Warn, 'backend_server_ejected', { group: id, backendServer });
      });
  }

  /**
   * Sets a group's gauges.
   *
   * @param group - the group
   * @param nowMs - monotonic time in milliseconds
   */
  record({ scheduler, id }: HeldGroup, nowMs: number): void {
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
