/**
 * Admission of requests within the limits of their client accounts.
 *
 * @module
 */
import type { AccountContract } from '../../domain/contracts/types.js';

/** An admitted request, which counts against its account's limits until it is released. */
export interface Admission {
  /** Ends the admission. @param usedTokens - prompt and output tokens that were actually used */
  release(usedTokens: number): void;
}

/** Admits requests within their accounts' limits. */
export abstract class AllowanceSource {
  /**
   * Admits one request or refuses it at once, without waiting.
   *
   * @param account - the account whose limits apply
   * @param expectedTokens - predicted prompt and output tokens
   * @returns the admission; it must be released
   * @throws SchedulerError of kind RateLimited, TokensLimited or InFlightLimited
   */
  abstract admit(account: AccountContract, expectedTokens: number): Admission;
}
