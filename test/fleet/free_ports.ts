/**
 * Ports that stay free until a process is started on them, and again for its
 * restart.
 *
 * @module
 */
import { createServer } from 'node:net';

/**
 * Below the range that the kernel gives to outgoing connections, which could
 * otherwise take the port of a process that is being restarted.
 */
const FIRST_PORT = 12_000;
const LAST_PORT = 31_999;
/** Processes with neighbouring IDs, such as parallel tests, look in unlike places. */
const PORTS_PER_PROCESS = 100;

const range = LAST_PORT - FIRST_PORT + 1;
const cursor = { next: (process.pid * PORTS_PER_PROCESS) % range };

function isFree(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/**
 * Finds a free port on 127.0.0.1. No port is given out twice by one process.
 *
 * @returns the port
 * @throws Error when none is free
 */
export async function findFreePort(): Promise<number> {
  for (let tries = 0; tries < range; tries += 1) {
    const port = FIRST_PORT + cursor.next;
    cursor.next = (cursor.next + 1) % range;
    if (await isFree(port)) return port;
  }
  throw new Error('Cannot find a free port');
}
