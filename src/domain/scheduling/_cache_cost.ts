/**
 * What it costs to run a request where its prompt's prefix is not cached.
 *
 * @module
 */
import { BLOCK_TOKENS } from './prompt.js';
import type { ServerCandidate } from './server_choice.js';
import type { ServerWorkNow } from './_server_fit.js';
import type { ServerState } from './server_state.js';
import type { SlotDemand } from './slot_demand.js';

const MS_PER_SECOND = 1000;

/** Fewest tokens computed again for which a slot is kept free for a moment. */
const MIN_HELD_TOKENS = 256;

/**
 * Least time for which streams stand still, summed over them, that a slot is
 * kept free for, in milliseconds. It is the longest time that the slot is free.
 */
const MIN_GAIN_MS = 200;

/**
 * Streams that a repeated prefill holds up, for each that runs there now: those
 * and the ones that come while it is under way.
 */
const SHARED_COST_FACTOR = 2;

/**
 * Predicts what is computed again when a request runs on a backend server,
 * although the cache of some other one holds it. A prefill that is under way
 * there does not count: what is sent beside it is computed twice.
 *
 * @param server - where it would run
 * @param usable - all that may serve it
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 * @returns prompt tokens; 0 below a block
 */
export function predictRepeated(
  server: ServerState,
  usable: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): number {
  const { blockHashes } = demand;
  if (blockHashes.length === 0) return 0;
  const most = computeMostHeld(usable, demand, nowMs);
  const repeated = most - server.hints.countHeldTokens(blockHashes, nowMs, false);
  return repeated < BLOCK_TOKENS ? 0 : repeated;
}

/**
 * Tells whether to keep a slot free for a moment rather than compute a prefix
 * again. An engine prefills between the steps of all its streams: each of them
 * stands still meanwhile.
 *
 * @param server - where the slot is
 * @param usable - all that may serve the request
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 */
export function isWorthHolding(
  server: ServerState,
  usable: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): boolean {
  const repeated = predictRepeated(server, usable, demand, nowMs);
  if (repeated < MIN_HELD_TOKENS) return false;
  return computePrefillMs(server, repeated) * server.held.size >= MIN_GAIN_MS;
}

/**
 * Builds candidates for a choice. What a repeated prefill costs the streams
 * beside it counts as if the request itself took longer.
 *
 * @param chosen - those that may be taken
 * @param warm - those whose caches are compared with; none for a choice by
 *   finishing time alone
 * @param demand - the request
 * @param nowMs - monotonic time in milliseconds
 * @returns a candidate for each
 */
export function buildCandidates(
  chosen: readonly ServerWorkNow[],
  warm: readonly ServerState[],
  demand: SlotDemand,
  nowMs: number,
): ServerCandidate[] {
  const mostHeld = computeMostHeld(warm, demand, nowMs);
  return chosen.map(({ server, workMs }) => {
    const { hints, held, outstandingMs, reportedLoad, spec } = server;
    const window = server.window.getSize(nowMs);
    const heldTokens = hints.countHeldTokens(demand.blockHashes, nowMs, true);
    const repeated = Math.max(0, mostHeld - heldTokens);
    const sharedMs = computePrefillMs(server, repeated) * held.size * SHARED_COST_FACTOR;
    return {
      id: spec.id,
      finishMs: workMs + outstandingMs / window + sharedMs,
      cachedTokens: hints.predictCachedTokens(demand.blockHashes, nowMs),
      utilization: held.size / window,
      reportedLoad,
    };
  });
}

/** Tokens of the prompt that the warmest of them holds. */
function computeMostHeld(
  servers: readonly ServerState[],
  { blockHashes }: SlotDemand,
  nowMs: number,
): number {
  return servers.reduce(
    (most, { hints }) => Math.max(most, hints.countHeldTokens(blockHashes, nowMs, true)),
    0,
  );
}

function computePrefillMs(server: ServerState, tokens: number): number {
  return (tokens * MS_PER_SECOND) / server.speed.prefillTokensPerSecond;
}
