/**
 * Derives what an entry host may keep for its callers from the limits of its process.
 *
 * @module
 */
import { computeMaxConnections } from '../adapters/direct_http/mod.js';
import { BufferCollector } from '../adapters/memory/mod.js';
import { createMemoryBudgets, DEFAULT_MEMORY_BYTES, divideMemory } from '../domain/memory/mod.js';
import type { MemoryBudgets } from '../domain/memory/mod.js';
import type { DirectSettings } from './direct_settings.js';

const BYTES_PER_MEGABYTE = 1_000_000;

/** Descriptors that the system keeps for files. */
const FILE_DESCRIPTORS = 200;

/** Bytes received between two checks of what buffers take, as a share of what may wait for collection. */
const COLLECTOR_STEP_SHARE = 1 / 2;

/** What an entry host may keep for its callers. */
export interface DirectMemory {
  readonly budgets: MemoryBudgets;
  readonly collector: BufferCollector;
  readonly maxConnections: number;
}

/**
 * Divides the memory and the descriptors of this process.
 *
 * @param settings - checked settings
 * @returns what callers may make it keep
 */
export function createDirectMemory({ memoryMb, maxDescriptors }: DirectSettings): DirectMemory {
  const shares = divideMemory(
    memoryMb === undefined ? DEFAULT_MEMORY_BYTES : memoryMb * BYTES_PER_MEGABYTE,
  );
  const { bodies, smallBodies, unsent, answers, garbage } = shares;
  const stepBytes = garbage * COLLECTOR_STEP_SHARE;
  return {
    budgets: createMemoryBudgets(shares),
    collector: new BufferCollector({
      maxBytes: bodies + smallBodies + unsent + answers + garbage - stepBytes,
      stepBytes,
    }),
    maxConnections: computeMaxConnections({
      memoryBytes: shares.connections,
      maxSockets: maxDescriptors === undefined ? undefined : maxDescriptors - FILE_DESCRIPTORS,
    }),
  };
}
