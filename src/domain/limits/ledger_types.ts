/**
 * What goes into and comes out of an account's ledger.
 *
 * @module
 */
import type { AccountLimits } from '../contracts/types.js';
import type { AllowanceShare } from './share.js';

/** What one entry host tells of its demand. */
export interface DemandReport {
  readonly entryHostId: string;
  readonly incarnation: string;
  /** 0: it only confirms the lease that it holds. */
  readonly requestNumber: number;
  /** Number of the lease that it holds of this home; 0: none. */
  readonly heldLease: number;
  readonly demand: AllowanceShare;
  /** Requests that are in flight there now. */
  readonly running: number;
}

/** What holds at the moment of a decision. */
export interface LedgerContext {
  readonly limits: AccountLimits;
  readonly listedIds: readonly string[];
  /** IDs and incarnations of the listed entry hosts that are heard of, this one included. */
  readonly reachable: ReadonlyMap<string, string>;
  /** Longest time that a request is in flight, in milliseconds. */
  readonly maxRunMs: number;
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
  readonly validMs: number;
}
