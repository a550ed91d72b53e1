/**
 * Defers work until the input that the operating system holds for this process was read.
 *
 * @module
 */

/** Turns of the event loop: the first reads the last bytes of a connection, the second its end. */
const INPUT_TURNS = 2;

/**
 * Calls a function after the input that has arrived by now on all connections was read.
 *
 * @param callback - the function to call
 */
export function runAfterInput(callback: () => void): void {
  let turnsLeft = INPUT_TURNS;
  const run = (): void => {
    turnsLeft -= 1;
    if (turnsLeft === 0) callback();
    else setImmediate(run);
  };
  setImmediate(run);
}
