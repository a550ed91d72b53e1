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
import type { Clock, EventLog } from '../../ports/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import { SpeedReports } from './_speed_reports.js';
import type { SpeedSources } from './_speed_reports.js';

/** Shortest time between two updates of the estimates, in milliseconds. */
const UPDATE_INTERVAL_MS = 100;

/** Time between two reviews of the speeds of a service, in milliseconds. */
const REVIEW_INTERVAL_MS = 1_000;

/** Request by which servers are compared, in tokens. */
const TYPICAL_PROMPT_TOKENS = 1_000;
const TYPICAL_OUTPUT_TOKENS = 200;

/** Weight of the evidence of a server that is in use, in samples. */
const MIN_USED_WEIGHT = 1;

/** Factor by which an estimate differs from the logged one before it is logged again. */
const LOGGED_FACTOR = 2;

/** Largest number of servers whose speed is logged in one review. */
const MAX_LOGGED = 20;

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

  readonly #log: EventLog;

  readonly #table = new SpeedTable();

  readonly #tracked = new Map<string, TrackedSpeed>();

  readonly #speedsByKey = new Map<number, SharedSpeed>();

  /** Time of a typical request when it was last logged, by server, in milliseconds. */
  readonly #loggedMs = new Map<string, number>();

  readonly #medians = new Map<string, SpeedEstimate>();

  readonly #reports: SpeedReports;

  #updatedAtMs = Number.NEGATIVE_INFINITY;

  #reviewedAtMs = Number.NEGATIVE_INFINITY;

  /** @param clock - provides monotonic time. @param log - where changes of speeds are logged */
  constructor(clock: Clock, log: EventLog) {
    this.#clock = clock;
    this.#log = log;
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
    this.#loggedMs.delete(id);
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
    if (nowMs - this.#reviewedAtMs >= REVIEW_INTERVAL_MS) this.#reviewServices(nowMs);
  }

  #reviewServices(nowMs: number): void {
    const elapsedMs = Math.min(nowMs - this.#reviewedAtMs, 2 * REVIEW_INTERVAL_MS);
    this.#reviewedAtMs = nowMs;
    this.#medians.clear();
    const byService = new Map<string, SharedSpeed[]>();
    this.#tracked.forEach(({ serviceId, speed }) => {
      const speeds = byService.get(serviceId);
      if (speeds) speeds.push(speed);
      else byService.set(serviceId, [speed]);
    });
    byService.forEach((speeds, serviceId) => this.#reviewService(serviceId, speeds, elapsedMs));
    this.#logChanges(nowMs);
  }

  /** Logs servers whose typical request takes twice or half as long as when they were last logged. */
  #logChanges(nowMs: number): void {
    let left = MAX_LOGGED;
    this.#tracked.forEach(({ key, speed }, backendServer) => {
      const loggedMs = this.#loggedMs.get(backendServer) ?? 0;
      if (!speed.isKnown) return;
      const typicalMs = predictTypicalMs(speed);
      const ratio = typicalMs / Math.max(loggedMs, 1);
      const hasChanged = ratio >= LOGGED_FACTOR || ratio <= 1 / LOGGED_FACTOR;
      if (loggedMs > 0 && (!hasChanged || left === 0)) return;
      this.#loggedMs.set(backendServer, typicalMs);
      if (loggedMs === 0) return;
      left -= 1;
      this.#log.write(LogLevel.Info, 'backend_server_speed_changed', {
        backendServer,
        typicalMs: Math.round(typicalMs),
        formerMs: Math.round(loggedMs),
        evidence: Math.round(speed.evidenceWeight * 10) / 10,
        evidenceAgeMs: Math.round(nowMs - speed.evidenceAtMs),
        ownSamples: speed.sampleCount,
        reportingPeers: this.#table.countSources(key),
      });
    });
  }

  #reviewService(serviceId: string, speeds: readonly SharedSpeed[], elapsedMs: number): void {
    const known = speeds.filter(({ isKnown }) => isKnown);
    if (known.length === 0) return;
    const median = computeMedianSpeed(known.map(({ estimate }) => estimate));
    this.#medians.set(serviceId, median);
    const best = findFastest(speeds);
    speeds.forEach((speed) => {
      speed.setStart(median);
      if (best) speed.relax(best.estimate, elapsedMs);
    });
  }
}

function predictTypicalMs(speed: SharedSpeed): number {
  const firstByteMs = speed.predictFirstByteMs(TYPICAL_PROMPT_TOKENS);
  return speed.isPlain
    ? firstByteMs
    : firstByteMs + TYPICAL_OUTPUT_TOKENS * speed.estimate.decodeMsPerToken;
}

/** Finds the fastest server that is in use; where none is, no server has to be tried again. */
function findFastest(speeds: readonly SharedSpeed[]): SharedSpeed | undefined {
  let fastest: SharedSpeed | undefined;
  let shortestMs = Infinity;
  speeds.forEach((speed) => {
    const typicalMs = predictTypicalMs(speed);
    if (speed.evidenceWeight < MIN_USED_WEIGHT || typicalMs >= shortestMs) return;
    fastest = speed;
    shortestMs = typicalMs;
  });
  return fastest;
}
