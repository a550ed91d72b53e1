/**
 * Admits requests within their accounts' limits, and borrows and lends shares.
 *
 * @module
 */
import type { AccountContract } from '../../domain/contracts/types.js';
import {
  ACK_REQUEST_NUMBER,
  computeBaseShare,
  LEASE_LIFE_MS,
  LIMIT_KINDS,
  pickAllowanceHome,
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

/** Parts of a lease's life after which an account asks again. */
const RENEW_LIVES = 1 / 2;
/** The same where requests were refused since it last asked, and for the ticks. */
const URGENT_LIVES = 1 / 8;

/** What the keeper works with. */
export interface AllowanceKeeperOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  readonly peers: PeerNetwork;
  /** Life of a lease in milliseconds. Default: {@link LEASE_LIFE_MS}. */
  readonly leaseLifeMs?: number;
}

/** Admits by local buckets whose rates follow the leases of the allowance home. */
export class AllowanceKeeper extends AllowanceSource {
  readonly #options: AllowanceKeeperOptions;

  readonly #lifeMs: number;

  readonly #limiters = new Map<string, AccountLimiter>();

  readonly #lender: AllowanceLender;

  #listedIds: readonly string[];

  #timer: Timer | undefined;

  #lastRequestNumber = ACK_REQUEST_NUMBER;

  /** @param options - what it works with */
  constructor(options: AllowanceKeeperOptions) {
    super();
    this.#options = options;
    this.#lifeMs = options.leaseLifeMs ?? LEASE_LIFE_MS;
    this.#listedIds = options.membership.listListedIds();
    this.#lender = new AllowanceLender({
      ...options,
      leaseLifeMs: this.#lifeMs,
      sendLease: (grant, accountId) => this.#sendLease(grant, accountId),
    });
    options.membership.onChange(() => this.#updateListed());
    options.peers.handle(PeerMessageType.AllowanceRequest, (from, message) =>
      this.#lender.handleRequest(from, message),
    );
    options.peers.handle(PeerMessageType.AllowanceLease, (from, message) =>
      this.#handleLease(from, message),
    );
  }

  /** Starts asking for leases. Until then, and without them, base shares hold. */
  start(): void {
    if (!this.#timer) this.#scheduleTick();
  }

  /** Stops asking for leases; admitting goes on with what is left. */
  stop(): void {
    this.#timer?.cancel();
    this.#timer = undefined;
  }

  override admit(account: AccountContract, expectedTokens: number): Admission {
    const limiter = this.#openLimiter(account);
    try {
      return limiter.admit(expectedTokens, () => this.#options.clock.nowMs());
    } catch (error) {
      if (error instanceof SchedulerError)
        this.#options.metrics.count('allowance_refusals_total', { kind: error.kind });
      throw error;
    } finally {
      this.#sendIfDue(limiter);
    }
  }

  #openLimiter(account: AccountContract): AccountLimiter {
    const nowMs = this.#options.clock.nowMs();
    const known = this.#limiters.get(account.accountId);
    if (known) {
      if (known.account !== account) known.setBase(account, this.#computeBase(account), nowMs);
      return known;
    }
    const limiter = new AccountLimiter(account, this.#computeBase(account), nowMs);
    this.#limiters.set(account.accountId, limiter);
    // The first request of an idle account lets the home hear of it at once.
    limiter.meter.noteIdle();
    return limiter;
  }

  #computeBase(account: AccountContract): ReturnType<typeof computeBaseShare> {
    const { membership } = this.#options;
    return computeBaseShare(account.limits, account.accountId, membership.self.id, this.#listedIds);
  }

  #scheduleTick(): void {
    this.#timer = this.#options.clock.setTimer(URGENT_LIVES * this.#lifeMs, () => {
      this.#scheduleTick();
      this.#tick();
    });
  }

  #tick(): void {
    this.#updateListed();
    const nowMs = this.#options.clock.nowMs();
    this.#limiters.forEach((limiter, accountId) => {
      this.#sendIfDue(limiter);
      if (limiter.isIdle(nowMs)) this.#limiters.delete(accountId);
    });
    this.#lender.update(this.#listedIds);
  }

  #updateListed(): void {
    const listedIds = this.#options.membership.listListedIds();
    if (listedIds.join() === this.#listedIds.join()) return;
    this.#listedIds = listedIds;
    const nowMs = this.#options.clock.nowMs();
    this.#limiters.forEach((limiter) => {
      limiter.setBase(limiter.account, this.#computeBase(limiter.account), nowMs);
    });
    this.#lender.update(listedIds);
  }

  #sendIfDue(limiter: AccountLimiter): void {
    const { meter } = limiter;
    const ageMs = this.#options.clock.nowMs() - meter.sinceMs;
    const { isActive } = limiter;
    const isUrgent = meter.hasNewRefusals && ageMs >= URGENT_LIVES * this.#lifeMs;
    // One last request without demand gives the room back before its lease ends.
    const isRenewal = (isActive || meter.hadDemand) && ageMs >= RENEW_LIVES * this.#lifeMs;
    if (this.#timer && (isUrgent || isRenewal || (isActive && meter.wasIdle)))
      this.#sendRequest(limiter, false);
  }

  #sendRequest(limiter: AccountLimiter, isBareConfirmation: boolean): void {
    const home = this.#findHome(limiter.account.accountId);
    const nowMs = this.#options.clock.nowMs();
    const minSpanMs = (limiter.meter.refusedCount > 0 ? URGENT_LIVES : RENEW_LIVES) * this.#lifeMs;
    const demand = isBareConfirmation
      ? { requestsPerSecond: 0, tokensPerSecond: 0, inFlight: 0 }
      : limiter.meter.take(limiter.running, minSpanMs, nowMs);
    if (!home) return;
    const requestNumber = isBareConfirmation ? ACK_REQUEST_NUMBER : this.#assignNumber(limiter);
    const message: AllowanceRequestMessage = {
      type: PeerMessageType.AllowanceRequest,
      accountId: limiter.account.accountId,
      ...demand,
      requestNumber,
      heldLease: limiter.getHeldNumber(home.incarnation),
      running: limiter.running,
    };
    const { membership, peers } = this.#options;
    if (home.id === membership.self.id) this.#lender.handleRequest(membership.self, message);
    else peers.send(home.incarnation, message);
  }

  /** One sequence for all accounts: a limiter that is dropped and comes back repeats no number. */
  #assignNumber(limiter: AccountLimiter): number {
    this.#lastRequestNumber += 1;
    limiter.noteRequest(this.#lastRequestNumber, this.#options.clock.nowMs());
    return this.#lastRequestNumber;
  }

  #findHome(accountId: string): EntryHostIdentity | undefined {
    const { membership } = this.#options;
    const homeId = pickAllowanceHome(accountId, this.#listedIds);
    if (homeId === undefined) return undefined;
    if (homeId === membership.self.id) return membership.self;
    return membership.findEntryHost(homeId)?.identity;
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
    const isFromHome = pickAllowanceHome(message.accountId, this.#listedIds) === from.id;
    if (!account || !isFromHome) {
      log.write(LogLevel.Debug, 'allowance_lease_ignored', {
        account: message.accountId,
        entryHost: from.id,
      });
      return;
    }
    const limiter = this.#openLimiter(account);
    const before = limiter.share;
    const lease = {
      home: from.incarnation,
      leaseNumber: message.leaseNumber,
      requestNumber: message.requestNumber,
      share: message,
      validMs: message.validMs,
    };
    if (!limiter.acceptLease(lease, clock.nowMs())) return;
    // What shrinks here can be lent to others once the home knows that it arrived;
    // where nothing is asked, no later request would tell it.
    const shrank = LIMIT_KINDS.some((kind) => limiter.share[kind] < before[kind]);
    if (shrank || !limiter.isActive) this.#sendRequest(limiter, true);
  }
}
