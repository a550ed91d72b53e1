/**
 * Holds the newest report of each peer about itself.
 *
 * @module
 */

/** Report of one incarnation about itself, as sent in one of its heartbeats. */
export interface PeerReport {
  /** Sequence number of the heartbeat; higher is newer. */
  readonly sequence: number;
  /** Whether the sender serves callers. */
  readonly ready: boolean;
  /** Whether the sender is about to stop. */
  readonly leaving: boolean;
  /** Backend servers that the sender knows at first hand to be leaving. */
  readonly leavingBackendServers: readonly string[];
}

/**
 * Compares two reports without their sequence numbers.
 *
 * @param left - one report, if there is one
 * @param right - the other report
 * @returns whether all other fields are equal
 */
export function hasSameContents(left: PeerReport | undefined, right: PeerReport): boolean {
  return (
    left?.ready === right.ready &&
    left.leaving === right.leaving &&
    left.leavingBackendServers.join() === right.leavingBackendServers.join()
  );
}

/**
 * The newest report of each incarnation. Merging is a join: the result does not depend on the
 * order in which heartbeats arrive or on repetitions, and a lost heartbeat is made up for by
 * any later one.
 */
export class PeerReports {
  readonly #newest = new Map<string, PeerReport>();

  /**
   * Merges one report.
   *
   * @param incarnation - the sender
   * @param report - its report
   * @returns whether the report is newer than the known one
   */
  merge(incarnation: string, report: PeerReport): boolean {
    const known = this.#newest.get(incarnation);
    if (known && known.sequence >= report.sequence) return false;
    this.#newest.set(incarnation, report);
    return true;
  }

  /** @param incarnation - a peer. @returns its newest report */
  find(incarnation: string): PeerReport | undefined {
    return this.#newest.get(incarnation);
  }

  /** @param incarnation - a peer whose report is no longer needed */
  remove(incarnation: string): void {
    this.#newest.delete(incarnation);
  }
}
