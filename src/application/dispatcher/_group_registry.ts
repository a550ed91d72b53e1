/**
 * Registry of the dispatch groups that this entry host dispatches for.
 *
 * @module
 */
import { parseGroupServiceId, splitDispatchGroups } from '../../domain/scheduling/mod.js';
import { HostedGroup } from './_hosted_group.js';
import type { DispatcherOptions } from './dispatcher_options.js';

/** Finds hosted groups, and creates them from the configuration on demand. */
export class GroupRegistry {
  readonly #options: DispatcherOptions;

  readonly #groups = new Map<string, HostedGroup>();

  /** @param options - the dispatcher's options */
  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** @param groupId - the group. @returns the hosted group, if there is one */
  find(groupId: string): HostedGroup | undefined {
    return this.#groups.get(groupId);
  }

  /** @param groupId - the group. @returns it, created if needed; undefined if not configured */
  open(groupId: string): HostedGroup | undefined {
    const known = this.#groups.get(groupId);
    if (known) return known;
    const service = this.#options.configuration.findService(parseGroupServiceId(groupId));
    const group = service && splitDispatchGroups(service).find(({ id }) => id === groupId);
    if (!service || !group) return undefined;
    const created = new HostedGroup(this.#options, service, group);
    this.#groups.set(groupId, created);
    return created;
  }

  /** Creates every group that is assigned to this entry host. @returns the assigned groups */
  openAssigned(): HostedGroup[] {
    const { configuration, membership, strategy } = this.#options;
    const { incarnation } = membership.self;
    return configuration
      .listServices()
      .flatMap(splitDispatchGroups)
      .filter(
        ({ id }) => strategy.isLocal || membership.pickResponsible(id).incarnation === incarnation,
      )
      .flatMap(({ id }) => this.open(id) ?? []);
  }

  /** Removes groups that are no longer configured and have no queued requests or held slots. */
  prune(): void {
    this.#groups.forEach((group, id) => {
      const { waitingCount, pool } = group.scheduler;
      const isIdle = waitingCount === 0 && pool.heldCount === 0;
      if (isIdle && !group.update()) this.#groups.delete(id);
    });
  }

  /** @returns all hosted groups */
  list(): HostedGroup[] {
    return [...this.#groups.values()];
  }
}
