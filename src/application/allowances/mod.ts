/**
 * Limits of client accounts that hold across entry hosts without shared state.
 * Each entry host admits by its own buckets; for accounts that are active it
 * borrows from the account's allowance home what other entry hosts don't use:
 * `keeper.start(); keeper.admit(account, 900).release(850)`.
 *
 * @module
 */
export { AllowanceKeeper } from './allowance_keeper.js';
export type { AllowanceKeeperOptions } from './allowance_keeper.js';
