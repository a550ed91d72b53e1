/**
 * Handles signals of the operating system from the start of a process on.
 *
 * This module imports nothing, so that a program can handle signals before it loads its other
 * modules: until then, the default action of a signal ends the process.
 *
 * @module
 */

/** Signals that a program handles. */
export enum ProcessSignal {
  Stop = 'SIGTERM',
  Interrupt = 'SIGINT',
  Reload = 'SIGHUP',
}

/** Source of signals, such as `process`. */
export interface SignalSource {
  on(signal: ProcessSignal, handler: () => void): unknown;
}

/** Keeps the signals that come before the program can act on them. */
export class ProcessSignals {
  readonly #early = new Set<ProcessSignal>();

  #handler: ((signal: ProcessSignal) => void) | undefined;

  /** @param source - source of signals; none of them ends the process any more */
  constructor(source: SignalSource) {
    // Each signal is handled any number of times: without a handler, a second one ends the process.
    Object.values(ProcessSignal).forEach((signal) => source.on(signal, () => this.#handle(signal)));
  }

  /**
   * Sets the handler of all signals, and calls it with those that have come before.
   *
   * @param handler - called with each signal
   */
  setHandler(handler: (signal: ProcessSignal) => void): void {
    this.#handler = handler;
    this.#early.forEach((signal) => handler(signal));
    this.#early.clear();
  }

  #handle(signal: ProcessSignal): void {
    if (this.#handler) this.#handler(signal);
    else this.#early.add(signal);
  }
}
