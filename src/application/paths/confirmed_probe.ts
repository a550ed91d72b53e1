/**
 * A probe that asks peers before it reports a server as gone.
 *
 * @module
 */
import { Reachability, ServerProbe } from '../../ports/mod.js';
import type { ProbeCause } from '../../ports/mod.js';
import type { ProxyClient } from './proxy_client.js';

/**
 * Probes over this host's own links, and through peers if that fails. A host that has lost its
 * links would otherwise take each server whose connections were reset for crashed.
 */
export class ConfirmedProbe extends ServerProbe {
  readonly #own: ServerProbe;

  readonly #proxies: ProxyClient;

  /**
   * @param own - probes over this host's own links
   * @param proxies - probe through peers
   */
  constructor(own: ServerProbe, proxies: ProxyClient) {
    super();
    this.#own = own;
    this.#proxies = proxies;
  }

  override async check(address: string, cause: ProbeCause): Promise<Reachability> {
    const reachability = await this.#own.check(address, cause);
    if (reachability === Reachability.Open) return reachability;
    return (await this.#proxies.probe(address)) ?? reachability;
  }
}
