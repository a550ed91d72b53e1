/**
 * Exchange of speed evidence with the peers, and what it means for the loads of the servers.
 *
 * @module
 */
import {
  computeMedianSpeed,
  decodeSpeeds,
  encodeSpeeds,
  hashIncarnation,
  SpeedTable,
} from '../../domain/backend_servers/mod.js';
import type { ServerLoad, SharedSpeed, SpeedEstimate } from '../../domain/backend_servers/mod.js';
import type { Clock } from '../../ports/mod.js';
import { SpeedReports } from './_speed_reports.js';
import type { SpeedSources } from './_speed_reports.js';

/** Shortest time between two updates of the estimates, in milliseconds. */
const UPDATE_INTERVAL_MS = 100;

/** Time between two computations of the median speed of a service, in milliseconds. */
const MEDIAN_INTERVAL_MS = 1_000;

/** Speed of one server incarnation. */
interface TrackedSpeed {
  readonly key: number;
  readonly serviceId: string;
  readonly speed: SharedSpeed;
}

/** Part of a peer's report that tells of speeds. */
export interface SpeedStats {
  readonly hostCount: number;
  readonly speeds?: readonly number[] | undefined;
}

/** Estimates the speeds of all servers from own answers and from the reports of peers. */
export class ServerSpeeds {
  readonly #clock: Clock;

  readonly #table = new SpeedTable();

  readonly #tracked = new Map<string, TrackedSpeed>();

  readonly #speedsByKey = new Map<number, SharedSpeed>();

  readonly #medians = new Map<string, SpeedEstimate>();

  readonly #reports: SpeedReports;

  #updatedAtMs = Number.NEGATIVE_INFINITY;

  #mediansAtMs = Number.NEGATIVE_INFINITY;

  /** @param clock - provides monotonic time */
  constructor(clock: Clock) {
    this.#clock = clock;
    this.#reports = new SpeedReports(this.#table);
  }

  /**
   * Begins to track a server incarnation, which starts from the median of its service.
   *
   * @param id - the incarnation
   * @param serviceId - its service
   * @param load - its load
   */
  add(id: string, serviceId: string, { speed }: ServerLoad): void {
    const key = hashIncarnation(id);
    this.#tracked.set(id, { key, serviceId, speed });
    this.#speedsByKey.set(key, speed);
    const median = this.#medians.get(serviceId);
    if (median) speed.setStart(median);
    const nowMs = this.#clock.nowMs();
    speed.update(this.#table.sum(key, nowMs), nowMs);
  }

  /** @param id - an incarnation that has ended */
  delete(id: string): void {
    const tracked = this.#tracked.get(id);
    if (!tracked) return;
    this.#tracked.delete(id);
    this.#speedsByKey.delete(tracked.key);
    this.#reports.forgetServer(tracked.key);
  }

  /**
   * Takes in a peer's report.
   *
   * @param source - incarnation of the peer's process
   * @param stats - its report; undefined when it is gone
   */
  applyReport(source: string, stats: SpeedStats | undefined): void {
    const nowMs = this.#clock.nowMs();
    if (!stats) {
      this.#table.forget(source);
      this.#reports.forgetReceiver(source);
    } else if (stats.speeds) {
      const reported = { hostCount: stats.hostCount, sums: decodeSpeeds(stats.speeds) };
      this.#table.apply(source, reported, nowMs, (key) => this.#findEstimate(key));
    }
    if (nowMs - this.#updatedAtMs >= UPDATE_INTERVAL_MS) this.#update(nowMs);
  }

  /**
   * Lists evidence for a report.
   *
   * @param sources - which peers' evidence is added, and who receives the report
   * @returns encoded evidence; undefined where the report leaves it out
   */
  listReported(sources: SpeedSources): readonly number[] | undefined {
    const speeds = this.#reports.listReported(sources, this.#speedsByKey, this.#clock.nowMs());
    return speeds && encodeSpeeds(speeds);
  }

  #findEstimate(key: number): SpeedEstimate | undefined {
    const speed = this.#speedsByKey.get(key);
    return speed?.isKnown ? speed.estimate : undefined;
  }

  #update(nowMs: number): void {
    this.#updatedAtMs = nowMs;
    this.#tracked.forEach(({ key, speed }) => speed.update(this.#table.sum(key, nowMs), nowMs));
    if (nowMs - this.#mediansAtMs >= MEDIAN_INTERVAL_MS) this.#updateMedians(nowMs);
  }

  #updateMedians(nowMs: number): void {
    this.#mediansAtMs = nowMs;
    this.#medians.clear();
    const tracked = [...this.#tracked.values()];
    const known = tracked.filter(({ speed }) => speed.isKnown);
    [...new Set(known.map(({ serviceId }) => serviceId))].forEach((serviceId) => {
      const ofService = known.filter((other) => other.serviceId === serviceId);
      const estimates = ofService.map(({ speed }) => speed.estimate);
      this.#medians.set(serviceId, computeMedianSpeed(estimates));
    });
    tracked.forEach(({ serviceId, speed }) => {
      const median = this.#medians.get(serviceId);
      if (median) speed.setStart(median);
    });
  }
}
