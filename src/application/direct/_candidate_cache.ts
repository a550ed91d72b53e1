/**
 * Caches, for a short time, the list of backend servers that each service may use.
 *
 * @module
 */
import type { Candidate } from '../../domain/backend_servers/mod.js';
import type { Clock } from '../../ports/mod.js';

/**
 * Lifetime of a cached list, in milliseconds. Each call reads its list several times. A change
 * that is reported clears the cache at once; a server whose registry entry expires stays in the
 * list for up to this long.
 */
const LIST_TTL_MS = 20;

interface CachedList {
  readonly candidates: readonly Candidate[];
  readonly builtAtMs: number;
}

/** Caches one list of candidates for each service. */
export class CandidateCache {
  readonly #clock: Clock;

  readonly #build: (serviceId: string) => readonly Candidate[];

  readonly #lists = new Map<string, CachedList>();

  /**
   * @param clock - provides monotonic time
   * @param build - builds the current list of a service
   */
  constructor(clock: Clock, build: (serviceId: string) => readonly Candidate[]) {
    this.#clock = clock;
    this.#build = build;
  }

  /** @param serviceId - ID of the service. @returns the cached list, or a new one once it expired */
  get(serviceId: string): readonly Candidate[] {
    const nowMs = this.#clock.nowMs();
    const cached = this.#lists.get(serviceId);
    if (cached && nowMs - cached.builtAtMs < LIST_TTL_MS) return cached.candidates;
    const candidates = this.#build(serviceId);
    this.#lists.set(serviceId, { candidates, builtAtMs: nowMs });
    return candidates;
  }

  /** Drops all lists. Called when any backend server changes. */
  clear(): void {
    this.#lists.clear();
  }
}
