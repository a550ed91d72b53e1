/**
 * Contents in doubt, and their trials.
 *
 * @module
 */
import { EndCounts } from './_end_counts.js';
import { countOwnEnds, listTrials, readDoubt } from './_judge.js';
import { SuspectState } from './_suspect.js';
import type { SuspectTable } from './_suspect_table.js';
import type { Doubt } from './trial_plan.js';

/** Time in which a trial keeps others from beginning, so that each shows one content's doing, in milliseconds. */
const TRIAL_OPEN_MS = 1_000;

/** Reads the doubts out of what is known of all suspects. */
export class DoubtList {
  readonly #table: SuspectTable;

  #places: ReadonlyMap<string, number> | undefined;

  /** @param table - all suspects */
  constructor(table: SuspectTable) {
    this.#table = table;
  }

  /** @param contentId - a content. @returns what is known of the doubt about it; undefined without */
  find(contentId: string): Doubt | undefined {
    const suspect = this.#table.find(contentId);
    return suspect?.state === SuspectState.Doubted ? readDoubt(suspect) : undefined;
  }

  /**
   * @param contentId - a content in doubt
   * @returns its place among all of them, from 0; those that are most likely to be sound come first
   */
  findPlace(contentId: string): number {
    this.#places ??= new Map(this.#sort().map((id, place) => [id, place]));
    return this.#places.get(contentId) ?? 0;
  }

  /** Forgets the order, as what is known has changed. */
  reset(): void {
    this.#places = undefined;
  }

  #sort(): string[] {
    const all = this.#table.list();
    const counts = new EndCounts(all);
    return all
      .filter(({ state }) => state === SuspectState.Doubted)
      .map((suspect) => ({ suspect, own: countOwnEnds(suspect, counts) }))
      .sort(
        (a, b) =>
          a.own - b.own ||
          a.suspect.suspectedCount - b.suspect.suspectedCount ||
          (a.suspect.contentId < b.suspect.contentId ? -1 : 1),
      )
      .map(({ suspect: { contentId } }) => contentId);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns the content whose trial has shown nothing yet, and may show something soon
   */
  findOpen(nowMs: number): string | undefined {
    const open = this.#table.list().find((suspect) => {
      if (suspect.state !== SuspectState.Doubted || !suspect.hasTrials) return false;
      const startedAtMs = listTrials(suspect).at(-1)?.startedAtMs ?? -Infinity;
      const lastEndMs = suspect.listSuspected().at(-1)?.endedAtMs ?? -Infinity;
      return nowMs - startedAtMs < TRIAL_OPEN_MS && lastEndMs < startedAtMs;
    });
    return open?.contentId;
  }
}
