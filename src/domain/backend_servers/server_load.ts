/**
 * What is in flight at one backend server and how it does.
 *
 * @module
 */
import { ServerSpeed } from '../scheduling/server_speed.js';
import type { StartingSpeed } from '../scheduling/server_speed.js';

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
}

/** How a request at a backend server ended. */
export enum ServerOutcome {
  /** An answer came whole, whatever its status below 500. */
  Answered = 'answered',
  /** The server answered that it failed. */
  Erred = 'erred',
  /** It said that it did not run the request. */
  Declined = 'declined',
  /** The connection failed, broke, or nothing came. */
  Failed = 'failed',
  /** The caller left, or time ran out while the server worked as it should. */
  Cancelled = 'cancelled',
}

/** Load, speed and failures of one life of a backend server. */
export class ServerLoad {
  readonly slots: number;

  readonly speed: ServerSpeed;

  #ownInFlight = 0;

  #pendingPrompt = 0;

  #peersInFlight = 0;

  #failuresInRow = 0;

  #errorPart = 0;

  #pausedUntilMs = Number.NEGATIVE_INFINITY;

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

  /** Failures since its last answer. */
  get failuresInRow(): number {
    return this.#failuresInRow;
  }

  /** @param inFlight - what peers report to have there, together */
  setPeersInFlight(inFlight: number): void {
    this.#peersInFlight = inFlight;
  }

  /** @param work - a request that is being sent there */
  begin(work: RequestWork): void {
    this.#ownInFlight += 1;
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
    if (outcome === ServerOutcome.Cancelled) return;
    const isError = outcome === ServerOutcome.Erred || outcome === ServerOutcome.Declined;
    this.#errorPart += ERROR_ALPHA * ((isError ? 1 : 0) - this.#errorPart);
    if (outcome !== ServerOutcome.Failed) {
      this.#failuresInRow = 0;
      return;
    }
    this.#failuresInRow += 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, PAUSE_PER_FAILURE_MS * this.#failuresInRow);
    this.#pausedUntilMs = nowMs + pauseMs;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns whether it is left alone after failures */
  isPaused(nowMs: number): boolean {
    return nowMs < this.#pausedUntilMs;
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
}
