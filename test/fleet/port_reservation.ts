/**
 * Reserves ports for the processes of a fleet, until they start and across their restarts.
 *
 * @module
 */
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import type { Server } from 'node:net';

/**
 * The ports lie below the kernel's ephemeral range; otherwise an outgoing connection could
 * take the port of a process that is being restarted.
 */
const FIRST_PORT = 12_000;
const PORTS_PER_BLOCK = 50;
const BLOCK_COUNT = 400;

function listenOn(port: number): Promise<Server | undefined> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

async function isFree(port: number): Promise<boolean> {
  const server = await listenOn(port);
  if (!server) return false;
  await closeServer(server);
  return true;
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}

/**
 * Reserves ports of 127.0.0.1 in blocks. Between the check that a port is free and the start of
 * the process that listens on it, another fleet could take the port, and the process would fail
 * with EADDRINUSE. Therefore a listener occupies the first port of each block, and other fleets
 * skip the block. The kernel closes the listener when its process ends in any way.
 */
export class PortReservation {
  readonly #blockListeners: Server[] = [];

  #availablePorts: number[] = [];

  /** Serializes requests for ports, since the search for a block of ports is asynchronous. */
  #lastReservation: Promise<unknown> = Promise.resolve();

  /**
   * Reserves a free port. No port is returned twice.
   *
   * @returns the port
   * @throws Error if all blocks are taken
   */
  reserve(): Promise<number> {
    const taken = this.#lastReservation.then(() => this.#reserveNext());
    this.#lastReservation = taken.catch(() => undefined);
    return taken;
  }

  /** Releases all reserved ports. */
  async close(): Promise<void> {
    await Promise.all(this.#blockListeners.map(closeServer));
  }

  async #reserveNext(): Promise<number> {
    for (;;) {
      if (this.#availablePorts.length === 0) this.#availablePorts = await this.#reserveBlock();
      const port = this.#availablePorts.shift() as number;
      if (await isFree(port)) return port;
    }
  }

  async #reserveBlock(): Promise<number[]> {
    const startBlock = randomInt(BLOCK_COUNT);
    for (let step = 0; step < BLOCK_COUNT; step += 1) {
      const firstPort = FIRST_PORT + ((startBlock + step) % BLOCK_COUNT) * PORTS_PER_BLOCK;
      const blockListener = await listenOn(firstPort);
      if (blockListener) {
        blockListener.unref();
        this.#blockListeners.push(blockListener);
        return Array.from({ length: PORTS_PER_BLOCK - 1 }, (_, index) => firstPort + 1 + index);
      }
    }
    throw new Error('Cannot reserve ports: every block is taken');
  }
}
