/**
 * Divides the memory that a process may use among what fills it.
 *
 * @module
 */

/** Memory that is assumed if a deployment names none, in bytes. */
export const DEFAULT_MEMORY_BYTES = 256_000_000;

/** What the program, its heap without calls, and the state read from the store take, in bytes. */
const PROGRAM_BYTES = 96_000_000;

/** Least memory that is divided among calls, so that a small machine serves at all, in bytes. */
const MIN_CALLS_BYTES = 32_000_000;

/** Shares of what the program leaves; together 1. */
const BODIES_SHARE = 0.16;
const SMALL_BODIES_SHARE = 0.04;
const UNSENT_SHARE = 0.18;
const ANSWERS_SHARE = 0.1;
const REQUESTS_SHARE = 0.2;
const CONNECTIONS_SHARE = 0.12;
const ENDPOINTS_SHARE = 0.04;
const INPUT_SHARE = 0.06;
const GARBAGE_SHARE = 0.1;

/** Upper bounds of what the calls of a process hold, and of what the program itself takes, in bytes. */
export interface MemoryShares {
  /** Code, heap without calls, and the state read from the store. */
  readonly program: number;
  /** Bodies of callers' requests, which are sent once more if a backend server fails. */
  readonly bodies: number;
  /** Reserve for small bodies. */
  readonly smallBodies: number;
  /** Answers that wait for callers to read them. */
  readonly unsent: number;
  /** Answers and events that are kept until they are complete. */
  readonly answers: number;
  /** Heads of requests, and what a call takes in the heap. */
  readonly requests: number;
  /** Connections of callers. */
  readonly connections: number;
  /** Connections and requests of clients that ask for readiness, addresses or metrics. */
  readonly endpoints: number;
  /** Input that was read and waits to be parsed. */
  readonly input: number;
  /** Buffers that nobody uses any more and that have not been collected yet. */
  readonly garbage: number;
}

/**
 * Divides memory. One limit for each use keeps a flood of one kind from taking the room of the others.
 *
 * @param memoryBytes - memory beyond which the system ends the process
 * @returns the bounds, whose sum is at most that memory if it is 128 MB or more
 */
export function divideMemory(memoryBytes: number): MemoryShares {
  const callsBytes = Math.max(MIN_CALLS_BYTES, memoryBytes - PROGRAM_BYTES);
  return {
    program: PROGRAM_BYTES,
    bodies: Math.floor(callsBytes * BODIES_SHARE),
    smallBodies: Math.floor(callsBytes * SMALL_BODIES_SHARE),
    unsent: Math.floor(callsBytes * UNSENT_SHARE),
    answers: Math.floor(callsBytes * ANSWERS_SHARE),
    requests: Math.floor(callsBytes * REQUESTS_SHARE),
    connections: Math.floor(callsBytes * CONNECTIONS_SHARE),
    endpoints: Math.floor(callsBytes * ENDPOINTS_SHARE),
    input: Math.floor(callsBytes * INPUT_SHARE),
    garbage: Math.floor(callsBytes * GARBAGE_SHARE),
  };
}
