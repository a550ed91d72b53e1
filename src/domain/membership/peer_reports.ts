/**
 * What peers told of themselves.
 *
 * @module
 */

/** The word of one incarnation, as one of its heartbeats carried it. */
export interface PeerReport {
  /** Number of the heartbeat; higher is newer. */
  readonly sequence: number;
  /** Whether that entry host serves callers. */
  readonly ready: boolean;
  /** Whether that entry host stops. */
  readonly leaving: boolean;
  /** Backend servers that it knows at first hand to leave. */
  readonly leavingBackendServers: readonly string[];
}

/**
 * Compares what two reports say, whatever their numbers.
 *
 * @param left - one report, if there is one
 * @param right - the other report
 * @returns whether they say the same
 */
export function hasSameWord(left: PeerReport | undefined, right: PeerReport): boolean {
  return (
    left?.ready === right.ready &&
    left.leaving === right.leaving &&
    left.leavingBackendServers.join() === right.leavingBackendServers.join()
  );
}

/**
 * The newest word of each incarnation. Merging is a join: in whatever order
 * heartbeats arrive, lost, repeated and crossed, the same words remain.
 */
export class PeerReports {
  readonly #newest = new Map<string, PeerReport>();

  /**
   * Merges one report.
   *
   * @param incarnation - whose word it is
   * @param report - the word
   * @returns whether it is newer than what was known
   */
  merge(incarnation: string, report: PeerReport): boolean {
    const known = this.#newest.get(incarnation);
    if (known && known.sequence >= report.sequence) return false;
    this.#newest.set(incarnation, report);
    return true;
  }

  /** @param incarnation - whose word. @returns its newest word */
  find(incarnation: string): PeerReport | undefined {
    return this.#newest.get(incarnation);
  }

  /** @param incarnation - whose word is not needed any more */
  remove(incarnation: string): void {
    this.#newest.delete(incarnation);
  }
}
