/**
 * All suspects, by content and by crash, in bounded number.
 *
 * @module
 */
import { Suspect } from './_suspect.js';

/** Most contents that are remembered. Callers may invent new ones all the time. */
const MAX_SUSPECTS = 512;

/** Keeps suspects, and finds those that ran at the same crashes. */
export class SuspectTable {
  readonly #suspects = new Map<string, Suspect>();

  /** Contents that ran at a server's end, by crash. */
  readonly #contents = new Map<string, Set<string>>();

  /** Contents that are remembered. */
  get size(): number {
    return this.#suspects.size;
  }

  /** @param contentId - a content. @returns what is known of it */
  find(contentId: string): Suspect | undefined {
    return this.#suspects.get(contentId);
  }

  /** @returns all, in no order */
  list(): Suspect[] {
    return [...this.#suspects.values()];
  }

  /** @returns all, those that weigh most first */
  listByWeight(): Suspect[] {
    return this.list().sort((a, b) => compareWeight(b, a));
  }

  /** @param crashIds - crashes. @returns all that ran at any of them */
  listAt(crashIds: Iterable<string>): Suspect[] {
    const contentIds = [...crashIds].flatMap((id) => [...(this.#contents.get(id) ?? [])]);
    return [...new Set(contentIds)].flatMap((id) => this.#suspects.get(id) ?? []);
  }

  /** @param contentId - a content. @returns its entry, made where there is none */
  take(contentId: string): Suspect {
    const found = this.#suspects.get(contentId);
    if (found) return found;
    // New contents must not push those out that are held.
    if (this.#suspects.size >= MAX_SUSPECTS) this.#removeLightest();
    const suspect = new Suspect(contentId);
    this.#suspects.set(contentId, suspect);
    return suspect;
  }

  /** @param suspect - a suspect. @param crashId - a crash at which it ran */
  addCrash({ contentId }: Suspect, crashId: string): void {
    const contents = this.#contents.get(crashId) ?? new Set();
    this.#contents.set(crashId, contents.add(contentId));
  }

  /** @param suspect - a suspect. @param crashId - a crash that isn't kept for it any more */
  removeCrash({ contentId }: Suspect, crashId: string): void {
    const contents = this.#contents.get(crashId);
    contents?.delete(contentId);
    if (contents?.size === 0) this.#contents.delete(crashId);
  }

  /** @param suspect - a suspect that is forgotten */
  remove(suspect: Suspect): void {
    this.#suspects.delete(suspect.contentId);
    suspect.runs.forEach(({ crashId }) => this.removeCrash(suspect, crashId));
  }

  #removeLightest(): void {
    const [first, ...others] = this.list();
    if (!first) return;
    this.remove(others.reduce((a, b) => (compareWeight(b, a) < 0 ? b : a), first));
  }
}

/** Held ones weigh most, then those with more crashes, then those that were seen later. */
function compareWeight(a: Suspect, b: Suspect): number {
  const byHold = Number(a.isHeld) - Number(b.isHeld);
  const byCrashes = a.suspectedCount - b.suspectedCount;
  return byHold || byCrashes || a.seenAtMs - b.seenAtMs;
}
