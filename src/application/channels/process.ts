/**
 * Provides processes, which are generators that wait on channels and promises.
 *
 * @module
 */
import csp from 'js-csp';
import type { Instruction } from 'js-csp';

/** A step of a process; `yield*` runs it and evaluates to its result. */
export type Step<T> = Generator<Instruction, T, unknown>;

/** Outcome of a settled promise. */
type Settled<T> = { readonly value: T } | { readonly error: unknown };

/**
 * Waits for a promise inside a process: `const x = yield* settle(promise)`.
 *
 * @param promise - the promise
 * @returns the value that it was fulfilled with
 * @throws the reason that it was rejected with
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
 * js-csp drops an error that a process throws, and a caller that waits for the
 * result would then wait forever. The error is therefore caught here and rejects
 * the returned promise.
 *
 * @param process - the process
 * @returns the result of the process
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
