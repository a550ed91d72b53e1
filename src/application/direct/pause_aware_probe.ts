/**
 * A probe that leaves servers alone which have asked this entry host for a pause.
 *
 * @module
 */
import { Reachability, ServerProbe } from '../../ports/mod.js';
import type { ProbeCause } from '../../ports/mod.js';

/** Probes other servers; peers may probe those that this host must leave alone. */
export class PauseAwareProbe extends ServerProbe {
  readonly #own: ServerProbe;

  readonly #isPaused: (address: string) => boolean;

  /**
   * @param own - probes over this host's own links
   * @param isPaused - tells whether the server at an address has asked for a pause
   */
  constructor(own: ServerProbe, isPaused: (address: string) => boolean) {
    super();
    this.#own = own;
    this.#isPaused = isPaused;
  }

  override async check(address: string, cause: ProbeCause): Promise<Reachability> {
    return this.#isPaused(address) ? Reachability.Unknown : this.#own.check(address, cause);
  }
}
