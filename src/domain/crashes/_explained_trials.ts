/**
 * Finds trials that proved nothing, as another cause ended their servers.
 *
 * @module
 */
import { SuspectState } from './_suspect.js';
import type { Suspect } from './_suspect.js';
import type { SuspectTable } from './_suspect_table.js';

/**
 * Voids the trials of contents on probation whose servers a cause has ended that is now quarantined.
 *
 * @param cause - the quarantined cause
 * @param table - table of all suspects
 */
export function voidExplainedTrials(cause: Suspect, table: SuspectTable): void {
  cause.listSuspectedRuns().forEach(({ crashId }) => {
    table
      .listByCrashes([crashId])
      .filter(({ state }) => state === SuspectState.Probation)
      .forEach((other) => voidTrialsAt(other, crashId));
  });
}

function voidTrialsAt(suspect: Suspect, crashId: string): void {
  const run = suspect.runs.get(crashId);
  if (!run) return;
  suspect.listTrialsOf(run).forEach((trial) => suspect.addTrial({ ...trial, isVoid: true }));
}
