/**
 * Reports connections that are closed for a limit.
 *
 * @module
 */
import type { CloseCause, CloseReport } from '../adapters/http_common/mod.js';
import { LogLevel } from '../domain/errors/mod.js';
import type { EventLog, Metrics } from '../ports/mod.js';

/** Listeners of an entry host. */
export enum ListenerName {
  Callers = 'callers',
  Readiness = 'readiness',
  AddressBook = 'address_book',
  Metrics = 'metrics',
  Administration = 'administration',
}

/** Listeners of clients that ask about entry hosts, which are answered at once. */
export type EndpointName = Exclude<
  ListenerName,
  ListenerName.Callers | ListenerName.Administration
>;

/** Least time between two lines about the same cause, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/** Where closed connections are reported. */
export interface CloseReportPorts {
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** @returns time of a steady clock, in milliseconds. Default: that of the process. */
  readonly nowMs?: () => number;
}

type LogPorts = Required<Pick<CloseReportPorts, 'log' | 'nowMs'>>;

/** Writes about the closes of one listener, so that a crowd leaves the lines about calls their room. */
class CloseLog {
  readonly #listener: ListenerName;

  readonly #ports: LogPorts;

  /** When the last line about a cause was written, in milliseconds. */
  readonly #writtenAtMs = new Map<CloseCause, number>();

  /** Closes since the last line about their cause. */
  readonly #counts = new Map<CloseCause, number>();

  constructor(listener: ListenerName, ports: LogPorts) {
    this.#listener = listener;
    this.#ports = ports;
  }

  record(cause: CloseCause): void {
    const { log, nowMs } = this.#ports;
    const count = (this.#counts.get(cause) ?? 0) + 1;
    const writtenAtMs = this.#writtenAtMs.get(cause) ?? -Infinity;
    if (nowMs() - writtenAtMs < LINE_INTERVAL_MS) {
      this.#counts.set(cause, count);
      return;
    }
    this.#writtenAtMs.set(cause, nowMs());
    this.#counts.delete(cause);
    const listener = this.#listener;
    log.write(LogLevel.Info, 'client_connection_closed', { listener, cause, count });
  }
}

/**
 * Creates a report that counts each close, and writes a line a second about each cause.
 *
 * @param listener - the listener whose connections are closed
 * @param ports - where the report goes
 * @returns the report
 */
export function createCloseReport(
  listener: ListenerName,
  { log, metrics, nowMs = () => performance.now() }: CloseReportPorts,
): CloseReport {
  const closes = new CloseLog(listener, { log, nowMs });
  return (cause) => {
    closes.record(cause);
    metrics.count('client_connections_closed_total', { listener, cause });
  };
}
