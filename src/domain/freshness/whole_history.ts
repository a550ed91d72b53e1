/**
 * Tells whether changes of a store are all that it ever had.
 *
 * @module
 */

/** Highest revision of a store without any change: some count from 0, and some from 1. */
const MAX_EMPTY_REVISION = 1;

/**
 * Tells whether changes are all changes of a store up to a revision. Each change takes the next
 * revision, so that one that is missing leaves a revision without a change.
 *
 * @param revisions - revisions of the changes
 * @param toRevision - revision up to which none may be missing
 * @returns whether there is none that isn't among them
 */
export function isWholeHistory(revisions: readonly number[], toRevision: number): boolean {
  const known = new Set(revisions);
  for (let revision = MAX_EMPTY_REVISION + 1; revision <= toRevision; revision += 1)
    if (!known.has(revision)) return false;
  return true;
}
