/**
 * A probe that counts the connections that it opens, by their cause.
 *
 * @module
 */
import { ServerProbe } from '../../ports/mod.js';
import type { Metrics, ProbeCause, Reachability } from '../../ports/mod.js';

/** Counts probes: each takes one of the connections that a server accepts from all hosts. */
export class CountedProbe extends ServerProbe {
  readonly #own: ServerProbe;

  readonly #metrics: Metrics;

  /**
   * @param own - opens the connections
   * @param metrics - counts them
   */
  constructor(own: ServerProbe, metrics: Metrics) {
    super();
    this.#own = own;
    this.#metrics = metrics;
  }

  override async check(address: string, cause: ProbeCause): Promise<Reachability> {
    const result = await this.#own.check(address, cause);
    this.#metrics.count('server_connections_total', { cause, result });
    return result;
  }
}
