/**
 * Enforces the limits of one client account on this entry host.
 *
 * @module
 */
import type { AccountContract } from '../../domain/contracts/types.js';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { buildShare, LeaseHolder, TokenBucket } from '../../domain/limits/mod.js';
import type { AllowanceShare, ReceivedLease } from '../../domain/limits/mod.js';
import type { Admission } from '../views/mod.js';
import { DemandMeter } from './_demand_meter.js';

/** A token bucket holds at most what its rate supplies in this time. */
const BURST_SECONDS = 1;

const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 60_000;

/** Assumed mean duration of a request until the first request of the account has ended. */
const INITIAL_MEAN_DURATION_MS = 1000;

/** Weight of the newest request in the moving average of request durations. */
const NEWEST_DURATION_WEIGHT = 0.2;

function computeBurstCapacity(rate: number): number {
  return Math.max(1, rate * BURST_SECONDS);
}

function clampRetryAfterMs(waitMs: number): number {
  return Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));
}

/** Combines token buckets, the in-flight count, leases and measured demand of one account. */
export class AccountLimiter {
  readonly meter: DemandMeter;

  readonly #leaseHolder = new LeaseHolder();

  readonly #requests: TokenBucket;

  readonly #tokens: TokenBucket;

  #account: AccountContract;

  #baseShare: AllowanceShare;

  #share: AllowanceShare;

  /** Start times of the requests in flight, oldest first. */
  readonly #startTimesMs = new Map<Admission, number>();

  #meanDurationMs = INITIAL_MEAN_DURATION_MS;

  #updatedAtMs: number;

  /**
   * @param account - contract of the account, with its limits
   * @param base - share of the limits that applies without a lease
   * @param nowMs - monotonic time in milliseconds
   */
  constructor(account: AccountContract, base: AllowanceShare, nowMs: number) {
    this.#account = account;
    this.#baseShare = base;
    this.#share = base;
    this.#updatedAtMs = nowMs;
    this.meter = new DemandMeter(nowMs);
    this.#requests = this.#createBucket(base.requestsPerSecond, nowMs);
    this.#tokens = this.#createBucket(base.tokensPerSecond, nowMs);
  }

  /** The contract whose limits are enforced. */
  get account(): AccountContract {
    return this.#account;
  }

  /** Number of requests in flight. */
  get running(): number {
    return this.#startTimesMs.size;
  }

  /** Whether a request is in flight or was attempted since the last lease request. */
  get isActive(): boolean {
    return this.running > 0 || this.meter.attemptCount > 0;
  }

  /** The share of the limits that was in effect at the last update. */
  get share(): AllowanceShare {
    return this.#share;
  }

  /** Applies a changed contract or base share. */
  setLimits(account: AccountContract, base: AllowanceShare, nowMs: number): void {
    this.update(nowMs);
    this.#account = account;
    this.#baseShare = base;
    this.#applyShare(nowMs);
  }

  /** Updates the share and applies each change since the last update at its own time. */
  update(nowMs: number): void {
    this.#leaseHolder
      .listShareChanges(this.#updatedAtMs, nowMs)
      .forEach((atMs) => this.#applyShare(atMs));
    this.#updatedAtMs = nowMs;
  }

  /** Records that a lease was requested. */
  recordLeaseRequest(requestNumber: number, nowMs: number): void {
    this.#leaseHolder.recordRequest(requestNumber, nowMs);
  }

  /** @returns number of the lease held from a lender's incarnation; 0 without a lease */
  getLeaseNumber(lenderIncarnation: string): number {
    return this.#leaseHolder.getLeaseNumber(lenderIncarnation);
  }

  /** Applies a received lease. @returns false when the lease is outdated */
  acceptLease(lease: ReceivedLease, nowMs: number): boolean {
    this.update(nowMs);
    if (!this.#leaseHolder.accept(lease, nowMs)) return false;
    this.#applyShare(nowMs);
    return true;
  }

  /**
   * Admits one request if every limit allows it.
   *
   * @param expectedTokens - predicted tokens of the request
   * @param getNowMs - reads the monotonic time in milliseconds
   * @returns the admission, to be released when the request ends
   * @throws SchedulerError when a limit is reached
   */
  admit(expectedTokens: number, getNowMs: () => number): Admission {
    const startedAtMs = getNowMs();
    this.update(startedAtMs);
    this.meter.recordAttempt(expectedTokens, this.running);
    try {
      this.#checkLimits(expectedTokens, startedAtMs);
    } catch (error) {
      this.meter.recordRefusal(this.running);
      throw error;
    }
    this.#requests.take(1, startedAtMs);
    this.#tokens.take(expectedTokens, startedAtMs);
    const admission: Admission = {
      release: (usedTokens) => {
        // Ignores a second release, which would settle the same request twice.
        if (!this.#startTimesMs.delete(admission)) return;
        this.#release(expectedTokens - usedTokens, startedAtMs, getNowMs());
      },
    };
    this.#startTimesMs.set(admission, startedAtMs);
    return admission;
  }

  /** @returns whether the limiter can be dropped: a new limiter would have the same state */
  isIdle(nowMs: number): boolean {
    this.update(nowMs);
    return (
      this.running === 0 &&
      this.meter.attemptCount === 0 &&
      !this.#leaseHolder.hasLease(nowMs) &&
      this.#requests.isFull(nowMs) &&
      this.#tokens.isFull(nowMs)
    );
  }

  #createBucket(rate: number, nowMs: number): TokenBucket {
    return new TokenBucket({ rate, capacity: computeBurstCapacity(rate), nowMs });
  }

  #checkLimits(expectedTokens: number, nowMs: number): void {
    if (this.running >= this.#share.inFlight)
      throw this.#buildRefusal(ErrorKind.InFlightLimited, this.#estimateInFlightWaitMs(nowMs));
    const requestsWaitMs = this.#requests.computeWaitMs(1, nowMs);
    if (requestsWaitMs > 0) throw this.#buildRefusal(ErrorKind.RateLimited, requestsWaitMs);
    const tokensWaitMs = this.#tokens.computeWaitMs(expectedTokens, nowMs);
    if (tokensWaitMs > 0) throw this.#buildRefusal(ErrorKind.TokensLimited, tokensWaitMs);
  }

  /** Estimates the time until the oldest request in flight ends. */
  #estimateInFlightWaitMs(nowMs: number): number {
    const [oldestMs = nowMs] = this.#startTimesMs.values();
    return Math.max(
      this.#meanDurationMs - (nowMs - oldestMs),
      this.#meanDurationMs / Math.max(1, this.running),
    );
  }

  #buildRefusal(kind: ErrorKind, waitMs: number): SchedulerError {
    return new SchedulerError(kind, {
      message: `Cannot admit request of ${this.#account.accountId}: ${kind.replaceAll('_', ' ')}`,
      retryAfterMs: clampRetryAfterMs(waitMs),
    });
  }

  #release(unusedTokens: number, startedAtMs: number, nowMs: number): void {
    this.update(nowMs);
    this.#tokens.settle(unusedTokens, nowMs);
    this.#meanDurationMs += NEWEST_DURATION_WEIGHT * (nowMs - startedAtMs - this.#meanDurationMs);
  }

  #applyShare(nowMs: number): void {
    const { limits } = this.#account;
    const held = this.#leaseHolder.computeShare(this.#baseShare, nowMs);
    this.#share = buildShare((kind) => Math.min(held[kind], limits[kind]));
    const { requestsPerSecond, tokensPerSecond } = this.#share;
    this.#requests.setRate(requestsPerSecond, computeBurstCapacity(requestsPerSecond), nowMs);
    this.#tokens.setRate(tokensPerSecond, computeBurstCapacity(tokensPerSecond), nowMs);
  }
}
