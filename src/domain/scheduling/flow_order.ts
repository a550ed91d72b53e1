/**
 * Order of flows in weighted fair queuing, for the owners' path and for the direct path.
 *
 * @module
 */

/** Smallest weight, so that a faulty weight cannot produce infinite start tags. */
export const MIN_WEIGHT = 0.001;

/** The next item of a flow, as the order sees it. */
export interface FlowHead {
  /** Work of the flow per unit of weight before this item, in milliseconds. */
  readonly startTag: number;
  /** When the item is due, in milliseconds. */
  readonly dueAtMs: number;
}

/**
 * Compares two flows: the one with less work per unit of weight goes first, then the one whose item
 * is due earlier.
 *
 * @param a - head of a flow
 * @param b - head of another flow
 * @returns a negative number if `a` goes first, a positive one if `b` does
 */
export function compareFlows(a: FlowHead, b: FlowHead): number {
  return a.startTag === b.startTag ? a.dueAtMs - b.dueAtMs : a.startTag - b.startTag;
}

/**
 * Finds where a new item goes in a list sorted by due time, behind equal ones.
 *
 * @param items - the sorted list
 * @param dueAtMs - due time of the new item
 * @param getDueAtMs - returns the due time of a listed item
 * @returns index of the new item
 */
export function findDueIndex<T>(
  items: readonly T[],
  dueAtMs: number,
  getDueAtMs: (item: T) => number,
): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (getDueAtMs(items[middle] as T) <= dueAtMs) low = middle + 1;
    else high = middle;
  }
  return low;
}
