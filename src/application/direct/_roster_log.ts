/**
 * Logs which entry hosts join, fall silent and are forgotten.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { EventLog } from '../../ports/mod.js';

/** Writes one log line for each change in the set of known entry hosts. */
export class RosterLog {
  readonly #log: EventLog;

  /** @param log - receives the lines */
  constructor(log: EventLog) {
    this.#log = log;
  }

  /** @param identity - an entry host's process that has been discovered */
  logSeen({ id, incarnation, peerUrl }: EntryHostIdentity): void {
    this.#log.write(LogLevel.Info, 'entry_host_seen', { entryHost: id, incarnation, peerUrl });
  }

  /** @param identity - an entry host that no live process reports as heard any more */
  logSilent({ id }: EntryHostIdentity): void {
    this.#log.write(LogLevel.Warn, 'entry_host_silent', { entryHost: id });
  }

  /** @param identity - an entry host that is forgotten after a long silence */
  logForgotten({ id }: EntryHostIdentity): void {
    this.#log.write(LogLevel.Info, 'entry_host_forgotten', { entryHost: id });
  }
}
