/**
 * Starts servers, and waits for addresses that are not available yet.
 *
 * @module
 */
import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { LogLevel } from '../../domain/errors/mod.js';
import type { EventLog } from '../../ports/mod.js';

/** Pause between two attempts, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** One in so many attempts is reported: one a second. */
const ATTEMPTS_PER_REPORT = 10;

/**
 * Errors that pass: the port belongs to a process that is ending or to an outgoing connection, or the
 * network interface isn't up yet.
 */
const PASSING_ERRORS: ReadonlySet<string> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/** Address to listen on. */
export interface ListenAddress {
  /** IP address. */
  readonly host: string;
  /** Port; 0 selects a free one. */
  readonly port: number;
  /** Most connections that wait to be accepted. Default: as Node defines it. */
  readonly backlog?: number | undefined;
}

/**
 * Starts listening, and tries again while the address is taken or not up. Ending the process instead
 * would have it restarted against the same address, and what ends it passes by itself.
 *
 * @param server - the server; it must not be listening
 * @param address - address to listen on
 * @param log - receives a line after the first failed attempt, and about one a second after it
 * @returns the port in use
 * @throws Error that doesn't pass, such as a missing permission
 */
export async function startListening(
  server: Server,
  address: ListenAddress,
  log: EventLog,
): Promise<number> {
  for (let attempt = 0; ; attempt += 1) {
    try {
      return await tryListening(server, address);
    } catch (error) {
      if (!isPassing(error)) throw error;
      if (attempt % ATTEMPTS_PER_REPORT === 0) logDelay(log, address, error);
    }
    await waitForRetry();
  }
}

async function tryListening(server: Server, address: ListenAddress): Promise<number> {
  const listening = once(server, 'listening');
  server.listen(address);
  await listening;
  return (server.address() as AddressInfo).port;
}

function logDelay(log: EventLog, { host, port }: ListenAddress, error: Error): void {
  log.write(LogLevel.Warn, 'listen_delayed', { host, port, reason: error.message });
}

function isPassing(error: unknown): error is Error {
  return error instanceof Error && PASSING_ERRORS.has((error as NodeJS.ErrnoException).code ?? '');
}

function waitForRetry(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, RETRY_DELAY_MS);
  });
}
