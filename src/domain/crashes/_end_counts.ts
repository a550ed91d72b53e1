/**
 * How many contents may have caused each server's end, and when that was.
 *
 * @module
 */
import type { Suspect, SuspectRun } from './_suspect.js';

/** Contents that ran at one end, and were not answered shortly before. */
interface EndCount {
  readonly suspects: number;
  /** Those of them that ran at other ends, too. */
  readonly repeaters: number;
}

const NONE: EndCount = { suspects: 0, repeaters: 0 };

/** Counts made once for many judgements. */
export class EndCounts {
  readonly #counts = new Map<string, EndCount>();

  readonly #suspects: readonly Suspect[];

  /** @param suspects - all contents that something may speak against */
  constructor(suspects: readonly Suspect[]) {
    this.#suspects = suspects;
    suspects.forEach((suspect) => {
      const isRepeater = suspect.suspectedCount > 1;
      suspect.runs.forEach((_run, crashId) => {
        if (!suspect.isSuspectedOf(crashId)) return;
        const count = this.#counts.get(crashId) ?? NONE;
        this.#counts.set(crashId, {
          suspects: count.suspects + 1,
          repeaters: count.repeaters + (isRepeater ? 1 : 0),
        });
      });
    });
  }

  /** @param suspect - a content. @returns whether any server has ended where it did not run */
  hasEndWithout({ runs }: Suspect): boolean {
    return [...this.#counts.keys()].some((crashId) => !runs.has(crashId));
  }

  /** @param suspect - a content. @param crashId - an end. @returns others that may have caused it */
  countRivals(suspect: Suspect, crashId: string): number {
    const { suspects } = this.#counts.get(crashId) ?? NONE;
    return suspects - Number(suspect.isSuspectedOf(crashId));
  }

  /** @param suspect - a content. @param crashId - an end. @returns those of them that ran at other ends, too */
  countRepeaters(suspect: Suspect, crashId: string): number {
    const { repeaters } = this.#counts.get(crashId) ?? NONE;
    const isCounted = suspect.isSuspectedOf(crashId) && suspect.suspectedCount > 1;
    return repeaters - Number(isCounted);
  }

  /** @param run - a run. @param withinMs - how much is the same moment. @returns whether other servers ended with its */
  hasEndedTogether({ crashId, endedAtMs }: SuspectRun, withinMs: number): boolean {
    const endsAtMs = new Map<string, number>();
    this.#suspects.forEach(({ runs }) => {
      runs.forEach((run) => {
        const knownMs = endsAtMs.get(run.crashId) ?? Infinity;
        endsAtMs.set(run.crashId, Math.min(run.endedAtMs, knownMs));
      });
    });
    return [...endsAtMs].some(
      ([id, atMs]) => id !== crashId && Math.abs(atMs - endedAtMs) <= withinMs,
    );
  }
}
