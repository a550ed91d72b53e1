/**
 * How the memory of a process is divided among what fills it: `divideMemory(160_000_000)`.
 *
 * @module
 */
export { DEFAULT_MEMORY_BYTES, divideMemory } from './memory_shares.js';
export type { MemoryShares } from './memory_shares.js';
export { ByteBudget } from './byte_budget.js';
export { createMemoryBudgets } from './memory_budgets.js';
export type { MemoryBudgets } from './memory_budgets.js';
export { HeldBytes } from './held_bytes.js';
