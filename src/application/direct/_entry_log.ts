/**
 * Writes log lines about changed entries of backend servers.
 *
 * @module
 */
import { EntryEffect } from '../../domain/backend_servers/mod.js';
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { EventLog } from '../../ports/mod.js';

/**
 * Logs what an entry has changed.
 *
 * @param log - the log
 * @param entry - the entry
 * @param effect - its effect
 */
export function logEntryChange(
  log: EventLog,
  entry: BackendServerEntry,
  effect: EntryEffect,
): void {
  const event = entry.isLeaving ? 'backend_server_leaving' : 'backend_server_ready';
  const isOutdated = effect === EntryEffect.Outdated;
  const fields = {
    backendServer: entry.id,
    service: entry.serviceId,
    version: entry.softwareVersion,
  };
  log.write(LogLevel.Info, isOutdated ? 'backend_server_entry_outdated' : event, fields);
}
