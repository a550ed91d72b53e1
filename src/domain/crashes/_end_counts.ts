/**
 * How many contents may have caused each server's end.
 *
 * @module
 */
import type { Suspect } from './_suspect.js';

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

  /** @param suspects - all contents that something may speak against */
  constructor(suspects: readonly Suspect[]) {
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
}
