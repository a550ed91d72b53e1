/**
 * Admits requests within the limits of their accounts, and borrows and lends shares of the limits.
 *
 * @module
 */
import type { AccountContract } from '../../domain/contracts/types.js';
import {
  ACK_REQUEST_NUMBER,
  computeBaseShare,
  LEASE_DURATION_MS,
  LIMIT_KINDS,
  pickAllowanceLender,
} from '../../domain/limits/mod.js';
import type { LedgerGrant } from '../../domain/limits/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import { LogLevel, SchedulerError } from '../../domain/errors/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type {
  AllowanceLeaseMessage,
  AllowanceRequestMessage,
  Clock,
  EventLog,
  Metrics,
  PeerNetwork,
  Timer,
} from '../../ports/mod.js';
import { AllowanceSource } from '../views/mod.js';
import type { Admission, ConfigurationView, MembershipView } from '../views/mod.js';
import { AccountLimiter } from './_account_limiter.js';
import { AllowanceLender } from './_allowance_lender.js';

/** Fraction of the lease duration after which an active account requests a new lease. */
const RENEWAL_FRACTION = 1 / 2;
/** Fraction of the lease duration between ticks, and between lease requests after new refusals. */
const URGENT_FRACTION = 1 / 8;

/** Options of {@link AllowanceManager}. */
export interface AllowanceManagerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  readonly peers: PeerNetwork;
  /** Duration of a lease in milliseconds. Default: {@link LEASE_DURATION_MS}. */
  readonly leaseDurationMs?: number;
}

/** Admits requests by local token buckets whose rates follow the leases of the allowance lender. */
export class AllowanceManager extends AllowanceSource {
  readonly #options: AllowanceManagerOptions;

  readonly #leaseDurationMs: number;

  readonly #limiters = new Map<string, AccountLimiter>();

  readonly #lender: AllowanceLender;

  #knownIds: readonly string[];

  #timer: Timer | undefined;

  #lastRequestNumber = ACK_REQUEST_NUMBER;

  /** @param options - dependencies and settings */
  constructor(options: AllowanceManagerOptions) {
    super();
    this.#options = options;
    this.#leaseDurationMs = options.leaseDurationMs ?? LEASE_DURATION_MS;
    this.#knownIds = options.membership.listKnownIds();
    this.#lender = new AllowanceLender({
      ...options,
      leaseDurationMs: this.#leaseDurationMs,
      sendLease: (grant, accountId) => this.#sendLease(grant, accountId),
    });
    options.membership.onChange(() => this.#updateKnownIds());
    options.peers.handle(PeerMessageType.AllowanceRequest, (from, message) =>
      this.#lender.handleRequest(from, message),
    );
    options.peers.handle(PeerMessageType.AllowanceLease, (from, message) =>
      this.#handleLease(from, message),
    );
  }

  /** Starts requesting leases. Base shares apply until a lease arrives. */
  start(): void {
    if (!this.#timer) this.#scheduleTick();
  }

  /** Stops requesting leases; requests are still admitted within the remaining shares. */
  stop(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
  }

  override admit(account: AccountContract, expectedTokens: number): Admission {
    const limiter = this.#getOrCreateLimiter(account);
    try {
      return limiter.admit(expectedTokens, () => this.#options.clock.nowMs());
    } catch (error) {
      if (error instanceof SchedulerError)
        this.#options.metrics.count('allowance_refusals_total', { kind: error.kind });
      throw error;
    } finally {
      this.#requestLeaseIfDue(limiter);
    }
  }

  #getOrCreateLimiter(account: AccountContract): AccountLimiter {
    const nowMs = this.#options.clock.nowMs();
    const known = this.#limiters.get(account.accountId);
    if (known) {
      if (known.account !== account)
        known.setLimits(account, this.#computeBaseShare(account), nowMs);
      return known;
    }
    const limiter = new AccountLimiter(account, this.#computeBaseShare(account), nowMs);
    this.#limiters.set(account.accountId, limiter);
    // The first request of an idle account is reported to the lender at once.
    limiter.meter.markIdle();
    return limiter;
  }

  #computeBaseShare(account: AccountContract): ReturnType<typeof computeBaseShare> {
    const { membership } = this.#options;
    return computeBaseShare(account.limits, account.accountId, membership.self.id, this.#knownIds);
  }

  #scheduleTick(): void {
    this.#timer = this.#options.clock.setTimer(URGENT_FRACTION * this.#leaseDurationMs, () => {
      this.#scheduleTick();
      this.#tick();
    });
  }

  #tick(): void {
    this.#updateKnownIds();
    const nowMs = this.#options.clock.nowMs();
    this.#limiters.forEach((limiter, accountId) => {
      this.#requestLeaseIfDue(limiter);
      if (limiter.isIdle(nowMs)) this.#limiters.delete(accountId);
    });
    this.#lender.update(this.#knownIds);
  }

  #updateKnownIds(): void {
    const knownIds = this.#options.membership.listKnownIds();
    if (knownIds.join() === this.#knownIds.join()) return;
    this.#knownIds = knownIds;
    const nowMs = this.#options.clock.nowMs();
    this.#limiters.forEach((limiter) => {
      limiter.setLimits(limiter.account, this.#computeBaseShare(limiter.account), nowMs);
    });
    this.#lender.update(knownIds);
  }

  #requestLeaseIfDue(limiter: AccountLimiter): void {
    const { meter } = limiter;
    const ageMs = this.#options.clock.nowMs() - meter.countingSinceMs;
    const { isActive } = limiter;
    const isUrgent = meter.hasNewRefusals && ageMs >= URGENT_FRACTION * this.#leaseDurationMs;
    // A last lease request without demand returns the share before its lease ends.
    const isRenewal =
      (isActive || meter.hadDemand) && ageMs >= RENEWAL_FRACTION * this.#leaseDurationMs;
    if (this.#timer && (isUrgent || isRenewal || (isActive && meter.wasIdle)))
      this.#requestLease(limiter, false);
  }

  #requestLease(limiter: AccountLimiter, isConfirmationOnly: boolean): void {
    const lender = this.#findLender(limiter.account.accountId);
    const nowMs = this.#options.clock.nowMs();
    const minSpanMs =
      (limiter.meter.refusedCount > 0 ? URGENT_FRACTION : RENEWAL_FRACTION) * this.#leaseDurationMs;
    const demand = isConfirmationOnly
      ? { requestsPerSecond: 0, tokensPerSecond: 0, inFlight: 0 }
      : limiter.meter.takeDemand(limiter.running, minSpanMs, nowMs);
    if (!lender) return;
    const requestNumber = isConfirmationOnly
      ? ACK_REQUEST_NUMBER
      : this.#takeRequestNumber(limiter);
    const message: AllowanceRequestMessage = {
      type: PeerMessageType.AllowanceRequest,
      accountId: limiter.account.accountId,
      ...demand,
      requestNumber,
      heldLease: limiter.getLeaseNumber(lender.incarnation),
      running: limiter.running,
    };
    const { membership, peers } = this.#options;
    if (lender.id === membership.self.id) this.#lender.handleRequest(membership.self, message);
    else peers.send(lender.incarnation, message);
  }

  /** Numbers all accounts in one sequence, so that a re-created limiter repeats no number. */
  #takeRequestNumber(limiter: AccountLimiter): number {
    this.#lastRequestNumber += 1;
    limiter.recordLeaseRequest(this.#lastRequestNumber, this.#options.clock.nowMs());
    return this.#lastRequestNumber;
  }

  #findLender(accountId: string): EntryHostIdentity | undefined {
    const { membership } = this.#options;
    const lenderId = pickAllowanceLender(accountId, this.#knownIds);
    if (lenderId === undefined) return undefined;
    if (lenderId === membership.self.id) return membership.self;
    return membership.findEntryHost(lenderId)?.identity;
  }

  #sendLease(grant: LedgerGrant, accountId: string): void {
    const message: AllowanceLeaseMessage = {
      type: PeerMessageType.AllowanceLease,
      accountId,
      ...grant.share,
      validMs: grant.validMs,
      leaseNumber: grant.leaseNumber,
      requestNumber: grant.requestNumber,
    };
    const { membership, peers } = this.#options;
    if (grant.incarnation === membership.self.incarnation)
      this.#handleLease(membership.self, message);
    else peers.send(grant.incarnation, message);
  }

  #handleLease(from: EntryHostIdentity, message: AllowanceLeaseMessage): void {
    const { clock, configuration, log } = this.#options;
    const account = configuration.findAccount(message.accountId);
    const isFromLender = pickAllowanceLender(message.accountId, this.#knownIds) === from.id;
    if (!account || !isFromLender) {
      log.write(LogLevel.Debug, 'allowance_lease_ignored', {
        account: message.accountId,
        entryHost: from.id,
      });
      return;
    }
    const limiter = this.#getOrCreateLimiter(account);
    const previousShare = limiter.share;
    const lease = {
      lenderIncarnation: from.incarnation,
      leaseNumber: message.leaseNumber,
      requestNumber: message.requestNumber,
      share: message,
      validMs: message.validMs,
    };
    if (!limiter.acceptLease(lease, clock.nowMs())) return;
    // The lender can lend a reduced share to other hosts only after this confirmation;
    // an inactive account sends no later request that would confirm the lease.
    const hasShrunk = LIMIT_KINDS.some((kind) => limiter.share[kind] < previousShare[kind]);
    if (hasShrunk || !limiter.isActive) this.#requestLease(limiter, true);
  }
}
