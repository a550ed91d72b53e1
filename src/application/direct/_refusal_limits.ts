/**
 * Tracks services whose backend servers fail when they must turn many requests away, and divides
 * the slots of such servers among the entry hosts.
 *
 * @module
 */
import type { BackendServerEntry, ServerLoad } from '../../domain/backend_servers/mod.js';
import { LogLevel } from '../../domain/errors/mod.js';
import type { HostState } from '../../domain/overlay/mod.js';
import { deriveSlotQuota, splitSlots } from '../../domain/places/mod.js';
import type { SlottedServer } from '../../domain/places/mod.js';
import type { Clock, EventLog, ServerNotice, ReportedRefusalLimit } from '../../ports/mod.js';
import type { PaceHosts } from './_pace_roles.js';

/**
 * Time after the last answer that names it for which the state holds, in milliseconds. After it, the
 * next answer of a server decides whether the limit is still there.
 */
const HOLD_MS = 4_000;

/** Slots at each server that a host without slots uses to learn whether a limit is still there. */
const TRIAL_SLOTS = 1;

const NO_SLOTS: ReadonlyMap<string, number> = new Map();

/** Dependencies of {@link RefusalLimits}. */
export interface RefusalLimitsOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly hosts: PaceHosts;
  /** @param serviceId - a service. @returns its servers that may be given work */
  readonly listServers: (serviceId: string) => readonly SlottedServer[];
}

/** This host's slots, and what they were computed from. */
interface SlotSplit {
  readonly known: readonly HostState[];
  readonly serverKey: string;
  /** By incarnation ID. */
  readonly ownSlots: ReadonlyMap<string, number>;
}

interface NamedLimit {
  readonly declinesPerSecond: number;
  /** When an answer last named it, on the monotonic clock in milliseconds. */
  readonly namedAtMs: number;
}

/**
 * Knows these services from answers and from peers. Their slots are dealt to all known entry hosts,
 * silent ones included: hosts that are cut off from each other never use the same slot.
 */
export class RefusalLimits {
  readonly #options: RefusalLimitsOptions;

  /** By service ID. */
  readonly #states = new Map<string, NamedLimit>();

  /** By service ID. */
  readonly #splits = new Map<string, SlotSplit>();

  readonly #beginHandlers: (() => void)[] = [];

  /** @param options - dependencies */
  constructor(options: RefusalLimitsOptions) {
    this.#options = options;
  }

  /** @returns IDs of the services whose servers limit their refusals now */
  listLimitedServices(): readonly string[] {
    return [...this.#states.keys()].filter((id) => this.find(id) !== undefined);
  }

  /** Number of services whose servers limit their refusals now. */
  get count(): number {
    return this.listLimitedServices().length;
  }

  /** @param handler - called when a service begins to limit its refusals, or names another limit */
  onBegin(handler: () => void): void {
    this.#beginHandlers.push(handler);
  }

  /**
   * @param serviceId - a service
   * @returns refusals a second that each of its servers bears; undefined: no such limit
   */
  find(serviceId: string): number | undefined {
    const state = this.#states.get(serviceId);
    const isCurrent = state && this.#options.clock.nowMs() - state.namedAtMs < HOLD_MS;
    return isCurrent ? state.declinesPerSecond : undefined;
  }

  /** @param serviceId - service of a server. @param notice - limits that its answer names */
  recordAnswer(serviceId: string, { declinesPerSecond }: ServerNotice): void {
    if (declinesPerSecond !== undefined) {
      this.#record(serviceId, { declinesPerSecond, ageMs: 0 }, 'answer');
    } else if (this.find(serviceId) === undefined) {
      this.#states.delete(serviceId);
    }
  }

  /** @param reported - states that a peer reports. @param source - incarnation of its process */
  applyReported(reported: Readonly<Record<string, ReportedRefusalLimit>>, source: string): void {
    Object.entries(reported).forEach(([id, state]) => this.#record(id, state, source));
  }

  /** @returns the current states for peers, by service ID */
  listReported(): Record<string, ReportedRefusalLimit> {
    const nowMs = this.#options.clock.nowMs();
    return Object.fromEntries(
      [...this.#states]
        .filter(([id]) => this.find(id) !== undefined)
        .map(([id, { declinesPerSecond, namedAtMs }]) => [
          id,
          { declinesPerSecond, ageMs: Math.round(nowMs - namedAtMs) },
        ]),
    );
  }

  /**
   * Updates what this entry host may send to a backend server.
   *
   * @param entry - registry entry of the server
   * @param load - its load, which holds the pace
   */
  updatePace({ id, serviceId }: BackendServerEntry, load: ServerLoad): void {
    const nowMs = this.#options.clock.nowMs();
    const state = this.#states.get(serviceId);
    if (!state) {
      if (load.pace.slots.isPaced) load.pace.slots.configure(undefined, nowMs);
      return;
    }
    const { hosts } = this.#options;
    const hostCount = hosts.listKnown().length + 1;
    const bound = { slots: load.slots, declinesPerSecond: state.declinesPerSecond, hostCount };
    const ownSlots = this.#countOwnSlots(serviceId, id);
    load.pace.slots.configure(deriveSlotQuota(ownSlots, bound), nowMs);
  }

  /**
   * A host that is cut off from its peers hears neither of slots nor of limits: without a trial it
   * would never serve again, and with all slots at once its waiting calls would overfill servers.
   */
  #countOwnSlots(serviceId: string, serverId: string): number {
    const isConfirmed = this.#options.hosts.isConfirmed();
    const ownSlots = isConfirmed ? this.#splitSlots(serviceId) : NO_SLOTS;
    if (ownSlots.size === 0 && this.find(serviceId) === undefined) return TRIAL_SLOTS;
    return ownSlots.get(serverId) ?? 0;
  }

  /** Divides the slots anew after a host or server has come or gone. */
  #splitSlots(serviceId: string): ReadonlyMap<string, number> {
    const { hosts, listServers } = this.#options;
    const known = hosts.listKnown();
    const servers = listServers(serviceId);
    const serverKey = servers.map(({ id, slots }) => `${id} ${slots}`).join();
    const cached = this.#splits.get(serviceId);
    if (cached?.known === known && cached.serverKey === serverKey) return cached.ownSlots;
    const hostIds = [hosts.selfId, ...known.map(({ identity }) => identity.id)];
    const ownSlots = splitSlots(servers, hostIds, hosts.selfId);
    this.#splits.set(serviceId, { known, serverKey, ownSlots });
    return ownSlots;
  }

  #record(
    serviceId: string,
    { declinesPerSecond, ageMs }: ReportedRefusalLimit,
    source: string,
  ): void {
    const namedAtMs = this.#options.clock.nowMs() - ageMs;
    const known = this.#states.get(serviceId);
    if (ageMs >= HOLD_MS || (known && known.namedAtMs >= namedAtMs)) return;
    const isNew = this.find(serviceId) !== declinesPerSecond;
    if (isNew) {
      this.#options.log.write(LogLevel.Warn, 'service_refusals_limited', {
        service: serviceId,
        declinesPerSecond,
        ageMs: Math.round(ageMs),
        source,
      });
    }
    this.#states.set(serviceId, { declinesPerSecond, namedAtMs });
    if (isNew) this.#beginHandlers.forEach((handler) => handler());
  }
}
