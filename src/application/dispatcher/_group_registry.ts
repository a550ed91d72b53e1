/**
 * The dispatch groups that this entry host holds.
 *
 * @module
 */
import { parseGroupService, splitDispatchGroups } from '../../domain/scheduling/mod.js';
import { HeldGroup } from './_held_group.js';
import type { DispatcherOptions } from './dispatcher_options.js';

/** Finds held groups, and begins to hold those of the configuration when they are asked for. */
export class GroupRegistry {
  readonly #options: DispatcherOptions;

  readonly #groups = new Map<string, HeldGroup>();

  /** @param options - what the dispatcher is built from */
  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** @param groupId - which group. @returns it, if it is held */
  find(groupId: string): HeldGroup | undefined {
    return this.#groups.get(groupId);
  }

  /** @param groupId - which group. @returns it, held from now on; undefined when there is none */
  open(groupId: string): HeldGroup | undefined {
    const known = this.#groups.get(groupId);
    if (known) return known;
    const service = this.#options.configuration.findService(parseGroupService(groupId));
    const group = service && splitDispatchGroups(service).find(({ id }) => id === groupId);
    if (!service || !group) return undefined;
    const held = new HeldGroup(this.#options, service, group);
    this.#groups.set(groupId, held);
    return held;
  }

  /** Begins to hold every group that this entry host should. @returns those */
  openOwn(): HeldGroup[] {
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

  /** Forgets groups that the configuration no longer has, once nothing of them is left. */
  prune(): void {
    this.#groups.forEach((group, id) => {
      const { waitingCount, pool } = group.scheduler;
      const isEmpty = waitingCount === 0 && pool.heldCount === 0;
      if (isEmpty && !group.update()) this.#groups.delete(id);
    });
  }

  /** @returns every held group */
  list(): HeldGroup[] {
    return [...this.#groups.values()];
  }
}
