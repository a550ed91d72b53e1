/**
 * Log lines about which entry hosts are there.
 *
 * @module
 */
import { LogLevel } from '../../domain/errors/mod.js';
import type { EntryHostIdentity } from '../../domain/membership/mod.js';
import type { EventLog } from '../../ports/mod.js';

/** Writes one line for each entry host that comes or goes. */
export class RosterLog {
  readonly #log: EventLog;

  /** @param log - where to */
  constructor(log: EventLog) {
    this.#log = log;
  }

  /** @param identity - an entry host that is heard of */
  logSeen({ id, incarnation, peerUrl }: EntryHostIdentity): void {
    this.#log.write(LogLevel.Info, 'entry_host_seen', { entryHost: id, incarnation, peerUrl });
  }

  /** @param identity - an entry host that nobody hears any more */
  logSilent({ id }: EntryHostIdentity): void {
    this.#log.write(LogLevel.Warn, 'entry_host_silent', { entryHost: id });
  }

  /** @param identity - an entry host that was silent for long */
  logForgotten({ id }: EntryHostIdentity): void {
    this.#log.write(LogLevel.Info, 'entry_host_forgotten', { entryHost: id });
  }
}
