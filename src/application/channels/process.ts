/**
 * Processes: generators that wait on channels.
 *
 * @module
 */
import csp from 'js-csp';
import type { Instruction } from 'js-csp';

/** A part of a process; `yield*` runs it and gives its result. */
export type Step<T> = Generator<Instruction, T, unknown>;

/** How a promise ended. */
type Settled<T> = { readonly value: T } | { readonly error: unknown };

/**
 * Waits for a promise inside a process: `const x = yield* settle(promise)`.
 *
 * @param promise - what to wait for
 * @returns its value
 * @throws whatever the promise was rejected with
 */
export function* settle<T>(promise: Promise<T>): Step<T> {
  const channel = csp.chan(1);
  promise.then(
    (value) => csp.putAsync(channel, { value } satisfies Settled<T>),
    (error: unknown) => csp.putAsync(channel, { error } satisfies Settled<T>),
  );
  const settled = (yield csp.take(channel)) as Settled<T>;
  if ('error' in settled) throw settled.error;
  return settled.value;
}

/**
 * Starts a process.
 *
 * The library drops an error that leaves a process, so that whoever waits for
 * its result would wait for ever. The error is caught inside and rejects the
 * promise instead.
 *
 * @param process - the process
 * @returns its result
 */
export function startProcess<T>(process: () => Step<T>): Promise<T> {
  return new Promise((resolve, reject) => {
    csp.go(function* guard() {
      try {
        resolve(yield* process());
      } catch (error) {
        reject(error instanceof Error ? error : new Error(String(error)));
      }
    });
  });
}
