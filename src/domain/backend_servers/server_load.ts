/**
 * Load, speed and failures of one backend server as seen by this entry host.
 *
 * @module
 */
import { ServerPace } from '../places/mod.js';
import { isFailure, ServerOutcome } from './request_work.js';
import type { RequestWork, SendConditions } from './request_work.js';
import { SharedSpeed } from './shared_speed.js';
import { ServerSigns } from './server_signs.js';
import { SlotShare } from './slot_share.js';
import { WorkReport } from './work_report.js';
import type { ServerWorkReport } from './work_report.js';

/**
 * Pause of a backend server for each consecutive failure, in milliseconds. A server that recovers
 * is used again within a second. No other values were compared.
 */
const PAUSE_PER_FAILURE_MS = 700;

/** Longest pause, in milliseconds: a restarted server must not stay unused for long. */
const MAX_PAUSE_MS = 4_000;

/**
 * Minimum number of peers, and minimum fraction of all entry hosts, that must avoid a backend
 * server before this host avoids it as well. A single peer may just have a bad link of its own.
 * Without sharing, each of sixty hosts would spend one request to find an unresponsive server.
 */
const MIN_AVOIDING_HOSTS = 2;
const MIN_AVOIDING_FRACTION = 0.05;

/**
 * How long an answer to this host's own request outweighs peers that avoid the server, in
 * milliseconds.
 */
const OWN_ANSWER_PRECEDENCE_MS = 1_000;

const MS_PER_SECOND = 1_000;

/** Time in which peers tell whether this host's own link has failed, in milliseconds. */
const LINK_CHECK_MS = 50;

/** Weight of each outcome in the moving average of the error rate. */
const ERROR_RATE_ALPHA = 0.15;

/** Weight of the error rate in the factor that lengthens predictions, as an addition to 1. */
const ERROR_RATE_PENALTY = 4;

/** Load, speed and failures of one incarnation of a backend server. */
export class ServerLoad {
  readonly slots: number;

  readonly speed: SharedSpeed;

  /** This entry host's share of the free slots. */
  readonly share = new SlotShare();

  /** Pace at which this entry host may send to the server. */
  readonly pace = new ServerPace();

  /** What the server reports of its own load. */
  readonly #report = new WorkReport();

  /** Signs that the server gives to this entry host. */
  readonly signs = new ServerSigns();

  #ownInFlight = 0;

  #pendingPromptTokens = 0;

  #peersInFlight = 0;

  #consecutiveFailures = 0;

  #errorRate = 0;

  #pausedUntilMs = Number.NEGATIVE_INFINITY;

  #lastAnsweredAtMs = Number.NEGATIVE_INFINITY;

  #lastFailedAtMs = Number.NEGATIVE_INFINITY;

  #wasFailureAnswered = false;

  #isAvoidedByPeers = false;

  /**
   * @param slots - number of requests that the server runs concurrently
   * @param isEngine - whether the server is a model engine
   */
  constructor(slots: number, isEngine: boolean) {
    this.slots = Math.max(1, slots);
    this.speed = new SharedSpeed(!isEngine);
  }

  /** Number of this entry host's requests on the server. */
  get ownInFlight(): number {
    return this.#ownInFlight;
  }

  /** Number of all entry hosts' requests on the server, as far as known. */
  get inFlight(): number {
    return this.#ownInFlight + this.#peersInFlight;
  }

  /** Number of free slots, as far as known; 0 or less if the server is full. */
  get freeSlots(): number {
    return this.slots - this.inFlight;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns free slots that may be filled now */
  countOpenSlots(nowMs: number): number {
    if (!this.pace.isPaced(nowMs)) return Math.max(0, this.freeSlots);
    return this.freeSlots > 0 && this.pace.maySend(nowMs, this.#ownInFlight) ? 1 : 0;
  }

  /** Number of failures since the last answer. */
  get consecutiveFailures(): number {
    return this.#consecutiveFailures;
  }

  /**
   * @param inFlight - total number of requests that peers report on the server
   * @param nowMs - monotonic time in ms; by default, the report of the server does not count
   */
  setPeersInFlight(inFlight: number, nowMs = Infinity): void {
    this.#peersInFlight = this.#report.correctPeersInFlight(inFlight, nowMs);
  }

  /** @param report - what the server says of its load. @param nowMs - monotonic time in ms */
  recordReport(report: ServerWorkReport, nowMs: number): void {
    this.#report.record(report, this.#ownInFlight, nowMs);
    this.setPeersInFlight(this.#peersInFlight, nowMs);
  }

  /** @param change - change in the slots that peers hold, since their last reports */
  adjustPeersInFlight(change: number): void {
    this.#peersInFlight = Math.max(0, this.#peersInFlight + change);
  }

  /**
   * Records the start of a request.
   *
   * @param work - a request that is being sent to the server
   */
  recordStart(work: RequestWork): void {
    this.#ownInFlight += 1;
    this.share.recordTaken();
    this.#pendingPromptTokens += work.promptTokens;
  }

  /**
   * Removes a request's prompt from the pending work.
   *
   * @param work - a request whose first event has arrived, or that ended without one
   */
  recordFirstByte(work: RequestWork): void {
    this.#pendingPromptTokens = Math.max(0, this.#pendingPromptTokens - work.promptTokens);
  }

  /**
   * Records that a request has been silent for too long: it takes at least as long as it was awaited.
   *
   * @param work - the request
   * @param waitedMs - how long its first byte was awaited, in milliseconds; 0 if that has arrived
   * @param nowMs - monotonic time in milliseconds
   * @param sent - circumstances when it was sent; the present ones by default
   */
  recordSilence(work: RequestWork, waitedMs: number, nowMs: number, sent?: SendConditions): void {
    const { prefillTokens, loadFactor } = sent ?? this.getConditions(work);
    if (waitedMs > 0) this.speed.observeAtLeast(prefillTokens, waitedMs / loadFactor);
    this.#pause(nowMs);
  }

  /**
   * Records the end of a request.
   *
   * @param outcome - outcome of a request on the server
   * @param nowMs - monotonic time in milliseconds
   */
  recordEnd(outcome: ServerOutcome, nowMs: number): void {
    this.#ownInFlight = Math.max(0, this.#ownInFlight - 1);
    this.share.recordFreed(nowMs);
    this.#recordSlotEnd(outcome, nowMs);
    if (outcome === ServerOutcome.Cancelled) return;
    const isError = outcome === ServerOutcome.ServerError || outcome === ServerOutcome.Declined;
    this.#errorRate += ERROR_RATE_ALPHA * ((isError ? 1 : 0) - this.#errorRate);
    if (!isFailure(outcome, this.speed.isPlain)) {
      this.#consecutiveFailures = 0;
      this.#lastAnsweredAtMs = nowMs;
      return;
    }
    this.#lastFailedAtMs = nowMs;
    this.#wasFailureAnswered = outcome === ServerOutcome.ServerError;
    this.#pause(nowMs);
  }

  #pause(nowMs: number): void {
    this.#consecutiveFailures += 1;
    const pauseMs = Math.min(MAX_PAUSE_MS, PAUSE_PER_FAILURE_MS * this.#consecutiveFailures);
    this.#pausedUntilMs = nowMs + pauseMs;
  }

  #recordSlotEnd(outcome: ServerOutcome, nowMs: number): void {
    const { slots } = this.pace;
    slots.recordEnd(nowMs, this.#ownInFlight);
    if (outcome === ServerOutcome.Declined) slots.recordDeclined(nowMs);
    const wasAnswered = outcome === ServerOutcome.Answered || outcome === ServerOutcome.ServerError;
    if (!wasAnswered && outcome !== ServerOutcome.Declined) slots.recordBrokenOff(nowMs);
  }

  /**
   * @param avoidingHostCount - peers that avoid the server after failures of their own requests
   * @param hostCount - entry hosts that send requests to the server, including this one
   */
  setAvoidingHostCount(avoidingHostCount: number, hostCount: number): void {
    this.#isAvoidedByPeers =
      avoidingHostCount >= Math.max(MIN_AVOIDING_HOSTS, hostCount * MIN_AVOIDING_FRACTION);
  }

  /**
   * Tells whether peers should hear that requests of this host failed on the server. Timeouts
   * don't count: under overload, requests of every host wait long on some server, and if all
   * hosts avoid it because of each other's reports, the remaining servers become overloaded too.
   *
   * Nor does a failure since which this host has heard from no server: its own links may be down.
   *
   * @param nowMs - monotonic time in milliseconds
   * @param reachedAtMs - when this host last received data from any backend server
   * @returns whether a request failed recently
   */
  hasFailedRecently(nowMs: number, reachedAtMs: number): boolean {
    const ageMs = nowMs - this.#lastFailedAtMs;
    const isChecked = ageMs >= LINK_CHECK_MS && reachedAtMs > this.#lastFailedAtMs;
    if (!this.#wasFailureAnswered && !isChecked) return false;
    return nowMs < this.#pausedUntilMs && ageMs < MAX_PAUSE_MS;
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns whether to avoid the server after failures
   */
  mustAvoid(nowMs: number): boolean {
    if (nowMs < this.#pausedUntilMs) return true;
    return this.#isAvoidedByPeers && nowMs - this.#lastAnsweredAtMs > OWN_ANSWER_PRECEDENCE_MS;
  }

  /**
   * @param work - one more request
   * @param nowMs - monotonic time in ms; by default, the report of the server does not count
   * @returns what its time to first byte depends on
   */
  getConditions(work: RequestWork, nowMs = Infinity): SendConditions {
    return {
      prefillTokens: work.promptTokens + this.#pendingPromptTokens,
      loadFactor: (1 + this.inFlight / this.slots) * this.#report.computeFactor(nowMs),
    };
  }

  /**
   * Learns from the first byte of an answer.
   *
   * @param sent - circumstances when the request was sent, which the prediction rested on
   * @param firstByteMs - time to first byte, in milliseconds
   * @param nowMs - monotonic time in milliseconds
   */
  learnFirstByte(sent: SendConditions, firstByteMs: number, nowMs: number): void {
    this.speed.observeFirstByte(sent.prefillTokens, firstByteMs / sent.loadFactor, nowMs);
  }

  /**
   * Predicts the time to the first byte of one more request.
   *
   * @param work - the request
   * @param nowMs - monotonic time in ms; by default, the report of the server does not count
   * @returns milliseconds, lengthened in proportion to the server's error rate
   */
  predictFirstByteMs(work: RequestWork, nowMs = Infinity): number {
    const { prefillTokens, loadFactor } = this.getConditions(work, nowMs);
    const prefillMs = this.speed.predictFirstByteMs(prefillTokens);
    return prefillMs * loadFactor * (1 + ERROR_RATE_PENALTY * this.#errorRate);
  }

  /**
   * Predicts the time for which one more request holds a slot.
   *
   * @param work - the request
   * @param expectedTokens - expected number of output tokens
   * @param firstByteMs - its predicted time to first byte, where that is known
   * @returns milliseconds
   */
  predictHoldMs(
    work: RequestWork,
    expectedTokens: number,
    firstByteMs = this.predictFirstByteMs(work),
  ): number {
    if (this.speed.isPlain) return firstByteMs;
    return firstByteMs + (expectedTokens / this.speed.decodeTokensPerSecond) * MS_PER_SECOND;
  }
}
