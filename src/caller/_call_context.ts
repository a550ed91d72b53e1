/**
 * Context, authorization and backoff shared by all calls of a caller client.
 *
 * @module
 */
import type { Clock } from '../ports/mod.js';
import type { AddressBook } from './_address_book.js';
import type { Agents } from './_exchange.js';

/** Dependencies and settings shared by all calls of one caller client. */
export interface CallContext {
  readonly clock: Clock;
  readonly agents: Agents;
  readonly addresses: AddressBook;
  readonly apiKey: string;
  /**
   * Time without data, in milliseconds, after which the client asks an entry host for the state
   * of the request.
   */
  readonly silenceTimeoutMs: number;
}

/** Maximum number of consecutive attempts without progress. */
export const MAX_ATTEMPTS = 6;

const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2000;

/** @param apiKey - API key of the client account. @returns the header that carries the key */
export function buildAuthorization(apiKey: string): Readonly<Record<string, string>> {
  return { authorization: `Bearer ${apiKey}` };
}

/**
 * Waits before an attempt is repeated, with exponential backoff.
 *
 * @param clock - sets the timer
 * @param retry - number of earlier retries, from 0 on; each doubles the wait, up to the maximum
 */
export function waitBeforeRetry(clock: Clock, retry: number): Promise<void> {
  const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** retry);
  return new Promise((resolve) => {
    clock.setTimer(backoffMs, resolve);
  });
}
