/**
 * The life of a stand-in's process: say where it listens, end when told.
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
 * Prints the line that the parent waits for, and ends the process on SIGTERM,
 * on SIGINT and when the pipe to the parent closes. The last keeps a stand-in
 * from staying behind when the parent was killed and could stop nothing.
 *
 * @param line - what to print; `pid` is added
 * @param parts - what to close at the end
 */
export function runProgram(
  line: Readonly<Record<string, unknown>>,
  parts: readonly Closable[],
): void {
  const stop = (): void => {
    Promise.all(parts.map((part) => part.close())).finally(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  if (isPipe()) {
    process.stdin.resume();
    process.stdin.once('close', stop);
  }
  process.stdout.write(`${JSON.stringify({ ...line, pid: process.pid })}\n`);
}

/** Where to listen. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Parses `host:port`.
 *
 * @param text - such as `127.0.0.1:0`
 * @returns the address
 * @throws Error when there is no port
 */
export function parseListenAddress(text: string): ListenAddress {
  const [host, port] = text.split(':');
  if (!host || !/^\d+$/.test(port ?? '')) {
    throw new Error(`Cannot parse --listen: "${text}" is not host:port`);
  }
  return { host, port: Number(port) };
}
