/**
 * The allowance home's work for all accounts that it is the home of.
 *
 * @module
 */
import { AllowanceLedger, LIMIT_KINDS, pickAllowanceHome } from '../../domain/limits/mod.js';
import type { LedgerContext, LedgerGrant } from '../../domain/limits/mod.js';
import { PeerState } from '../../domain/membership/types.js';
import type { EntryHostIdentity } from '../../domain/membership/types.js';
import type { AllowanceRequestMessage, Clock, EventLog, Metrics } from '../../ports/mod.js';
import type { ConfigurationView, MembershipView } from '../views/mod.js';

/** What the lender works with. */
export interface AllowanceLenderOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly configuration: ConfigurationView;
  readonly membership: MembershipView;
  /** Life of a lease in milliseconds. */
  readonly leaseLifeMs: number;
  /** Delivers a lease, to this entry host itself too. */
  readonly sendLease: (grant: LedgerGrant, accountId: string) => void;
}

/** Keeps a ledger for each account that somebody asks a share of. */
export class AllowanceLender {
  readonly #options: AllowanceLenderOptions;

  readonly #ledgers = new Map<string, AllowanceLedger>();

  #listedIds: readonly string[];

  #lastLease = 0;

  /** Set while leases go out; a confirmation that comes meanwhile asks for one more round. */
  #isSending = false;

  #isRoundDue = false;

  /** Since when this view of the host list holds, or the process runs. */
  #listedSinceMs: number;

  /** @param options - what it works with */
  constructor(options: AllowanceLenderOptions) {
    this.#options = options;
    this.#listedIds = options.membership.listListedIds();
    this.#listedSinceMs = options.clock.nowMs();
  }

  /** Takes a request of another entry host, or of this one. */
  handleRequest(from: EntryHostIdentity, message: AllowanceRequestMessage): void {
    const { accountId } = message;
    const context = this.#buildContext(accountId);
    if (!context || !this.#isHome(accountId)) return;
    const ledger = this.#openLedger(accountId);
    const { requestNumber, heldLease, running } = message;
    ledger.record(
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
    if (requestNumber > 0 && hasDemand) this.#send(ledger.grant(from.id, context), accountId);
    this.#sendDue(ledger, accountId, context);
  }

  /**
   * Renews what is due without being asked, drops what is no longer needed and
   * notes a changed host list.
   */
  update(listedIds: readonly string[]): void {
    if (listedIds.join() !== this.#listedIds.join()) {
      this.#listedIds = listedIds;
      this.#listedSinceMs = this.#options.clock.nowMs();
    }
    this.#ledgers.forEach((ledger, accountId) => {
      const context = this.#buildContext(accountId);
      if (!context || !this.#isHome(accountId) || ledger.isIdle(context))
        this.#ledgers.delete(accountId);
      else this.#sendDue(ledger, accountId, context);
    });
  }

  #isHome(accountId: string): boolean {
    return pickAllowanceHome(accountId, this.#listedIds) === this.#options.membership.self.id;
  }

  #openLedger(accountId: string): AllowanceLedger {
    const known = this.#ledgers.get(accountId);
    if (known) return known;
    const { leaseLifeMs } = this.#options;
    // Another home, or this process before its restart, may have leases out.
    const quietUntilMs = this.#listedSinceMs + leaseLifeMs;
    const nextLeaseNumber = (): number => {
      this.#lastLease += 1;
      return this.#lastLease;
    };
    const lifeMs = leaseLifeMs;
    const ledger = new AllowanceLedger({ accountId, quietUntilMs, nextLeaseNumber, lifeMs });
    this.#ledgers.set(accountId, ledger);
    return ledger;
  }

  #buildContext(accountId: string): LedgerContext | undefined {
    const { clock, configuration, membership } = this.#options;
    const account = configuration.findAccount(accountId);
    if (!account) return undefined;
    const heard = membership
      .listEntryHosts()
      .filter((host) => host.state !== PeerState.Suspected)
      .map(({ identity }): [string, string] => [identity.id, identity.incarnation]);
    return {
      limits: account.limits,
      listedIds: this.#listedIds,
      reachable: new Map(heard),
      maxRunMs: account.longestDeadlineMs,
      nowMs: clock.nowMs(),
    };
  }

  /**
   * Sends leases that nobody asked for. This entry host confirms its own lease
   * while the loop runs; without the guard that would start the same loop inside.
   */
  #sendDue(ledger: AllowanceLedger, accountId: string, context: LedgerContext): void {
    this.#isRoundDue = true;
    if (this.#isSending) return;
    this.#isSending = true;
    while (this.#isRoundDue) {
      this.#isRoundDue = false;
      ledger.listDue(context).forEach((entryHostId) => {
        this.#send(ledger.grant(entryHostId, context), accountId);
      });
    }
    this.#isSending = false;
  }

  #send(grant: LedgerGrant | undefined, accountId: string): void {
    if (!grant) return;
    this.#options.metrics.count('allowance_leases_total');
    this.#options.sendLease(grant, accountId);
  }
}
