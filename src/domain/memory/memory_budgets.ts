/**
 * Counts what the calls of a process keep against its shares of memory.
 *
 * @module
 */
import { ByteBudget } from './byte_budget.js';
import type { MemoryShares } from './memory_shares.js';

/** Part of the share of endpoints that their requests may take; the rest is for connections. */
const ENDPOINT_REQUESTS_SHARE = 1 / 2;

/** What the calls of a process keep, by kind. */
export interface MemoryBudgets {
  /** Bodies of callers' requests; its limit has the reserve for small ones. */
  readonly bodies: ByteBudget;
  /** Answers that wait for callers to read them. */
  readonly unsent: ByteBudget;
  /** Answers and events that are kept until they are complete. */
  readonly answers: ByteBudget;
  /** Heads of requests, and what a call takes in the heap. */
  readonly requests: ByteBudget;
  /** Requests of clients that ask for readiness, addresses or metrics. */
  readonly endpoints: ByteBudget;
  /** Input that was read and waits to be parsed. */
  readonly input: ByteBudget;
}

/**
 * @param shares - how the memory of the process is divided
 * @returns budgets of which nothing is used
 */
export function createMemoryBudgets(shares: MemoryShares): MemoryBudgets {
  return {
    bodies: new ByteBudget(shares.bodies + shares.smallBodies),
    unsent: new ByteBudget(shares.unsent),
    answers: new ByteBudget(shares.answers),
    requests: new ByteBudget(shares.requests),
    endpoints: new ByteBudget(shares.endpoints * ENDPOINT_REQUESTS_SHARE),
    input: new ByteBudget(shares.input),
  };
}
