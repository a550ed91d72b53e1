/**
 * Orders the states of a store that may come back from an older copy of itself.
 *
 * @module
 */

/**
 * Time after a restore for which a copy isn't believed where it contradicts what is known, in
 * milliseconds: longer than operators and servers need to write again what was lost, and than the
 * store keeps the entry of a server that no longer reports.
 */
export const RESTORE_HOLD_MS = 5_000;

/** A state of the store. */
export interface StorePosition {
  /** Rises each time that the store comes back from a copy; 0 for a store that names none. */
  readonly era: number;
  /** Revision of the newest write. It rises within an era, and may go back in the next one. */
  readonly revision: number;
}

/**
 * Compares two states: by their eras first, since revisions of different eras can't be compared.
 *
 * @param a - one state
 * @param b - the other state
 * @returns a positive number if `a` is the later state, a negative one if `b` is, else 0
 */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return compareEras(a, b) || a.revision - b.revision;
}

/**
 * Compares the eras of two states.
 *
 * @param a - one state
 * @param b - the other state
 * @returns a positive number if the era of `a` is the later one, a negative one if that of `b` is,
 *   0 if their revisions can be compared
 */
export function compareEras(a: Pick<StorePosition, 'era'>, b: Pick<StorePosition, 'era'>): number {
  return a.era - b.era;
}

/** @param a - one state. @param b - the other state. @returns the later of the two */
export function pickLater(a: StorePosition, b: StorePosition): StorePosition {
  return comparePositions(a, b) >= 0 ? a : b;
}
