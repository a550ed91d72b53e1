/**
 * Start and stop of a stand-in process: it prints the address it listens on and exits on a
 * signal or when its parent is gone.
 *
 * @module
 */
import { fstatSync } from 'node:fs';

/** Anything that can be closed. */
export interface Closable {
  close(): Promise<void>;
}

const STDIN_DESCRIPTOR = 0;

function isPipe(): boolean {
  const stat = fstatSync(STDIN_DESCRIPTOR);
  return stat.isFIFO() || stat.isSocket();
}

/**
 * Prints the JSON line that the parent waits for, and ends the process on SIGTERM, on SIGINT
 * and when the pipe to the parent closes. The pipe keeps a stand-in from being orphaned when
 * the parent is killed before it can stop its children.
 *
 * @param line - object to print; `pid` is added
 * @param closables - objects to close before the process exits
 */
export function runProgram(
  line: Readonly<Record<string, unknown>>,
  closables: readonly Closable[],
): void {
  const stop = (): void => {
    Promise.all(closables.map((part) => part.close())).finally(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  if (isPipe()) {
    process.stdin.resume();
    process.stdin.once('close', stop);
  }
  process.stdout.write(`${JSON.stringify({ ...line, pid: process.pid })}\n`);
}

/** Address to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses `host:port`.
 *
 * @param text - such as `127.0.0.1:0`
 * @returns the address
 * @throws Error if the host or the port is missing
 */
export function parseListenAddress(text: string): ListenAddress {
  const [host, port] = text.split(':');
  if (!host || !/^\d+$/.test(port ?? '')) {
    throw new Error(`Cannot parse --listen: "${text}" is not host:port`);
  }
  return { host, port: Number(port) };
}
