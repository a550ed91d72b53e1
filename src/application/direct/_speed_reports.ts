/**
 * Selection of the speed evidence that goes into a report.
 *
 * @module
 */
import { computeDecay } from '../../domain/backend_servers/mod.js';
import type { SharedSpeed, SpeedSums, SpeedTable } from '../../domain/backend_servers/mod.js';
import { ReportScope } from '../../domain/overlay/mod.js';

/** Time between two rounds with speeds, in milliseconds: almost four report intervals. */
const SPEEDS_INTERVAL_MS = 550;

/** Time between two rounds that tell only of changed speeds: almost a report interval, in ms. */
const CHANGES_INTERVAL_MS = 140;

/** Change of an estimate, as a natural logarithm, that is reported at once. */
const MIN_CHANGE = 0.15;

/** Time within which the reports of one round are sent, in milliseconds. */
const ROUND_MS = 100;

/** Most servers in a report, and in the first one to a peer, which knows none. */
const MAX_REPORTED = 24;
const MAX_FIRST_REPORTED = 512;

/** Lowest weight of evidence that is reported, in samples. */
const MIN_WEIGHT = 0.05;

/** Factor by which evidence must exceed what the receivers have, decayed, to count as new. */
const MIN_GROWTH = 1.02;

/** Age of reported evidence that counts like a change of the speed by a factor of e, in ms. */
const AGE_PER_CHANGE_MS = 5_000;

/** Prompt length at which times to first byte are compared, in tokens. */
const COMPARED_TOKENS = 1_000;

/** Most receivers whose state is kept. */
const MAX_RECEIVERS = 1_024;

/** Which evidence a report contains in addition to that of this entry host. */
export interface SpeedSources {
  readonly scope: ReportScope;
  readonly incarnations: readonly string[];
  /** Incarnation of the process that receives the report. */
  readonly receiver: string;
}

/** What the receivers of a scope were last told of a server. */
interface SentSpeed {
  readonly atMs: number;
  readonly weight: number;
  readonly decodeMsPerToken: number;
  readonly firstByteMs: number;
}

/** Servers that are reported in one round to all receivers of a scope. */
class Selection {
  readonly sent = new Map<number, SentSpeed>();

  keys: readonly number[] = [];

  atMs = Number.NEGATIVE_INFINITY;

  /** When servers were last selected that have not changed, on the monotonic clock in ms. */
  fullAtMs = Number.NEGATIVE_INFINITY;
}

/**
 * Reports the servers whose estimate has changed most, or was reported longest ago, among those with
 * new evidence. What is left out needs no report: its receivers let it decay just as this host does.
 */
export class SpeedReports {
  readonly #table: SpeedTable;

  readonly #selections = new Map<ReportScope, Selection>();

  /** When each receiver was last sent speeds, on the monotonic clock in milliseconds. */
  readonly #sentAtMs = new Map<string, number>();

  /** @param table - evidence of the peers */
  constructor(table: SpeedTable) {
    this.#table = table;
  }

  /** @param receiver - incarnation of a peer's process that is gone */
  forgetReceiver(receiver: string): void {
    this.#sentAtMs.delete(receiver);
  }

  /** @param key - key of a server that has ended */
  forgetServer(key: number): void {
    this.#selections.forEach(({ sent }) => sent.delete(key));
  }

  /**
   * Lists evidence for a report.
   *
   * @param sources - which peers' evidence is added, and who receives the report
   * @param speeds - speeds of the known servers, by key
   * @param nowMs - monotonic time in milliseconds
   * @returns sums by server key; undefined where the report leaves them out
   */
  listReported(
    sources: SpeedSources,
    speeds: ReadonlyMap<number, SharedSpeed>,
    nowMs: number,
  ): Map<number, SpeedSums> | undefined {
    const { receiver } = sources;
    const sentAtMs = this.#sentAtMs.get(receiver);
    const selection = this.#select(sources, speeds, nowMs);
    const isOpen = nowMs - selection.atMs <= ROUND_MS;
    if (sentAtMs !== undefined && (!isOpen || sentAtMs >= selection.atMs)) return undefined;
    if (sentAtMs === undefined && this.#sentAtMs.size >= MAX_RECEIVERS) this.#sentAtMs.clear();
    this.#sentAtMs.set(receiver, nowMs);
    const isFirst = sentAtMs === undefined;
    const keys = isFirst ? [...speeds.keys()].slice(0, MAX_FIRST_REPORTED) : selection.keys;
    const reported = new Map<number, SpeedSums>();
    keys.forEach((key) => {
      const speed = speeds.get(key);
      if (!speed) return;
      const sums = this.#sum(key, speed, sources, nowMs);
      if (sums.sampleCount >= MIN_WEIGHT) reported.set(key, sums);
    });
    return reported.size > 0 ? reported : undefined;
  }

  /**
   * All receivers of a scope are told of the same servers. One round of four tells of any servers,
   * the others only of those whose estimate has changed.
   */
  #select(
    sources: SpeedSources,
    speeds: ReadonlyMap<number, SharedSpeed>,
    nowMs: number,
  ): Selection {
    const selection = this.#selections.get(sources.scope) ?? new Selection();
    this.#selections.set(sources.scope, selection);
    if (nowMs - selection.atMs < CHANGES_INTERVAL_MS) return selection;
    const isFull = nowMs - selection.fullAtMs >= SPEEDS_INTERVAL_MS;
    const scores: { key: number; score: number; sent: SentSpeed }[] = [];
    speeds.forEach((speed, key) => {
      const { sampleCount } = this.#sum(key, speed, { ...sources, receiver: '' }, nowMs);
      const former = selection.sent.get(key);
      const knownWeight = former ? former.weight * computeDecay(nowMs - former.atMs) : 0;
      if (sampleCount < MIN_WEIGHT || sampleCount < knownWeight * MIN_GROWTH) return;
      const sent = describeSpeed(speed, sampleCount, nowMs);
      const change = former ? computeChange(former, sent) : Infinity;
      if (!isFull && change < MIN_CHANGE) return;
      const ageMs = nowMs - (former?.atMs ?? 0);
      scores.push({ key, score: change + ageMs / AGE_PER_CHANGE_MS, sent });
    });
    scores.sort((a, b) => (a.score === b.score ? 0 : b.score - a.score));
    const chosen = scores.slice(0, MAX_REPORTED);
    chosen.forEach(({ key, sent }) => selection.sent.set(key, sent));
    selection.keys = chosen.map(({ key }) => key);
    selection.atMs = nowMs;
    if (isFull) selection.fullAtMs = nowMs;
    return selection;
  }

  #sum(key: number, speed: SharedSpeed, sources: SpeedSources, nowMs: number): SpeedSums {
    const { scope, receiver, incarnations } = sources;
    const own = speed.getOwnEvidence(nowMs);
    return scope === ReportScope.Fleet
      ? own.add(this.#table.sum(key, nowMs, receiver))
      : own.add(this.#table.sumOf(key, nowMs, incarnations));
  }
}

function describeSpeed(speed: SharedSpeed, weight: number, atMs: number): SentSpeed {
  const { decodeMsPerToken } = speed.estimate;
  const firstByteMs = speed.predictFirstByteMs(COMPARED_TOKENS);
  return { atMs, weight, decodeMsPerToken, firstByteMs };
}

function computeChange(former: SentSpeed, current: SentSpeed): number {
  return (
    Math.abs(Math.log(current.decodeMsPerToken / former.decodeMsPerToken)) +
    Math.abs(Math.log((current.firstByteMs + 1) / (former.firstByteMs + 1)))
  );
}
