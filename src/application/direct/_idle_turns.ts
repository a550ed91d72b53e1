/**
 * Decides where turns at limited backend servers go that no call uses.
 *
 * @module
 */
import type { Clock, RandomSource } from '../../ports/mod.js';
import type { ServerRegistry } from './server_registry.js';

/** Dependencies of {@link IdleTurns}. */
export interface IdleTurnsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly servers: ServerRegistry;
  /** @returns whether calls have come to this entry host lately; takes a service ID */
  readonly isCalled: (serviceId: string) => boolean;
}

/** A turn that an entry host may use or pass on. */
export interface OfferedTurn {
  readonly serverId: string;
  readonly serviceId: string;
  /** Number of times that it was passed on. */
  readonly hops: number;
  /** Incarnation of the peer that passed it on; undefined for a turn of this entry host's own. */
  readonly from: string | undefined;
}

/**
 * Gives turns to hosts with calls although none of these waits. Only answers tell that a limit has
 * ended, so that a server would stay shut out where calls reach only hosts that do not send to it,
 * while other servers are free.
 */
export class IdleTurns {
  readonly #options: IdleTurnsOptions;

  /** @param options - dependencies */
  constructor(options: IdleTurnsOptions) {
    this.#options = options;
  }

  /**
   * @param turn - a turn that no waiting call needs
   * @returns incarnation of the peer that it goes to; undefined if it stays here
   */
  pickReceiver({ serverId, serviceId, hops, from }: OfferedTurn): string | undefined {
    const { random, servers, isCalled } = this.#options;
    const isIdle = hops > 0 ? !isCalled(serviceId) : this.#isUnused(serverId);
    if (!isIdle) return undefined;
    return servers.peers.drawCalled(serviceId, random.nextFraction(), from);
  }

  #isUnused(serverId: string): boolean {
    const { clock, servers } = this.#options;
    const pace = servers.loads.find(serverId)?.pace;
    const nowMs = clock.nowMs();
    return pace !== undefined && pace.hasOwnTurn(nowMs) && pace.isRefreshDue(nowMs);
  }
}
