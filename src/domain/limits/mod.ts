/**
 * Limits of client accounts across all entry hosts, without input or output: token
 * buckets, base shares that apply without communication, the ledger by which one
 * entry host lends what the others don't use, and the borrower's lease holder.
 * `new TokenBucket({ rate: 5, capacity: 5, nowMs }).take(1, nowMs)`.
 *
 * @module
 */
export { TokenBucket } from './token_bucket.js';
export type { TokenBucketOptions } from './token_bucket.js';
export {
  buildShare,
  computeBaseShare,
  computeFloorShare,
  LIMIT_KINDS,
  LimitKind,
  listBaseShares,
} from './share.js';
export type { AllowanceShare } from './share.js';
export { pickAllowanceLender } from './allowance_lender.js';
export { LeaseHolder } from './lease_holder.js';
export type { ReceivedLease } from './lease_holder.js';
export { AllowanceLedger } from './allowance_ledger.js';
export type { AllowanceLedgerOptions } from './allowance_ledger.js';
export type { DemandReport, LedgerContext, LedgerGrant } from './ledger_types.js';
export {
  ACK_REQUEST_NUMBER,
  RESTRICTION_DURATION_FACTOR,
  LEASE_DURATION_MS,
} from './lease_times.js';
export { SharedBucket } from './shared_bucket.js';
export type { SpendingReport, SharedBucketLimit, SharedBucketOptions } from './shared_bucket.js';
