/**
 * Derives what an entry host may keep for its callers from the limits of its process.
 *
 * @module
 */
import { computeMaxConnections, InputGate } from '../adapters/http_common/mod.js';
import { BufferCollector } from '../adapters/memory/mod.js';
import { createMemoryBudgets, DEFAULT_MEMORY_BYTES, divideMemory } from '../domain/memory/mod.js';
import type { MemoryBudgets, MemoryShares } from '../domain/memory/mod.js';
import { ListenerName } from './_close_report.js';
import type { EndpointName } from './_close_report.js';
import type { DirectSettings } from './direct_settings.js';

const BYTES_PER_MEGABYTE = 1_000_000;

/** Descriptors that the system keeps for files. */
const FILE_DESCRIPTORS = 200;

/** Bytes received between two checks of what buffers take, as a share of what may wait for collection. */
const COLLECTOR_STEP_SHARE = 1 / 2;

/** Parts of the memory and of the descriptors for endpoints that each of them may use. */
const ADDRESS_BOOK_SHARE = 2 / 3;
const READINESS_SHARE = 1 / 6;
const METRICS_SHARE = 1 / 6;

/** Part of the descriptors that endpoints may use. */
const ENDPOINTS_DESCRIPTOR_SHARE = 1 / 8;

/** Part of the descriptors for links of peers that have not proved their key. */
const UNPROVEN_LINKS_DESCRIPTOR_SHARE = 1 / 16;

/** Bounds of {@link DirectMemory.maxUnprovenLinks}: a whole fleet may start at once. */
const MIN_UNPROVEN_LINKS = 16;
const MAX_UNPROVEN_LINKS = 256;

/** Most connections of each endpoint. */
type EndpointConnections = Readonly<Record<EndpointName, number>>;

/** What an entry host may keep for its callers. */
export interface DirectMemory {
  readonly budgets: MemoryBudgets;
  readonly collector: BufferCollector;
  readonly maxConnections: number;
  readonly endpointConnections: EndpointConnections;
  /** Most connections at the address for peers that have not proved the key. */
  readonly maxUnprovenLinks: number;
  /** Spreads the input of all listeners over turns of the event loop. */
  readonly gate: InputGate;
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
  const maxSockets = maxDescriptors === undefined ? undefined : maxDescriptors - FILE_DESCRIPTORS;
  const budgets = createMemoryBudgets(shares);
  const collector = createCollector(shares);
  return {
    budgets,
    collector,
    maxConnections: computeMaxConnections({ memoryBytes: shares.connections, maxSockets }),
    endpointConnections: divideEndpoints(shares.endpoints - budgets.endpoints.maxBytes, maxSockets),
    maxUnprovenLinks: computeUnprovenLinks(maxSockets),
    gate: new InputGate({
      budget: budgets.input,
      onParsed: (bytes) => collector.record(bytes),
    }),
  };
}

function createCollector(shares: MemoryShares): BufferCollector {
  const { bodies, smallBodies, unsent, answers, input, garbage } = shares;
  const stepBytes = garbage * COLLECTOR_STEP_SHARE;
  return new BufferCollector({
    maxBytes: bodies + smallBodies + unsent + answers + input + garbage - stepBytes,
    stepBytes,
  });
}

function divideEndpoints(memoryBytes: number, maxSockets?: number): EndpointConnections {
  const divide = (share: number): number =>
    computeMaxConnections({
      memoryBytes: memoryBytes * share,
      maxSockets,
      descriptorShare: ENDPOINTS_DESCRIPTOR_SHARE * share,
    });
  return {
    [ListenerName.Readiness]: divide(READINESS_SHARE),
    [ListenerName.AddressBook]: divide(ADDRESS_BOOK_SHARE),
    [ListenerName.Metrics]: divide(METRICS_SHARE),
  };
}

function computeUnprovenLinks(maxSockets = Infinity): number {
  const links = Math.floor(maxSockets * UNPROVEN_LINKS_DESCRIPTOR_SHARE);
  return Math.min(Math.max(links, MIN_UNPROVEN_LINKS), MAX_UNPROVEN_LINKS);
}
