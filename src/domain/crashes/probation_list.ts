/**
 * List of the contents on probation with the progress of their trials.
 *
 * @module
 */
import { CrashSuspectCounts } from './_crash_suspect_counts.js';
import { countSoleSuspectRuns, listCountedTrials, readTrialProgress } from './_derive_state.js';
import { isHoldBinding } from './_hold_scope.js';
import type { RequestScope } from './_hold_scope.js';
import { SuspectState } from './_suspect.js';
import type { SuspectTable } from './_suspect_table.js';
import type { TrialProgress } from './trial_schedule.js';

/**
 * Time for which an open trial keeps others from starting, in milliseconds, so that a crash can
 * be attributed to one content.
 */
const OPEN_TRIAL_MS = 1_000;

/**
 * Maximum number of trials of a quarantined cause by requests of another kind. With the one that a
 * quarantine takes as a rule, no more than three requests reach servers.
 */
const MAX_TRIALS_OF_HELD = 2;

/** Derives the contents on probation from the table of suspects. */
export class ProbationList {
  readonly #table: SuspectTable;

  #trialOrder: ReadonlyMap<string, number> | undefined;

  /** @param table - table of all suspects */
  constructor(table: SuspectTable) {
    this.#table = table;
  }

  /**
   * @param contentId - ID of a content or part
   * @param request - a request with it; one that differs from those that a quarantined cause was
   *   quarantined for may be a trial as well. Default: none that differs
   * @returns the progress of its trials; undefined if none may take place
   */
  findProgress(contentId: string, request?: RequestScope): TrialProgress | undefined {
    const suspect = this.#table.find(contentId);
    if (!suspect || suspect.state === SuspectState.Free) return undefined;
    const progress = readTrialProgress(suspect);
    if (!suspect.isHeld) return progress;
    const mayTry =
      request !== undefined &&
      progress.trialCount < MAX_TRIALS_OF_HELD &&
      !isHoldBinding(suspect, request, this.#table);
    return mayTry ? progress : undefined;
  }

  /**
   * @param contentId - ID of a content on probation
   * @returns its position in the order of trials, from 0; contents most likely to be harmless
   *   come first
   */
  findTrialPosition(contentId: string): number {
    this.#trialOrder ??= new Map(this.#sort().map((id, place) => [id, place]));
    return this.#trialOrder.get(contentId) ?? 0;
  }

  /** Discards the cached order after a change of the suspects. */
  reset(): void {
    this.#trialOrder = undefined;
  }

  #sort(): string[] {
    const suspects = this.#table.list();
    const counts = new CrashSuspectCounts(suspects);
    return suspects
      .filter(({ state }) => state === SuspectState.Probation)
      .map((suspect) => ({ suspect, soleSuspectRunCount: countSoleSuspectRuns(suspect, counts) }))
      .sort(
        (a, b) =>
          a.soleSuspectRunCount - b.soleSuspectRunCount ||
          a.suspect.suspectedCrashCount - b.suspect.suspectedCrashCount ||
          (a.suspect.contentId < b.suspect.contentId ? -1 : 1),
      )
      .map(({ suspect: { contentId } }) => contentId);
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @returns ID of the content with a trial that has no result yet but may soon have one
   */
  findOpenTrial(nowMs: number): string | undefined {
    const openSuspect = this.#table.list().find((suspect) => {
      if (suspect.state === SuspectState.Free || !suspect.hasTrials) return false;
      const startedAtMs = listCountedTrials(suspect).at(-1)?.startedAtMs ?? -Infinity;
      const lastCrashAtMs = suspect.listSuspectedRuns().at(-1)?.endedAtMs ?? -Infinity;
      return nowMs - startedAtMs < OPEN_TRIAL_MS && lastCrashAtMs < startedAtMs;
    });
    return openSuspect?.contentId;
  }
}
