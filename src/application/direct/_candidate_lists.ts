/**
 * Backend servers that may be given work, in lists that are kept for a moment.
 *
 * @module
 */
import type { Candidate } from '../../domain/backend_servers/mod.js';
import type { Clock } from '../../ports/mod.js';

/**
 * How long a list is kept, in milliseconds. A list is asked for several times a call;
 * servers leave it at once when word of it comes, and those whose entry has lapsed, this
 * much later.
 */
const LIST_TTL_MS = 20;

interface CachedList {
  readonly candidates: readonly Candidate[];
  readonly builtAtMs: number;
}

/** Keeps one list for each service. */
export class CandidateLists {
  readonly #clock: Clock;

  readonly #build: (serviceId: string) => readonly Candidate[];

  readonly #lists = new Map<string, CachedList>();

  /**
   * @param clock - time
   * @param build - makes the list of a service anew
   */
  constructor(clock: Clock, build: (serviceId: string) => readonly Candidate[]) {
    this.#clock = clock;
    this.#build = build;
  }

  /** @param serviceId - which service. @returns its list */
  take(serviceId: string): readonly Candidate[] {
    const nowMs = this.#clock.nowMs();
    const cached = this.#lists.get(serviceId);
    if (cached && nowMs - cached.builtAtMs < LIST_TTL_MS) return cached.candidates;
    const candidates = this.#build(serviceId);
    this.#lists.set(serviceId, { candidates, builtAtMs: nowMs });
    return candidates;
  }

  /** Drops all lists, as something has changed. */
  clear(): void {
    this.#lists.clear();
  }
}
