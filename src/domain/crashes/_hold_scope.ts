/**
 * Decides whether a quarantined cause may be tried by a request of another kind than those that it
 * was quarantined for.
 *
 * @module
 */
import type { Suspect } from './_suspect.js';
import type { SuspectTable } from './_suspect_table.js';

/** A request, as far as it matters for the quarantine of its causes. */
export interface RequestScope {
  /** Client account; undefined if unknown. */
  readonly accountId?: string | undefined;
  /** Its content, and the parts of its prompt that other requests may share. */
  readonly causeIds: readonly string[];
}

/**
 * Tells whether what is known of a quarantined cause speaks for the request as well. It may not:
 *
 * - if one other account's requests alone crashed servers with it: that account may have named it
 *   beside the cause, to have it quarantined for others;
 * - if at each of its crashes another quarantined cause ran as well, which the request lacks.
 *
 * @param suspect - a quarantined cause of the request
 * @param request - the request
 * @param table - table of all suspects
 * @returns whether the request must not be sent
 */
export function isHoldBinding(
  suspect: Suspect,
  { accountId, causeIds }: RequestScope,
  table: SuspectTable,
): boolean {
  const accountIds = suspect.listAccountIds();
  const isForeign =
    accountId !== undefined && accountIds.length === 1 && accountIds[0] !== accountId;
  return !isForeign && !hasMissingCompanion(suspect, causeIds, table);
}

function hasMissingCompanion(
  suspect: Suspect,
  causeIds: readonly string[],
  table: SuspectTable,
): boolean {
  const isMissing = (other: Suspect): boolean =>
    other !== suspect && other.isHeld && !causeIds.includes(other.contentId);
  const runs = suspect.listSuspectedRuns();
  return runs.every(({ crashId }) => table.listByCrashes([crashId]).some(isMissing));
}
