/**
 * What the parts of the caller share.
 *
 * @module
 */
import type { Clock } from '../ports/mod.js';
import type { AddressBook } from './_address_book.js';
import type { Agents } from './_exchange.js';

/** Shared by all calls of one client. */
export interface CallContext {
  readonly clock: Clock;
  readonly agents: Agents;
  readonly addresses: AddressBook;
  readonly apiKey: string;
  /** Silence after which the caller asks whether it misses something, in milliseconds. */
  readonly silenceTimeoutMs: number;
}

/** Most tries in a row that bring nothing. */
export const MAX_ATTEMPTS = 6;

const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 2000;

/** @param apiKey - the caller's key. @returns the header that carries it */
export function buildAuthorization(apiKey: string): Readonly<Record<string, string>> {
  return { authorization: `Bearer ${apiKey}` };
}

/**
 * Waits between two rounds over the addresses.
 *
 * @param clock - the clock
 * @param retry - rounds before, from 0 on; the pause doubles with each
 */
export function waitBeforeRetry(clock: Clock, retry: number): Promise<void> {
  const backoffMs = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** retry);
  return new Promise((resolve) => {
    clock.setTimer(backoffMs, resolve);
  });
}
