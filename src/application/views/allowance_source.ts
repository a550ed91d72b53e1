/**
 * Limits of client accounts, as the owner of a request meets them.
 *
 * @module
 */
import type { AccountContract } from '../../domain/contracts/types.js';

/** A request that counts against its account's limits. */
export interface Admission {
  /** Ends it. @param usedTokens - prompt and output tokens that it really took */
  release(usedTokens: number): void;
}

/** Admits requests within their accounts' limits. */
export abstract class AllowanceSource {
  /**
   * Admits one request, or refuses it at once.
   *
   * @param account - whose limits
   * @param expectedTokens - predicted prompt and output tokens
   * @returns the admission; it must be released
   * @throws SchedulerError of kind RateLimited, TokensLimited or InFlightLimited
   */
  abstract admit(account: AccountContract, expectedTokens: number): Admission;
}
