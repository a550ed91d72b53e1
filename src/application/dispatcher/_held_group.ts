/**
 * A dispatch group that this entry host dispatches for.
 *
 * @module
 */
import type { BackendServer, EngineKind, Service } from '../../domain/contracts/types.js';
import { ServiceKind } from '../../domain/contracts/types.js';
import { GroupScheduler, splitDispatchGroups } from '../../domain/scheduling/mod.js';
import type { DispatchGroup, ServerSpec } from '../../domain/scheduling/mod.js';
import type { DispatcherOptions } from './dispatcher_options.js';

/** Figures for backend servers whose engine kind is not described, such as plain services. */
const DEFAULT_ENGINE_KIND: EngineKind = {
  id: 'default',
  prefillTokensPerSecond: 8_000,
  decodeTokensPerSecond: 50,
  slots: 16,
};

/**
 * Time after which waiting requests are sent on to a group's new dispatcher, in
 * milliseconds. A peer that flaps would else drag whole queues to and fro.
 */
export const HAND_BACK_AFTER_MS = 1_000;

/** One group with its scheduler. */
export class HeldGroup {
  readonly scheduler: GroupScheduler;

  readonly isPlain: boolean;

  /** Since when another entry host is responsible, in milliseconds; undefined while this one is. */
  #foreignSinceMs: number | undefined;

  /** Whether waiting requests were sent on since it became another's. */
  #isHandedBack = false;

  #group: DispatchGroup;

  readonly #options: DispatcherOptions;

  /**
   * @param options - what the dispatcher is built from
   * @param service - the group's service
   * @param group - the group
   */
  constructor(options: DispatcherOptions, service: Service, group: DispatchGroup) {
    this.#options = options;
    this.#group = group;
    this.isPlain = service.kind === ServiceKind.Plain;
    this.scheduler = new GroupScheduler({
      strategy: options.strategy,
      isPlain: this.isPlain,
      nowMs: options.clock.nowMs(),
      nextFraction: () => options.random.nextFraction(),
    });
    this.update();
  }

  /** The group's name. */
  get id(): string {
    return this.#group.id;
  }

  /** Its backend servers as configured now. */
  get backendServers(): readonly BackendServer[] {
    return this.#group.backendServers;
  }

  /** Whether this entry host is responsible for it, as far as it knows. */
  get isResponsible(): boolean {
    const { membership } = this.#options;
    return membership.pickResponsible(this.id).incarnation === membership.self.incarnation;
  }

  /** Whether it is dispatched from here for good: by responsibility or by strategy. */
  get isOwn(): boolean {
    return this.#options.strategy.isLocal || this.isResponsible;
  }

  /**
   * Takes over the configuration and the membership as they are now: backend
   * servers, who of them leaves, and which part of their windows is this entry
   * host's.
   *
   * @returns false when the configuration no longer has the group
   */
  update(): boolean {
    const { configuration, membership, clock, strategy } = this.#options;
    const service = configuration.findService(this.#group.serviceId);
    const groups = service ? splitDispatchGroups(service) : [];
    const group = groups.find(({ id }) => id === this.id);
    if (group) this.#group = group;
    const specs = group ? group.backendServers.map((server) => this.#buildSpec(server)) : [];
    this.scheduler.updateServers(specs, clock.nowMs());
    const hostCount = membership.listListedIds().length;
    this.scheduler.pool.setShare(strategy.computeShare(hostCount, this.isResponsible));
    return group !== undefined;
  }

  /**
   * Follows who is responsible.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns whether what waits is to be sent on to another dispatcher now; once
   *   for each time that responsibility goes
   */
  updateResponsibility(nowMs: number): boolean {
    if (this.isOwn) {
      this.#foreignSinceMs = undefined;
      this.#isHandedBack = false;
      return false;
    }
    this.#foreignSinceMs ??= nowMs;
    const isSettled = nowMs - this.#foreignSinceMs >= HAND_BACK_AFTER_MS;
    if (this.#isHandedBack || !isSettled) return false;
    this.#isHandedBack = true;
    return true;
  }

  #buildSpec(server: BackendServer): ServerSpec {
    const { configuration, membership } = this.#options;
    const kind = configuration.findEngineKind(server.engineKind) ?? DEFAULT_ENGINE_KIND;
    return {
      id: server.id,
      slots: kind.slots,
      prefillTokensPerSecond: kind.prefillTokensPerSecond,
      decodeTokensPerSecond: kind.decodeTokensPerSecond,
      isLeaving: membership.isBackendServerLeaving(server.id),
    };
  }
}
