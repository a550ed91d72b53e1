/**
 * Estimates the cost of running a request on a backend server whose cache lacks
 * its prompt prefix.
 *
 * @module
 */
import { BLOCK_TOKENS } from './prompt.js';
import type { ServerCandidate } from './server_choice.js';
import type { ServerEstimate } from './_server_fit.js';
import type { ServerState } from './server_state.js';
import type { SlotDemand } from './slot_demand.js';

const MS_PER_SECOND = 1000;

/** Fewest recomputed tokens for which delaying a request is worthwhile. */
const MIN_DELAY_TOKENS = 256;

/**
 * Least total stall, summed over all streams of a backend server, for which
 * delaying a request is worthwhile, in milliseconds. The delay leaves the slot
 * idle for no longer than this.
 */
const MIN_STALL_MS = 200;

/**
 * Streams that a recomputed prefill stalls, as a multiple of the streams that
 * run now: those streams, and the ones that start during the prefill.
 */
const STALLED_STREAMS_FACTOR = 2;

/**
 * Predicts how many prompt tokens a backend server has to recompute although
 * the cache of another one holds them. A prefill in progress on the server does
 * not count as cached: a request that joins it computes the same prefix a
 * second time.
 *
 * @param server - backend server that would run the request
 * @param usable - all backend servers that may serve the request
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 * @returns prompt tokens; 0 if less than one block
 */
export function predictRecomputedTokens(
  server: ServerState,
  usable: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): number {
  const { blockHashes } = demand;
  if (blockHashes.length === 0) return 0;
  const mostCachedTokens = computeMostCachedTokens(usable, demand, nowMs);
  const recomputedTokens =
    mostCachedTokens - server.hints.countCachedTokens(blockHashes, nowMs, false);
  return recomputedTokens < BLOCK_TOKENS ? 0 : recomputedTokens;
}

/**
 * Returns whether to leave a slot idle for a moment rather than recompute a
 * prefix there. An engine interleaves prefill with the decode steps of its
 * streams, so a prefill stalls all of them.
 *
 * @param server - backend server with the free slot
 * @param usable - all backend servers that may serve the request
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 */
export function isWorthDelaying(
  server: ServerState,
  usable: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): boolean {
  const recomputedTokens = predictRecomputedTokens(server, usable, demand, nowMs);
  if (recomputedTokens < MIN_DELAY_TOKENS) return false;
  return computePrefillMs(server, recomputedTokens) * server.held.size >= MIN_STALL_MS;
}

/**
 * Builds the candidates for a choice of backend server. The stall that a
 * recomputed prefill causes to other streams is added to the request's own
 * finish time.
 *
 * @param estimates - backend servers that may be chosen
 * @param comparedServers - backend servers whose caches are compared with;
 *   empty for a choice by finish time alone
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 * @returns one candidate for each estimate
 */
export function buildCandidates(
  estimates: readonly ServerEstimate[],
  comparedServers: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): ServerCandidate[] {
  const mostCachedTokens = computeMostCachedTokens(comparedServers, demand, nowMs);
  return estimates.map(({ server, workMs }) => {
    const { hints, held, outstandingMs, reportedLoad, spec } = server;
    const windowSize = server.window.getSize(nowMs);
    const ownCachedTokens = hints.countCachedTokens(demand.blockHashes, nowMs, true);
    const recomputedTokens = Math.max(0, mostCachedTokens - ownCachedTokens);
    const stallMs = computePrefillMs(server, recomputedTokens) * held.size * STALLED_STREAMS_FACTOR;
    return {
      id: spec.id,
      finishMs: workMs + outstandingMs / windowSize + stallMs,
      cachedTokens: hints.predictCachedTokens(demand.blockHashes, nowMs),
      utilization: held.size / windowSize,
      reportedLoad,
    };
  });
}

/** Computes the most prompt tokens that any one of the servers has cached. */
function computeMostCachedTokens(
  servers: readonly ServerState[],
  { blockHashes }: SlotDemand,
  nowMs: number,
): number {
  return servers.reduce(
    (most, { hints }) => Math.max(most, hints.countCachedTokens(blockHashes, nowMs, true)),
    0,
  );
}

function computePrefillMs(server: ServerState, tokens: number): number {
  return (tokens * MS_PER_SECOND) / server.speed.prefillTokensPerSecond;
}
