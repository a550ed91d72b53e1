/**
 * Enforces the limits of client accounts across entry hosts without shared state.
 * Each entry host admits requests by its own token buckets; for active accounts it
 * borrows from the account's allowance lender what other entry hosts don't use:
 * `manager.start(); manager.admit(account, 900).release(850)`.
 *
 * @module
 */
export { AllowanceManager } from './allowance_manager.js';
export type { AllowanceManagerOptions } from './allowance_manager.js';
