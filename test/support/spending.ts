/**
 * Checks the units that client accounts spent against a bound over any time window.
 *
 * @module
 */

/** Units that were spent at one time. */
export interface Spending {
  readonly atMs: number;
  readonly units: number;
}

/**
 * Checks every window that begins with a spending.
 *
 * @param spent - spendings in order of time
 * @param windowMs - length of the window in milliseconds
 * @param bound - maximum number of units in one window
 * @returns whether no window exceeds the bound
 */
export function isWithinBound(
  spent: readonly Spending[],
  windowMs: number,
  bound: number,
): boolean {
  return spent.every(({ atMs }, index) => {
    let sum = 0;
    for (let next = index; next < spent.length; next += 1) {
      const spending = spent[next] as Spending;
      if (spending.atMs >= atMs + windowMs) break;
      sum += spending.units;
    }
    return sum <= bound;
  });
}
