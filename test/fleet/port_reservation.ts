/**
 * Ports that stay a fleet's own until a process is started on them, and again
 * for its restart.
 *
 * @module
 */
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import type { Server } from 'node:net';

/**
 * Below the range that the kernel gives to outgoing connections, which could
 * otherwise take the port of a process that is being restarted.
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
 * Reserves ports of 127.0.0.1 in blocks. Between the look whether a port is
 * free and the start of the process that is to listen there, another fleet
 * could take it: that process would end with EADDRINUSE. So the first port of
 * each block is held by a listener, and other fleets leave the block alone.
 * The kernel ends the listener with its process, however that ends.
 */
export class PortReservation {
  readonly #holders: Server[] = [];

  #ports: number[] = [];

  /** Takes one block after the other, since blocks are looked for while ports are handed out. */
  #turn: Promise<unknown> = Promise.resolve();

  /**
   * Takes a free port. None is given out twice.
   *
   * @returns the port
   * @throws Error when none is free
   */
  take(): Promise<number> {
    const taken = this.#turn.then(() => this.#takeNext());
    this.#turn = taken.catch(() => undefined);
    return taken;
  }

  /** Gives every port back. */
  async close(): Promise<void> {
    await Promise.all(this.#holders.map(closeServer));
  }

  async #takeNext(): Promise<number> {
    for (;;) {
      if (this.#ports.length === 0) this.#ports = await this.#reserveBlock();
      const port = this.#ports.shift() as number;
      if (await isFree(port)) return port;
    }
  }

  async #reserveBlock(): Promise<number[]> {
    const start = randomInt(BLOCK_COUNT);
    for (let step = 0; step < BLOCK_COUNT; step += 1) {
      const first = FIRST_PORT + ((start + step) % BLOCK_COUNT) * PORTS_PER_BLOCK;
      const holder = await listenOn(first);
      if (holder) {
        holder.unref();
        this.#holders.push(holder);
        return Array.from({ length: PORTS_PER_BLOCK - 1 }, (_, index) => first + 1 + index);
      }
    }
    throw new Error('Cannot reserve ports: every block is taken');
  }
}
