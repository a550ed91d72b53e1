/**
 * Tells the end of an answer without a mark from the end of its server's process.
 *
 * @module
 */
import { ProbeCause, Reachability } from '../../ports/mod.js';
import type { ServerProbe } from '../../ports/mod.js';
import type { ServerAddress } from './own_reach.js';

/** Dependencies of {@link UnmarkedEnds}. */
export interface UnmarkedEndsOptions {
  readonly probe: ServerProbe;
  /** @param id - a server incarnation. @returns false if it must get no work */
  readonly mayReceive: (id: string) => boolean;
}

/**
 * An answer with neither a length nor chunks ends with its connection. The system of a server closes
 * the connection in the same way when the server's process is killed; only then nothing listens
 * at its address any more.
 */
export class UnmarkedEnds {
  readonly #options: UnmarkedEndsOptions;

  /** @param options - dependencies */
  constructor(options: UnmarkedEndsOptions) {
    this.#options = options;
  }

  /**
   * @param server - a server that has closed the connection of an answer without a mark
   * @returns whether its process has ended; the promise never rejects
   */
  async hasServerEnded({ incarnationId, address }: ServerAddress): Promise<boolean> {
    const { probe, mayReceive } = this.#options;
    // A server that leaves may stop listening before its last answer is whole.
    if (!mayReceive(incarnationId)) return false;
    return (await probe.check(address, ProbeCause.UnmarkedEnd)) === Reachability.Refused;
  }
}
