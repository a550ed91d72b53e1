/**
 * What is in flight at one backend server and how it does.
 *
 * @module
 */
import { WarmupPace } from '../places/mod.js';
import { ServerSpeed } from '../scheduling/server_speed.js';
import type { StartingSpeed } from '../scheduling/server_speed.js';
import { SlotShare } from './slot_share.js';

/**
 * Speeds before anything was learnt, in tokens a second: of the order that engines
 * of today show for one stream. Learning replaces them within some ten requests.
 */
const START_SPEED: StartingSpeed = { prefillTokensPerSecond: 100_000, decodeTokensPerSecond: 250 };

/**
 * How long a backend server is left alone for each failure in a row, in
 * milliseconds: one that came back is used again within a second. It is the figure
 * that the design began with; others were not measured against it.
 */
const PAUSE_PER_FAILURE_MS = 700;

/** Longest such pause, in milliseconds: a restarted server must not stay unused for long. */
const MAX_PAUSE_MS = 4_000;

/**
 * Entry hosts that must leave a backend server alone before others do on their word, and
 * the part of all entry hosts that they must be. One may have a bad link of its own; at
 * sixty each would else find a silent backend server out for itself, a request each.
 */
const MIN_AVOIDING_HOSTS = 2;
const AVOIDING_PART = 0.05;

/** Time for which an answer of its own counts more than others' word, in milliseconds. */
const OWN_WORD_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Part of each outcome in the average of errors. */
const ERROR_ALPHA = 0.15;

/** How much longer a server that only errs is taken to need, as a factor beside 1. */
const ERROR_PENALTY = 4;

/** What a request asks of a backend server. */
export interface RequestWork {
  /** Prompt tokens; 0 for a plain service. */
  readonly promptTokens: number;
  /** Most output tokens; 0 for a plain service. */
  readonly outputTokens: number;
  /** Output tokens that the caller expects; undefined when it didn't say. */
  readonly hintedTokens?: number | undefined;
}

/** How a request at a backend server ended. */
export enum ServerOutcome {
  /** An answer came whole, whatever its status below 500. */
  Answered = 'answered',
  /** The server answered that it failed. */
  Erred = 'erred',
  /** It said that it did not run the request. */
  Declined = 'declined',
  /** The connection failed or broke. */
  Failed = 'failed',
  /** Nothing came for too long: it is gone, or has more to do than it can. */
  Silent = 'silent',
  /** The caller left, or time ran out while the server worked as it should. */
  Cancelled = 'cancelled',
}

/** Load, speed and failures of one life of a backend server. */
export class ServerLoad {
  readonly slots: number;

  readonly speed: ServerSpeed;

  /** This entry host's part of the free slots. */
  readonly share = new SlotShare();

  /** How fast this entry host may fill it while it warms up. */
  readonly warmup = new WarmupPace();

  #ownInFlight = 0;

  #pendingPrompt = 0;

  #peersInFlight = 0;

  #failuresInRow = 0;

  #errorPart = 0;

  #pausedUntilMs = Number.NEGATIVE_INFINITY;

  #answeredAtMs = Number.NEGATIVE_INFINITY;

  #failedAtMs = Number.NEGATIVE_INFINITY;

  #isAvoidedByPeers = false;

  /**
   * @param slots - requests that it runs at once
   * @param isEngine - whether it is a model engine
   */
  constructor(slots: number, isEngine: boolean) {
    this.slots = Math.max(1, slots);
    this.speed = new ServerSpeed(START_SPEED, !isEngine);
  }

  /** Requests of this entry host there. */
  get ownInFlight(): number {
    return this.#ownInFlight;
  }

  /** Requests there of all entry hosts, as far as is known. */
  get inFlight(): number {
    return this.#ownInFlight + this.#peersInFlight;
  }

  /** Slots that are free as far as is known; 0 or less when it is full. */
  get freeSlots(): number {
    return this.slots - this.inFlight;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns free slots that may be filled now */
  countOpenSlots(nowMs: number): number {
    if (!this.warmup.isCold(nowMs)) return Math.max(0, this.freeSlots);
    return this.freeSlots > 0 && this.warmup.maySend(nowMs) ? 1 : 0;
  }

  /** Failures since its last answer. */
  get failuresInRow(): number {
    return this.#failuresInRow;
  }

  /** @param inFlight - what peers report to have there, together */
  setPeersInFlight(inFlight: number): void {
    this.#peersInFlight = inFlight;
  }

  /** @param change - slots that peers have taken since they reported last */
  addPeersInFlight(change: number): void {
    this.#peersInFlight = Math.max(0, this.#peersInFlight + change);
  }

  /** @param work - a request that is being sent there */
  begin(work: RequestWork): void {
    this.#ownInFlight += 1;
    this.share.noteTaken();
    this.#pendingPrompt += work.promptTokens;
  }

  /** @param work - a request whose first event has come, or that ended without one */
  noteFirstByte(work: RequestWork): void {
    this.#pendingPrompt = Math.max(0, this.#pendingPrompt - work.promptTokens);
  }

  /**
   * @param outcome - how a request there ended
   * @param nowMs - monotonic time in milliseconds
   */
  end(outcome: ServerOutcome, nowMs: number): void {
    this.#ownInFlight = Math.max(0, this.#ownInFlight - 1);
    this.share.noteFreed(nowMs);
    if (outcome === ServerOutcome.Cancelled) return;
    const isError = outcome === ServerOutcome.Erred || outcome === ServerOutcome.Declined;
    this.#errorPart += ERROR_ALPHA * ((isError ? 1 : 0) - this.#errorPart);
    if (!this.#isFault(outcome)) {
      this.#failuresInRow = 0;
      this.#answeredAtMs = nowMs;
      return;
    }
    if (outcome !== ServerOutcome.Silent) this.#failedAtMs = nowMs;
    this.#failuresInRow += 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, PAUSE_PER_FAILURE_MS * this.#failuresInRow);
    this.#pausedUntilMs = nowMs + pauseMs;
  }

  /**
   * @param avoidingHosts - peers that leave it alone after failures of their own
   * @param hostCount - entry hosts that give it work, this one included
   */
  setAvoidingHosts(avoidingHosts: number, hostCount: number): void {
    this.#isAvoidedByPeers =
      avoidingHosts >= Math.max(MIN_AVOIDING_HOSTS, hostCount * AVOIDING_PART);
  }

  /**
   * Tells whether others should hear that own requests failed there. Silence doesn't
   * count: under overload everybody's requests wait long at some server, and with all
   * entry hosts leaving it alone on each other's word, the rest gets too much as well.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns whether one failed a moment ago
   */
  hasFailed(nowMs: number): boolean {
    return nowMs < this.#pausedUntilMs && nowMs - this.#failedAtMs < MAX_PAUSE_MS;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether it is left alone after failures */
  isPaused(nowMs: number): boolean {
    if (nowMs < this.#pausedUntilMs) return true;
    return this.#isAvoidedByPeers && nowMs - this.#answeredAtMs > OWN_WORD_MS;
  }

  /**
   * A model engine that answers with an error runs few requests to their end: one that
   * fails all is free all the time, and would be given most. In one measured run three
   * such engines of 42 took 4,500 of 23,600 requests in six seconds. Errors of plain
   * services are mostly the callers' own.
   */
  #isFault(outcome: ServerOutcome): boolean {
    if (outcome === ServerOutcome.Erred) return !this.speed.isPlain;
    return outcome === ServerOutcome.Failed || outcome === ServerOutcome.Silent;
  }

  /**
   * Predicts the time to the first byte of one more request.
   *
   * @param work - the request
   * @returns milliseconds, lengthened for servers that err
   */
  predictFirstByteMs(work: RequestWork): number {
    const prefillMs = this.speed.predictFirstByteMs(work.promptTokens + this.#pendingPrompt);
    const crowding = 1 + this.inFlight / this.slots;
    return prefillMs * crowding * (1 + ERROR_PENALTY * this.#errorPart);
  }

  /**
   * Predicts the time that one more request holds a slot.
   *
   * @param work - the request
   * @param expectedTokens - output that it is expected to have
   * @returns milliseconds
   */
  predictHoldMs(work: RequestWork, expectedTokens: number): number {
    const firstByteMs = this.predictFirstByteMs(work);
    if (this.speed.isPlain) return firstByteMs;
    return firstByteMs + (expectedTokens / this.speed.decodeTokensPerSecond) * MS_PER_SECOND;
  }
}
