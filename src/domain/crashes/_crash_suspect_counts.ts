/**
 * Counts, for each crash of a backend server, the request contents that may have caused it.
 *
 * @module
 */
import type { Suspect, SuspectRun } from './_suspect.js';

/** Suspects of one crash: contents that ran there and weren't answered shortly before. */
interface CrashSuspectCount {
  readonly suspects: number;
  /** Number of those suspects that also ran at other crashes. */
  readonly repeatSuspects: number;
}

const NO_SUSPECTS: CrashSuspectCount = { suspects: 0, repeatSuspects: 0 };

/** Counts of suspects per crash, computed once for all suspects of a review. */
export class CrashSuspectCounts {
  readonly #counts = new Map<string, CrashSuspectCount>();

  readonly #suspects: readonly Suspect[];

  /** @param suspects - all contents that were running at a crash */
  constructor(suspects: readonly Suspect[]) {
    this.#suspects = suspects;
    suspects.forEach((suspect) => {
      const isRepeatSuspect = suspect.suspectedCrashCount > 1;
      suspect.runs.forEach((_run, crashId) => {
        if (!suspect.isSuspectedOf(crashId)) return;
        const count = this.#counts.get(crashId) ?? NO_SUSPECTS;
        this.#counts.set(crashId, {
          suspects: count.suspects + 1,
          repeatSuspects: count.repeatSuspects + (isRepeatSuspect ? 1 : 0),
        });
      });
    });
  }

  /** @param suspect - a content. @returns whether any server crashed without running it */
  hasCrashWithout(suspect: Suspect): boolean {
    return [...this.#counts.keys()].some((crashId) => !suspect.hasRunAt(crashId));
  }

  /**
   * @param suspect - a content
   * @param crashId - a crash
   * @returns the number of other contents that may have caused the crash
   */
  countOtherSuspects(suspect: Suspect, crashId: string): number {
    const { suspects } = this.#counts.get(crashId) ?? NO_SUSPECTS;
    return suspects - Number(suspect.isSuspectedOf(crashId));
  }

  /**
   * Counts without what the same trial tried as well and can't be told apart: what ran at this crash
   * alone, and what ran at each crash at which the suspect did. Where a trial of the suspect without
   * the other began at the same time, they don't always come together.
   *
   * @param suspect - a content or part
   * @param crashId - a crash
   * @returns the number of the others that may have caused the crash
   */
  countSuspectsOfOtherRequests(suspect: Suspect, crashId: string): number {
    const runs = suspect.listSuspectedRuns();
    const ownRun = suspect.runs.get(crashId);
    const sharesAll = (other: Suspect): boolean =>
      ownRun === undefined || suspect.sharesTrialsOf(other, ownRun);
    const isCompanion = (other: Suspect): boolean =>
      other.suspectedCrashCount === 1 || runs.every((run) => other.runs.has(run.crashId));
    const companions = this.#suspects
      .filter((other) => other !== suspect && other.isSuspectedOf(crashId))
      .filter((other) => other.sharesTrialWith(suspect) && sharesAll(other) && isCompanion(other));
    return this.countOtherSuspects(suspect, crashId) - companions.length;
  }

  /**
   * @param suspect - a content
   * @param crashId - a crash
   * @returns the number of other suspects of this crash that also ran at other crashes
   */
  countOtherRepeatSuspects(suspect: Suspect, crashId: string): number {
    const { repeatSuspects } = this.#counts.get(crashId) ?? NO_SUSPECTS;
    const isCounted = suspect.isSuspectedOf(crashId) && suspect.suspectedCrashCount > 1;
    return repeatSuspects - Number(isCounted);
  }

  /**
   * Tells whether another server crashed at about the same time.
   *
   * @param run - a run that ended with a crash
   * @param withinMs - largest time between simultaneous crashes, in milliseconds
   * @returns whether there was another crash within that time
   */
  hasSimultaneousCrash({ crashId, endedAtMs }: SuspectRun, withinMs: number): boolean {
    const crashTimesMs = new Map<string, number>();
    this.#suspects.forEach(({ runs }) => {
      runs.forEach((run) => {
        const earliestMs = crashTimesMs.get(run.crashId) ?? Infinity;
        crashTimesMs.set(run.crashId, Math.min(run.endedAtMs, earliestMs));
      });
    });
    return [...crashTimesMs].some(
      ([id, atMs]) => id !== crashId && Math.abs(atMs - endedAtMs) <= withinMs,
    );
  }
}
