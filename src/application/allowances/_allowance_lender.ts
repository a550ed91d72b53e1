/**
 * Lends shares of account limits to other entry hosts, for the accounts assigned to this host.
 *
 * @module
 */
import { AllowanceLedger, LIMIT_KINDS, pickAllowanceLender } from '../../domain/limits/mod.js';
import type { LedgerContext, LedgerGrant } from '../../domain/limits/mod.js';
import { PeerState } from '../../domain/membership/types.js';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import type { AllowanceRequestMessage, Clock, EventLog, Metrics } from '../../ports/mod.js';
import type { ConfigurationView, MembershipView } from '../views/mod.js';

/** Options of {@link AllowanceLender}. */
export interface AllowanceLenderOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  /** Duration of a lease in milliseconds. */
  readonly leaseDurationMs: number;
  /** Delivers a lease to its borrower, which may be this entry host. */
  readonly sendLease: (grant: LedgerGrant, accountId: string) => void;
}

/** Keeps a ledger of granted leases for each account that an entry host requests a share of. */
export class AllowanceLender {
  readonly #options: AllowanceLenderOptions;

  readonly #ledgers = new Map<string, AllowanceLedger>();

  #knownIds: readonly string[];

  #lastLeaseNumber = 0;

  /** Set while due leases are sent; a confirmation that arrives meanwhile causes another round. */
  #isSending = false;

  #isRoundDue = false;

  /** When the list of known entry hosts last changed, or when the process started. */
  #knownIdsChangedAtMs: number;

  /** @param options - the lender's dependencies and settings */
  constructor(options: AllowanceLenderOptions) {
    this.#options = options;
    this.#knownIds = options.membership.listKnownIds();
    this.#knownIdsChangedAtMs = options.clock.nowMs();
  }

  /** Handles a lease request from an entry host, which may be this one. */
  handleRequest(from: EntryHostIdentity, message: AllowanceRequestMessage): void {
    const { accountId } = message;
    const context = this.#buildContext(accountId);
    if (!context || !this.#isLender(accountId)) return;
    const ledger = this.#getOrCreateLedger(accountId);
    const { requestNumber, heldLease, running } = message;
    ledger.recordReport(
      {
        entryHostId: from.id,
        incarnation: from.incarnation,
        requestNumber,
        heldLease,
        demand: message,
        running,
      },
      context.nowMs,
    );
    const hasDemand = LIMIT_KINDS.some((kind) => message[kind] > 0);
    if (requestNumber > 0 && hasDemand) this.#sendLease(ledger.grant(from.id, context), accountId);
    this.#sendDueLeases(ledger, accountId, context);
  }

  /**
   * Sends leases that are due without a request, drops ledgers that are no longer
   * needed and applies a changed list of known entry hosts.
   */
  update(knownIds: readonly string[]): void {
    if (knownIds.join() !== this.#knownIds.join()) {
      this.#knownIds = knownIds;
      this.#knownIdsChangedAtMs = this.#options.clock.nowMs();
    }
    this.#ledgers.forEach((ledger, accountId) => {
      const context = this.#buildContext(accountId);
      if (!context || !this.#isLender(accountId) || ledger.isIdle(context))
        this.#ledgers.delete(accountId);
      else this.#sendDueLeases(ledger, accountId, context);
    });
  }

  #isLender(accountId: string): boolean {
    return pickAllowanceLender(accountId, this.#knownIds) === this.#options.membership.self.id;
  }

  #getOrCreateLedger(accountId: string): AllowanceLedger {
    const known = this.#ledgers.get(accountId);
    if (known) return known;
    const { leaseDurationMs } = this.#options;
    // An earlier lender, or an earlier incarnation of this one, may have granted leases that
    // still run.
    const lendingStartsAtMs = this.#knownIdsChangedAtMs + leaseDurationMs;
    const nextLeaseNumber = (): number => {
      this.#lastLeaseNumber += 1;
      return this.#lastLeaseNumber;
    };
    const durationMs = leaseDurationMs;
    const ledger = new AllowanceLedger({
      accountId,
      lendingStartsAtMs,
      nextLeaseNumber,
      leaseDurationMs: durationMs,
    });
    this.#ledgers.set(accountId, ledger);
    return ledger;
  }

  #buildContext(accountId: string): LedgerContext | undefined {
    const { clock, configuration, membership } = this.#options;
    const account = configuration.findAccount(accountId);
    if (!account) return undefined;
    const reachableHosts = membership
      .listEntryHosts()
      .filter((host) => host.state !== PeerState.Suspected)
      .map(({ identity }): [string, string] => [identity.id, identity.incarnation]);
    return {
      limits: account.limits,
      listedIds: this.#knownIds,
      reachableIncarnations: new Map(reachableHosts),
      maxRequestMs: account.longestDeadlineMs,
      nowMs: clock.nowMs(),
    };
  }

  /**
   * Sends leases that are due without a request. This entry host confirms its own
   * lease while the loop runs; the guard keeps that from starting a nested loop.
   */
  #sendDueLeases(ledger: AllowanceLedger, accountId: string, context: LedgerContext): void {
    this.#isRoundDue = true;
    if (this.#isSending) return;
    this.#isSending = true;
    while (this.#isRoundDue) {
      this.#isRoundDue = false;
      ledger.listDueHosts(context).forEach((entryHostId) => {
        this.#sendLease(ledger.grant(entryHostId, context), accountId);
      });
    }
    this.#isSending = false;
  }

  #sendLease(grant: LedgerGrant | undefined, accountId: string): void {
    if (!grant) return;
    this.#options.metrics.count('allowance_leases_total');
    this.#options.sendLease(grant, accountId);
  }
}
