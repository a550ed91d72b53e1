/**
 * Evidence of server speeds that peers report, and its sums.
 *
 * @module
 */
import { clampSums, computeDecay, EVIDENCE_HALF_LIFE_MS, SpeedSums } from './speed_evidence.js';
import type { SpeedEstimate } from '../scheduling/server_speed.js';

/** Time after which times are counted from a new origin, in milliseconds. */
const REBASE_MS = 60 * EVIDENCE_HALF_LIFE_MS;

/** Most servers that one peer may report. */
const MAX_SERVERS_PER_SOURCE = 2_048;

/** Weight below which evidence is dropped, in samples. */
const NEGLIGIBLE_WEIGHT = 0.01;

/** Evidence of one peer. */
export interface ReportedSpeeds {
  /** Number of hosts that the evidence is from. */
  readonly hostCount: number;
  /** Sums by server key, decayed until they were sent. */
  readonly sums: ReadonlyMap<number, SpeedSums>;
}

/**
 * Keeps the newest evidence of each peer process about each server. A server that a report leaves
 * out keeps its former evidence, which decays. All sums are kept as if their samples had been taken at
 * one time, the origin, so that the total changes only with reports and not with time.
 */
export class SpeedTable {
  readonly #bySource = new Map<string, Map<number, SpeedSums>>();

  readonly #totals = new Map<number, SpeedSums>();

  #originMs = 0;

  /**
   * Replaces evidence of a peer process.
   *
   * @param source - incarnation of the peer's process
   * @param reported - its evidence
   * @param nowMs - monotonic time in milliseconds
   * @param findEstimate - gives what this host estimates; undefined for an unknown server
   */
  apply(
    source: string,
    { hostCount, sums }: ReportedSpeeds,
    nowMs: number,
    findEstimate: (key: number) => SpeedEstimate | undefined,
  ): void {
    this.#rebase(nowMs);
    const entries = this.#bySource.get(source) ?? new Map<number, SpeedSums>();
    this.#bySource.set(source, entries);
    sums.forEach((reported, key) => {
      const former = entries.get(key);
      if (!former && entries.size >= MAX_SERVERS_PER_SOURCE) return;
      const total = this.#totals.get(key) ?? new SpeedSums();
      if (former) total.add(former, -1);
      const decay = this.#computeDecay(nowMs);
      const others = new SpeedSums().add(total, decay);
      const estimate = findEstimate(key);
      const accepted = estimate ? clampSums(reported, others, estimate, hostCount) : reported;
      const entry = new SpeedSums().add(accepted, 1 / decay);
      entries.set(key, entry);
      this.#totals.set(key, total.add(entry));
    });
  }

  /** @param source - incarnation of a peer's process that is gone or no longer counts */
  forget(source: string): void {
    this.#bySource.get(source)?.forEach((entry, key) => this.#totals.get(key)?.add(entry, -1));
    this.#bySource.delete(source);
  }

  /**
   * Adds up the evidence of all peers.
   *
   * @param key - key of a server
   * @param nowMs - monotonic time in milliseconds
   * @param excluded - incarnation of a peer to leave out
   * @returns the sums, decayed until now
   */
  sum(key: number, nowMs: number, excluded?: string): SpeedSums {
    const sums = new SpeedSums();
    const total = this.#totals.get(key);
    if (!total) return sums;
    const decay = this.#computeDecay(nowMs);
    sums.add(total, decay);
    const left = excluded === undefined ? undefined : this.#bySource.get(excluded)?.get(key);
    return left ? sums.add(left, -decay) : sums;
  }

  /**
   * Adds up the evidence of some peers.
   *
   * @param key - key of a server
   * @param nowMs - monotonic time in milliseconds
   * @param sources - incarnations of the peers
   * @returns the sums, decayed until now
   */
  sumOf(key: number, nowMs: number, sources: readonly string[]): SpeedSums {
    const sums = new SpeedSums();
    const decay = this.#computeDecay(nowMs);
    sources.forEach((source) => {
      const entry = this.#bySource.get(source)?.get(key);
      if (entry) sums.add(entry, decay);
    });
    return sums;
  }

  /** @param key - key of a server. @returns number of peers whose reports hold evidence of it */
  countSources(key: number): number {
    return [...this.#bySource.values()].filter((entries) => entries.has(key)).length;
  }

  #computeDecay(nowMs: number): number {
    return computeDecay(nowMs - this.#originMs);
  }

  /** Counts from now on, which keeps numbers small; drops what has decayed, and rounding errors. */
  #rebase(nowMs: number): void {
    if (nowMs - this.#originMs < REBASE_MS) return;
    const decay = this.#computeDecay(nowMs);
    this.#originMs = nowMs;
    this.#totals.clear();
    this.#bySource.forEach((entries) =>
      entries.forEach((entry, key) => {
        const rebased = new SpeedSums().add(entry, decay);
        if (rebased.sampleCount < NEGLIGIBLE_WEIGHT) {
          entries.delete(key);
          return;
        }
        entries.set(key, rebased);
        this.#totals.set(key, (this.#totals.get(key) ?? new SpeedSums()).add(rebased));
      }),
    );
  }
}
