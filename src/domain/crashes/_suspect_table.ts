/**
 * Bounded table of all suspects, indexed by content and by crash.
 *
 * @module
 */
import { Suspect } from './_suspect.js';

/** Maximum number of contents that are remembered, as callers may send new ones all the time. */
const MAX_SUSPECTS = 512;

/** Stores suspects and finds those that ran at the same crashes. */
export class SuspectTable {
  readonly #suspectsByContent = new Map<string, Suspect>();

  /** IDs of the contents that were running at a crash, by crash ID. */
  readonly #contentIdsByCrash = new Map<string, Set<string>>();

  /** Number of contents that are remembered. */
  get size(): number {
    return this.#suspectsByContent.size;
  }

  /** @param contentId - ID of a content. @returns its suspect, if there is one */
  find(contentId: string): Suspect | undefined {
    return this.#suspectsByContent.get(contentId);
  }

  /** @returns all suspects, in no particular order */
  list(): Suspect[] {
    return [...this.#suspectsByContent.values()];
  }

  /** @returns all suspects in descending retention priority */
  listByRetentionPriority(): Suspect[] {
    return this.list().sort((a, b) => compareRetentionPriority(b, a));
  }

  /** @param crashIds - IDs of crashes. @returns all suspects that ran at any of them */
  listByCrashes(crashIds: Iterable<string>): Suspect[] {
    const contentIds = [...crashIds].flatMap((id) => [...(this.#contentIdsByCrash.get(id) ?? [])]);
    return [...new Set(contentIds)].flatMap((id) => this.#suspectsByContent.get(id) ?? []);
  }

  /** @param contentId - ID of a content. @returns its suspect, created if there is none */
  getOrCreate(contentId: string): Suspect {
    const found = this.#suspectsByContent.get(contentId);
    if (found) return found;
    // Evicts by priority, so that new contents don't displace quarantined ones.
    if (this.#suspectsByContent.size >= MAX_SUSPECTS) this.#evictLowestPriority();
    const suspect = new Suspect(contentId);
    this.#suspectsByContent.set(contentId, suspect);
    return suspect;
  }

  /** @param suspect - a suspect. @param crashId - a crash at which it ran */
  addCrash({ contentId }: Suspect, crashId: string): void {
    const contentIds = this.#contentIdsByCrash.get(crashId) ?? new Set();
    this.#contentIdsByCrash.set(crashId, contentIds.add(contentId));
  }

  /** @param suspect - a suspect. @param crashId - a crash whose run was evicted from it */
  removeCrash({ contentId }: Suspect, crashId: string): void {
    const contentIds = this.#contentIdsByCrash.get(crashId);
    contentIds?.delete(contentId);
    if (contentIds?.size === 0) this.#contentIdsByCrash.delete(crashId);
  }

  /** @param suspect - a suspect to forget */
  remove(suspect: Suspect): void {
    this.#suspectsByContent.delete(suspect.contentId);
    suspect.runs.forEach(({ crashId }) => this.removeCrash(suspect, crashId));
  }

  #evictLowestPriority(): void {
    const [first, ...others] = this.list();
    if (!first) return;
    this.remove(others.reduce((a, b) => (compareRetentionPriority(b, a) < 0 ? b : a), first));
  }
}

/** Ranks quarantined contents highest, then those with more crashes, then those seen later. */
function compareRetentionPriority(a: Suspect, b: Suspect): number {
  const byQuarantine = Number(a.isHeld) - Number(b.isHeld);
  const byCrashes = a.suspectedCrashCount - b.suspectedCrashCount;
  return byQuarantine || byCrashes || a.lastSeenAtMs - b.lastSeenAtMs;
}
