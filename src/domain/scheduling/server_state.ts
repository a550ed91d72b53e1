/**
 * A dispatcher's state of one backend server.
 *
 * @module
 */
import { CacheHints } from './cache_hints.js';
import { ConcurrencyWindow } from './concurrency_window.js';
import { PeakMeter } from './_peak_meter.js';
import { ServerSpeed } from './server_speed.js';
import type { ServerWork, NominalSpeed } from './server_speed.js';
import type { ServerHealth } from './outlier_ejection.js';
import type { SlotDemand } from './slot_demand.js';

/** A backend server as described by the configuration and the membership. */
export interface ServerSpec extends NominalSpeed {
  readonly id: string;
  /** Concurrent requests, the initial size of the window. */
  readonly slots: number;
  /** Whether it is draining; a draining backend server gets no new requests. */
  readonly isLeaving: boolean;
}

/** What the use of a slot shows about the backend server. */
export enum ServerVerdict {
  /** It answered. */
  Healthy = 'healthy',
  /** It refused the request or was unreachable; nothing ran. */
  Refusing = 'refusing',
  /** Its answer broke off or never came. */
  Failing = 'failing',
  /** Nothing: the slot was not used, or its owner gave it up. */
  Unknown = 'unknown',
}

/** How a slot was used. */
export interface SlotResult {
  readonly verdict: ServerVerdict;
  /** Time from dispatch to the first byte of the answer, in milliseconds; 0 if there was none. */
  readonly firstByteMs: number;
  /** Time from dispatch to the end, in milliseconds. */
  readonly totalMs: number;
  readonly outputTokens: number;
}

/** A slot held by a grant. */
export interface HeldSlot {
  readonly grantId: number;
  readonly demand: SlotDemand;
  readonly serverId: string;
  readonly grantedAtMs: number;
  /** Predicted time that the slot is held, in milliseconds. */
  readonly workMs: number;
  /** Predicted time on an average backend server of the group, in milliseconds. */
  readonly meanWorkMs: number;
  readonly work: ServerWork;
}

/** Time after which a load report expires, in milliseconds. */
const LOAD_REPORT_TTL_MS = 3_000;

/** Largest overdue factor that one request contributes. */
const MAX_OVERDUE_FACTOR = 20;

/** Fewest output tokens from which a time for each token is computed. */
const MIN_PER_TOKEN_SAMPLE_TOKENS = 4;

/** State of one backend server of a dispatch group. */
export class ServerState {
  readonly window: ConcurrencyWindow;

  readonly speed: ServerSpeed;

  readonly hints = new CacheHints();

  readonly held = new Map<number, HeldSlot>();

  readonly #peak = new PeakMeter();

  /** Last computed overdue factor; a single grant reads it many times. */
  #overdueCache = { atMs: Number.NaN, held: 0, value: 1 };

  #outstandingMs = 0;

  #consecutiveFailures = 0;

  #samples = 0;

  #loadReport: { readonly load: number; readonly atMs: number } | undefined;

  /** Whether the backend server itself reports that it is draining. */
  #isReportedDraining = false;

  /**
   * @param spec - description of the backend server
   * @param isPlain - whether it belongs to a plain service
   */
  constructor(
    public spec: ServerSpec,
    isPlain: boolean,
  ) {
    this.window = new ConcurrencyWindow(spec.slots);
    this.speed = new ServerSpeed(spec, isPlain);
  }

  /** Whether it is draining, by configuration, membership or its own report. */
  get isLeaving(): boolean {
    return this.spec.isLeaving || this.#isReportedDraining;
  }

  /** Requests according to its last report, however old; 0 before the first report. */
  get reportedLoad(): number {
    return this.#loadReport?.load ?? 0;
  }

  /** Predicted work of the held slots, in milliseconds. */
  get outstandingMs(): number {
    return this.#outstandingMs;
  }

  /** @returns its health, for outlier ejection */
  getHealth(): ServerHealth {
    return {
      id: this.spec.id,
      consecutiveFailures: this.#consecutiveFailures,
      slowdown: this.speed.computeSlowdown(),
      samples: this.#samples,
    };
  }

  /**
   * Resets the health and begins a slow start after an ejection or an absence.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  reset(nowMs: number): void {
    this.#consecutiveFailures = 0;
    this.#samples = 0;
    this.window.beginSlowStart(nowMs);
  }

  /**
   * Records the backend server's own load report, which lags.
   *
   * @param load - running and waiting requests there
   * @param isReportedDraining - whether the server reports that it is draining
   * @param nowMs - monotonic time in milliseconds
   */
  recordLoadReport(load: number, isReportedDraining: boolean, nowMs: number): void {
    if (this.#isReportedDraining && !isReportedDraining) this.reset(nowMs);
    this.#isReportedDraining = isReportedDraining;
    this.#loadReport = { load, atMs: nowMs };
  }

  /**
   * Predicts the load from other dispatchers. Only load above the recent peak
   * of slots held here counts: a report lags, and could otherwise mistake this
   * dispatcher's own finished requests for foreign load.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns requests; 0 without a recent report
   */
  predictForeignLoad(nowMs: number): number {
    if (!this.#loadReport || nowMs - this.#loadReport.atMs > LOAD_REPORT_TTL_MS) return 0;
    return Math.max(0, this.#loadReport.load - this.#peak.getPeak(this.held.size, nowMs));
  }

  /** @param demand - a request. @param nowMs - monotonic time. @returns its work on this server */
  predictWork(demand: SlotDemand, nowMs: number): ServerWork {
    const cachedTokens = this.hints.predictCachedTokens(demand.blockHashes, nowMs);
    return {
      prefillTokens: Math.max(0, demand.promptTokens - cachedTokens),
      outputTokens: demand.expectedOutputTokens,
    };
  }

  /**
   * Computes how far the requests held here exceed their predicted times. A
   * backend server that becomes slow finishes no requests for a while, so its
   * measured speed reacts too late; the age of its requests reacts at once.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns 1 if no request is overdue, at most 20
   */
  computeOverdueFactor(nowMs: number): number {
    if (this.held.size === 0) return 1;
    if (this.#overdueCache.atMs === nowMs && this.#overdueCache.held === this.held.size)
      return this.#overdueCache.value;
    const value = this.#sumOverdueFactors(nowMs) / this.held.size;
    this.#overdueCache = { atMs: nowMs, held: this.held.size, value };
    return value;
  }

  #sumOverdueFactors(nowMs: number): number {
    let sum = 0;
    this.held.forEach((slot) => {
      sum += Math.min(MAX_OVERDUE_FACTOR, Math.max(1, (nowMs - slot.grantedAtMs) / slot.workMs));
    });
    return sum;
  }

  /** @param slot - a newly granted slot */
  acquire(slot: HeldSlot): void {
    this.held.set(slot.grantId, slot);
    this.#outstandingMs += slot.workMs;
    this.#peak.observe(this.held.size, slot.grantedAtMs);
    const firstByteMs = this.speed.predictFirstByteMs(slot.work.prefillTokens);
    const readyAtMs = slot.grantedAtMs + firstByteMs;
    this.hints.recordPrefill(slot.demand.blockHashes, readyAtMs, slot.grantedAtMs);
  }

  /**
   * Releases a slot and learns from its use.
   *
   * @param slot - the slot
   * @param result - how the slot was used
   * @param nowMs - monotonic time in milliseconds
   */
  release(slot: HeldSlot, result: SlotResult, nowMs: number): void {
    const inFlight = this.held.size;
    if (!this.held.delete(slot.grantId)) return;
    this.#outstandingMs = this.held.size === 0 ? 0 : this.#outstandingMs - slot.workMs;
    if (result.verdict === ServerVerdict.Healthy) this.#learn(slot, result, inFlight, nowMs);
    if (result.verdict === ServerVerdict.Refusing) this.window.recordRefusal(nowMs);
    if (result.verdict === ServerVerdict.Refusing || result.verdict === ServerVerdict.Failing)
      this.#consecutiveFailures += 1;
  }

  #learn(slot: HeldSlot, result: SlotResult, inFlight: number, nowMs: number): void {
    this.#consecutiveFailures = 0;
    this.#samples += 1;
    const { firstByteMs, totalMs, outputTokens } = result;
    this.speed.observe({
      prefillTokens: slot.work.prefillTokens,
      outputTokens,
      firstByteMs,
      totalMs,
    });
    const hasEnoughTokens = !this.speed.isPlain && outputTokens >= MIN_PER_TOKEN_SAMPLE_TOKENS;
    this.window.observe(
      {
        firstByteRatio: firstByteMs / this.speed.getNominalFirstByteMs(slot.work.prefillTokens),
        perTokenMs: hasEnoughTokens ? Math.max(0, totalMs - firstByteMs) / outputTokens : 0,
        inFlight,
      },
      nowMs,
    );
  }
}
