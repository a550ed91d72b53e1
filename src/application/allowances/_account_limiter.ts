/**
 * One account's limits on this entry host.
 *
 * @module
 */
import type { AccountContract } from '../../domain/contracts/types.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { buildShare, LeaseHolder, TokenBucket } from '../../domain/limits/mod.js';
import type { AllowanceShare, ReceivedLease } from '../../domain/limits/mod.js';
import type { Admission } from '../views/mod.js';
import { DemandMeter } from './_demand_meter.js';

/** A bucket gathers what its rate gives in this time. */
const BURST_SECONDS = 1;

const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 60_000;

/** Advice before any request of the account has ended. */
const DEFAULT_IN_FLIGHT_RETRY_MS = 1000;

/** Weight of the newest request in the mean time in flight. */
const MEAN_WEIGHT = 0.2;

function computeCapacity(rate: number): number {
  return Math.max(1, rate * BURST_SECONDS);
}

function computeAdvice(waitMs: number): number {
  return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));
}

/** Buckets, count in flight, held lease and measured demand of one account. */
export class AccountLimiter {
  readonly meter: DemandMeter;

  readonly #holder = new LeaseHolder();

  readonly #requests: TokenBucket;

  readonly #tokens: TokenBucket;

  #account: AccountContract;

  #base: AllowanceShare;

  #share: AllowanceShare;

  /** When each request in flight started, oldest first. */
  readonly #startedAtMs = new Map<Admission, number>();

  #meanRunMs = DEFAULT_IN_FLIGHT_RETRY_MS;

  #updatedAtMs: number;

  /**
   * @param account - whose limits
   * @param base - the share that holds without a lease
   * @param nowMs - monotonic time in milliseconds
   */
  constructor(account: AccountContract, base: AllowanceShare, nowMs: number) {
    this.#account = account;
    this.#base = base;
    this.#share = base;
    this.#updatedAtMs = nowMs;
    this.meter = new DemandMeter(nowMs);
    this.#requests = this.#openBucket(base.requestsPerSecond, nowMs);
    this.#tokens = this.#openBucket(base.tokensPerSecond, nowMs);
  }

  /** The contract that the limiter goes by. */
  get account(): AccountContract {
    return this.#account;
  }

  /** Requests in flight. */
  get running(): number {
    return this.#startedAtMs.size;
  }

  /** Whether anything was asked since the last request for a lease, or is in flight. */
  get isActive(): boolean {
    return this.running > 0 || this.meter.attempts > 0;
  }

  /** The share in force at the last update. */
  get share(): AllowanceShare {
    return this.#share;
  }

  /** Takes over a changed contract or base share. */
  setBase(account: AccountContract, base: AllowanceShare, nowMs: number): void {
    this.update(nowMs);
    this.#account = account;
    this.#base = base;
    this.#applyShare(nowMs);
  }

  /** Brings the share up to date, through every moment at which it changed. */
  update(nowMs: number): void {
    this.#holder.listChanges(this.#updatedAtMs, nowMs).forEach((atMs) => this.#applyShare(atMs));
    this.#updatedAtMs = nowMs;
  }

  /** Notes a request for a lease. */
  noteRequest(requestNumber: number, nowMs: number): void {
    this.#holder.noteRequest(requestNumber, nowMs);
  }

  /** @returns number of the lease held of a home; 0: none */
  getHeldNumber(home: string): number {
    return this.#holder.getHeldNumber(home);
  }

  /** Takes a lease. @returns false for an old one */
  acceptLease(lease: ReceivedLease, nowMs: number): boolean {
    this.update(nowMs);
    if (!this.#holder.accept(lease, nowMs)) return false;
    this.#applyShare(nowMs);
    return true;
  }

  /**
   * Admits one request.
   *
   * @param expectedTokens - predicted tokens
   * @param getNowMs - reads the monotonic time in milliseconds
   * @returns the admission
   * @throws SchedulerError when a limit is reached
   */
  admit(expectedTokens: number, getNowMs: () => number): Admission {
    const startedAtMs = getNowMs();
    this.update(startedAtMs);
    this.meter.noteAttempt(expectedTokens, this.running);
    try {
      this.#check(expectedTokens, startedAtMs);
    } catch (error) {
      this.meter.noteRefusal(this.running);
      throw error;
    }
    this.#requests.take(1, startedAtMs);
    this.#tokens.take(expectedTokens, startedAtMs);
    const admission: Admission = {
      release: (usedTokens) => {
        // A second release would count a request twice.
        if (!this.#startedAtMs.delete(admission)) return;
        this.#release(expectedTokens - usedTokens, startedAtMs, getNowMs());
      },
    };
    this.#startedAtMs.set(admission, startedAtMs);
    return admission;
  }

  /** @returns whether the limiter holds nothing that a new one would not have */
  isIdle(nowMs: number): boolean {
    this.update(nowMs);
    return (
      this.running === 0 &&
      this.meter.attempts === 0 &&
      !this.#holder.isHolding(nowMs) &&
      this.#requests.isFull(nowMs) &&
      this.#tokens.isFull(nowMs)
    );
  }

  #openBucket(rate: number, nowMs: number): TokenBucket {
    return new TokenBucket({ rate, capacity: computeCapacity(rate), nowMs });
  }

  #check(expectedTokens: number, nowMs: number): void {
    if (this.running >= this.#share.inFlight)
      throw this.#refuse(ErrorKind.InFlightLimited, this.#computeRoomWaitMs(nowMs));
    const requestsWaitMs = this.#requests.computeWaitMs(1, nowMs);
    if (requestsWaitMs > 0) throw this.#refuse(ErrorKind.RateLimited, requestsWaitMs);
    const tokensWaitMs = this.#tokens.computeWaitMs(expectedTokens, nowMs);
    if (tokensWaitMs > 0) throw this.#refuse(ErrorKind.TokensLimited, tokensWaitMs);
  }

  /** Expected time until the oldest request in flight ends. */
  #computeRoomWaitMs(nowMs: number): number {
    const [oldestMs = nowMs] = this.#startedAtMs.values();
    return Math.max(
      this.#meanRunMs - (nowMs - oldestMs),
      this.#meanRunMs / Math.max(1, this.running),
    );
  }

  #refuse(kind: ErrorKind, waitMs: number): SchedulerError {
    return new SchedulerError(kind, {
      message: `Cannot admit request of ${this.#account.accountId}: ${kind.replaceAll('_', ' ')}`,
      retryAfterMs: computeAdvice(waitMs),
    });
  }

  #release(unusedTokens: number, startedAtMs: number, nowMs: number): void {
    this.update(nowMs);
    this.#tokens.settle(unusedTokens, nowMs);
    this.#meanRunMs += MEAN_WEIGHT * (nowMs - startedAtMs - this.#meanRunMs);
  }

  #applyShare(nowMs: number): void {
    const { limits } = this.#account;
    const held = this.#holder.computeShare(this.#base, nowMs);
    this.#share = buildShare((kind) => Math.min(held[kind], limits[kind]));
    const { requestsPerSecond, tokensPerSecond } = this.#share;
    this.#requests.setRate(requestsPerSecond, computeCapacity(requestsPerSecond), nowMs);
    this.#tokens.setRate(tokensPerSecond, computeCapacity(tokensPerSecond), nowMs);
  }
}
