/**
 * Inputs and outputs of an account's allowance ledger.
 *
 * @module
 */
import type { AccountLimits } from '../contracts/types.js';
import type { AllowanceShare } from './share.js';

/** A report of an entry host to the lender. */
export interface DemandReport {
  readonly entryHostId: string;
  readonly incarnation: string;
  /** Number of the lease request; 0 if the report only confirms the held lease. */
  readonly requestNumber: number;
  /** Number of the lease that it holds from this lender; 0: none. */
  readonly heldLease: number;
  readonly demand: AllowanceShare;
  /** Number of requests that it has in flight. */
  readonly running: number;
}

/** The circumstances of one decision of the ledger. */
export interface LedgerContext {
  readonly limits: AccountLimits;
  /** IDs of the entry hosts on the host list. */
  readonly listedIds: readonly string[];
  /** Incarnations of the reachable listed entry hosts by ID, this host included. */
  readonly reachableIncarnations: ReadonlyMap<string, string>;
  /** Maximum time that a request may be in flight, in milliseconds. */
  readonly maxRequestMs: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
}

/** A lease to be sent. */
export interface LedgerGrant {
  readonly entryHostId: string;
  readonly incarnation: string;
  readonly leaseNumber: number;
  readonly requestNumber: number;
  readonly share: AllowanceShare;
  /** Duration of the lease in milliseconds. */
  readonly validMs: number;
}
