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

/** Default for backend servers whose engine kind is not configured, as in plain services. */
const DEFAULT_ENGINE_KIND: EngineKind = {
  id: 'default',
  prefillTokensPerSecond: 8_000,
  decodeTokensPerSecond: 50,
  slots: 16,
};

/**
 * Time for which another entry host must have been responsible for a group before
 * the queued requests are handed off to it, in milliseconds. Without the delay a
 * peer that flaps would cause whole queues to move back and forth.
 */
export const HANDOFF_DELAY_MS = 1_000;

/** A dispatch group with its scheduler. */
export class HostedGroup {
  readonly scheduler: GroupScheduler;

  /** Whether the group belongs to a plain service, whose backend servers have no prefix cache. */
  readonly isPlain: boolean;

  /** Since when the group is assigned to another entry host; undefined while assigned here. */
  #unassignedSinceMs: number | undefined;

  /** Whether queued requests were handed off since the group was assigned to another entry host. */
  #isHandedOff = false;

  #group: DispatchGroup;

  readonly #options: DispatcherOptions;

  /**
   * @param options - the dispatcher's options
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

  /** The group's ID. */
  get id(): string {
    return this.#group.id;
  }

  /** The group's backend servers as currently configured. */
  get backendServers(): readonly BackendServer[] {
    return this.#group.backendServers;
  }

  /** Whether this entry host is responsible for the group by its own membership view. */
  get isResponsible(): boolean {
    const { membership } = this.#options;
    return membership.pickResponsible(this.id).incarnation === membership.self.incarnation;
  }

  /**
   * Whether the group is assigned to this entry host: because it is responsible for
   * it, or because under a local strategy every entry host dispatches every group.
   */
  get isAssigned(): boolean {
    return this.#options.strategy.isLocal || this.isResponsible;
  }

  /**
   * Applies the current configuration and membership to the scheduler: the backend
   * servers, which of them are draining, and the fraction of their windows that
   * this entry host may use.
   *
   * @returns false when the group is no longer configured
   */
  update(): boolean {
    const { configuration, membership, clock, strategy } = this.#options;
    const service = configuration.findService(this.#group.serviceId);
    const groups = service ? splitDispatchGroups(service) : [];
    const group = groups.find(({ id }) => id === this.id);
    if (group) this.#group = group;
    const specs = group ? group.backendServers.map((server) => this.#buildSpec(server)) : [];
    this.scheduler.updateServers(specs, clock.nowMs());
    const hostCount = membership.listKnownIds().length;
    this.scheduler.pool.setShare(strategy.computeShare(hostCount, this.isResponsible));
    return group !== undefined;
  }

  /**
   * Tracks whether the group is still assigned to this entry host.
   *
   * @param nowMs - monotonic time in milliseconds
   * @returns whether queued requests must be handed off now; true once for each
   *   time that the group is assigned to another entry host
   */
  updateAssignment(nowMs: number): boolean {
    if (this.isAssigned) {
      this.#unassignedSinceMs = undefined;
      this.#isHandedOff = false;
      return false;
    }
    this.#unassignedSinceMs ??= nowMs;
    const isSettled = nowMs - this.#unassignedSinceMs >= HANDOFF_DELAY_MS;
    if (this.#isHandedOff || !isSettled) return false;
    this.#isHandedOff = true;
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
