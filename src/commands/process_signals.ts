/**
 * Handles signals of the operating system from the start of a process on.
 *
 * This module imports nothing, so that a program can handle signals before it loads its other
 * modules: until then, the default action of a signal ends the process.
 *
 * @module
 */

/**
 * Signals that a program handles: those that others may send it, and whose default action ends a
 * process or opens it to a debugger. SIGPROF is left to the profiler of Node.
 */
export enum ProcessSignal {
  Stop = 'SIGTERM',
  Interrupt = 'SIGINT',
  Quit = 'SIGQUIT',
  Reload = 'SIGHUP',
  User1 = 'SIGUSR1',
  User2 = 'SIGUSR2',
  Alarm = 'SIGALRM',
  VirtualAlarm = 'SIGVTALRM',
  Io = 'SIGIO',
  Power = 'SIGPWR',
  CpuLimit = 'SIGXCPU',
  StackFault = 'SIGSTKFLT',
}

const STOP_SIGNALS: ReadonlySet<ProcessSignal> = new Set([
  ProcessSignal.Stop,
  ProcessSignal.Interrupt,
  ProcessSignal.Quit,
]);

/**
 * @param signal - a signal that has come
 * @returns whether it asks the process to end
 */
export function isStopSignal(signal: ProcessSignal): boolean {
  return STOP_SIGNALS.has(signal);
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
