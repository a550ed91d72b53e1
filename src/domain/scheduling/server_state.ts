/**
 * What a dispatcher knows of one backend server.
 *
 * @module
 */
import { CacheHints } from './cache_hints.js';
import { ConcurrencyWindow } from './concurrency_window.js';
import { PeakMeter } from './_peak_meter.js';
import { ServerSpeed } from './server_speed.js';
import type { ServerWork, StartingSpeed } from './server_speed.js';
import type { ServerHealth } from './outlier_ejection.js';
import type { SlotDemand } from './slot_demand.js';

/** A backend server as the configuration and the membership name it. */
export interface ServerSpec extends StartingSpeed {
  readonly id: string;
  /** Concurrent requests that its window starts from. */
  readonly slots: number;
  /** Leaving backend servers get nothing new. */
  readonly isLeaving: boolean;
}

/** What the use of a slot says of the backend server. */
export enum ServerVerdict {
  /** It answered. */
  Healthy = 'healthy',
  /** It refused, or could not be reached; nothing ran. */
  Refusing = 'refusing',
  /** Its answer broke off or never came. */
  Failing = 'failing',
  /** Nothing: the slot was not used, or was given up by the owner. */
  Unknown = 'unknown',
}

/** How a slot was used. */
export interface SlotResult {
  readonly verdict: ServerVerdict;
  /** Hand-over to the first byte of the answer, in milliseconds; 0 if none came. */
  readonly firstByteMs: number;
  /** Hand-over to the end, in milliseconds. */
  readonly totalMs: number;
  readonly outputTokens: number;
}

/** A slot that is held. */
export interface HeldSlot {
  readonly grantId: number;
  readonly demand: SlotDemand;
  readonly serverId: string;
  readonly grantedAtMs: number;
  /** Predicted time that it is held here, in milliseconds. */
  readonly workMs: number;
  /** Predicted time on an average backend server of the group, in milliseconds. */
  readonly meanWorkMs: number;
  readonly work: ServerWork;
}

/** A load report is worth nothing after this time, in milliseconds. */
const LOAD_VALID_MS = 3_000;

/** Most that running over its predicted time counts against a backend server. */
const MAX_OVERDUE = 20;

/** Fewest output tokens that a time for each token may rest on. */
const MIN_PER_TOKEN_SAMPLE = 4;

/** One backend server of a dispatch group. */
export class ServerState {
  readonly window: ConcurrencyWindow;

  readonly speed: ServerSpeed;

  readonly hints = new CacheHints();

  readonly held = new Map<number, HeldSlot>();

  readonly #peak = new PeakMeter();

  /** The last computed value; one grant asks for it many times. */
  #overdue = { atMs: Number.NaN, held: 0, value: 1 };

  #outstandingMs = 0;

  #failuresInRow = 0;

  #samples = 0;

  #reported: { readonly load: number; readonly atMs: number } | undefined;

  /** Told by the backend server itself. */
  #saysLeaving = false;

  /**
   * @param spec - how it is configured
   * @param isPlain - whether it belongs to a plain service
   */
  constructor(
    public spec: ServerSpec,
    isPlain: boolean,
  ) {
    this.window = new ConcurrencyWindow(spec.slots);
    this.speed = new ServerSpeed(spec, isPlain);
  }

  /** Whether it gets nothing new, by any source. */
  get isLeaving(): boolean {
    return this.spec.isLeaving || this.#saysLeaving;
  }

  /** Requests there by its last report, however old; 0 before the first. */
  get reportedLoad(): number {
    return this.#reported?.load ?? 0;
  }

  /** Predicted work that is held there, in milliseconds. */
  get outstandingMs(): number {
    return this.#outstandingMs;
  }

  /** @returns how it does, for ejection */
  getHealth(): ServerHealth {
    return {
      id: this.spec.id,
      failuresInRow: this.#failuresInRow,
      slowdown: this.speed.computeSlowdown(),
      samples: this.#samples,
    };
  }

  /**
   * Begins anew after an ejection or an absence.
   *
   * @param nowMs - monotonic time in milliseconds
   */
  startOver(nowMs: number): void {
    this.#failuresInRow = 0;
    this.#samples = 0;
    this.window.startSlowly(nowMs);
  }

  /**
   * Takes in its own report, which lags.
   *
   * @param load - running and waiting requests there
   * @param saysLeaving - whether it says that it leaves
   * @param nowMs - monotonic time in milliseconds
   */
  noteLoad(load: number, saysLeaving: boolean, nowMs: number): void {
    if (this.#saysLeaving && !saysLeaving) this.startOver(nowMs);
    this.#saysLeaving = saysLeaving;
    this.#reported = { load, atMs: nowMs };
  }

  /**
   * Predicts the load that others put there. Only what goes beyond the most that
   * was held here lately counts: a report lags, and would else take our own
   * requests of a moment ago for somebody else's.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns requests, 0 when there is no recent report
   */
  predictForeignLoad(nowMs: number): number {
    if (!this.#reported || nowMs - this.#reported.atMs > LOAD_VALID_MS) return 0;
    return Math.max(0, this.#reported.load - this.#peak.getPeak(this.held.size, nowMs));
  }

  /** @param demand - a request. @param nowMs - monotonic time. @returns its work here */
  predictWork(demand: SlotDemand, nowMs: number): ServerWork {
    const cached = this.hints.predictCachedTokens(demand.blockHashes, nowMs);
    return {
      prefillTokens: Math.max(0, demand.promptTokens - cached),
      outputTokens: demand.expectedOutputTokens,
    };
  }

  /**
   * Computes how far the requests held here run over their predicted times. A
   * backend server that has become slow ends no requests for a while, so its
   * measured speed tells of it too late; their age tells at once.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns 1 when none is overdue, at most 20
   */
  computeOverdue(nowMs: number): number {
    if (this.held.size === 0) return 1;
    if (this.#overdue.atMs === nowMs && this.#overdue.held === this.held.size)
      return this.#overdue.value;
    const value = this.#sumOverdue(nowMs) / this.held.size;
    this.#overdue = { atMs: nowMs, held: this.held.size, value };
    return value;
  }

  #sumOverdue(nowMs: number): number {
    let sum = 0;
    this.held.forEach((slot) => {
      sum += Math.min(MAX_OVERDUE, Math.max(1, (nowMs - slot.grantedAtMs) / slot.workMs));
    });
    return sum;
  }

  /** @param slot - a slot that is held from now on */
  acquire(slot: HeldSlot): void {
    this.held.set(slot.grantId, slot);
    this.#outstandingMs += slot.workMs;
    this.#peak.observe(this.held.size, slot.grantedAtMs);
    const firstByteMs = this.speed.predictFirstByteMs(slot.work.prefillTokens);
    const readyAtMs = slot.grantedAtMs + firstByteMs;
    this.hints.noteStarted(slot.demand.blockHashes, readyAtMs, slot.grantedAtMs);
  }

  /**
   * Gives a slot back and learns from its use.
   *
   * @param slot - the slot
   * @param result - how it was used
   * @param nowMs - monotonic time in milliseconds
   */
  release(slot: HeldSlot, result: SlotResult, nowMs: number): void {
    const inFlight = this.held.size;
    if (!this.held.delete(slot.grantId)) return;
    this.#outstandingMs = this.held.size === 0 ? 0 : this.#outstandingMs - slot.workMs;
    if (result.verdict === ServerVerdict.Healthy) this.#learn(slot, result, inFlight, nowMs);
    if (result.verdict === ServerVerdict.Refusing) this.window.noteRefusal(nowMs);
    if (result.verdict === ServerVerdict.Refusing || result.verdict === ServerVerdict.Failing)
      this.#failuresInRow += 1;
  }

  #learn(slot: HeldSlot, result: SlotResult, inFlight: number, nowMs: number): void {
    this.#failuresInRow = 0;
    this.#samples += 1;
    const { firstByteMs, totalMs, outputTokens } = result;
    this.speed.observe({
      prefillTokens: slot.work.prefillTokens,
      outputTokens,
      firstByteMs,
      totalMs,
    });
    const canTellTokens = !this.speed.isPlain && outputTokens >= MIN_PER_TOKEN_SAMPLE;
    this.window.observe(
      {
        firstByteStretch: firstByteMs / this.speed.getStartFirstByteMs(slot.work.prefillTokens),
        perTokenMs: canTellTokens ? Math.max(0, totalMs - firstByteMs) / outputTokens : 0,
        inFlight,
      },
      nowMs,
    );
  }
}
