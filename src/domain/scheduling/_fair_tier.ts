/**
 * One tier of the fair queue: start-time fair queuing between client accounts,
 * earliest deadline first inside an account.
 *
 * @module
 */
import type { SlotDemand, WaitingDemand } from './slot_demand.js';

/** What one account has waiting in one tier. */
interface Flow {
  readonly accountId: string;
  weight: number;
  /** Virtual time at which its next demand starts. */
  startTag: number;
  /** Sorted by deadline. */
  readonly items: WaitingDemand[];
  workMs: number;
}

/** Smallest weight, so that a fault in a contract can't make tags infinite. */
const MIN_WEIGHT = 0.001;

/** Start-time fair queuing over predicted work. */
export class FairTier {
  readonly #flows = new Map<string, Flow>();

  #virtualTime = 0;

  #size = 0;

  #workMs = 0;

  /** How many wait. */
  get size(): number {
    return this.#size;
  }

  /** Predicted work of all that wait, in milliseconds. */
  get workMs(): number {
    return this.#workMs;
  }

  /** @param waiting - the demand to be added */
  add(waiting: WaitingDemand): void {
    const { demand } = waiting;
    const flow = this.#getFlow(demand);
    if (flow.items.length === 0) flow.startTag = Math.max(flow.startTag, this.#virtualTime);
    flow.weight = Math.max(MIN_WEIGHT, demand.weight);
    flow.items.splice(countEarlier(flow.items, demand), 0, waiting);
    flow.workMs += waiting.workMs;
    this.#workMs += waiting.workMs;
    this.#size += 1;
  }

  /** @param waiting - the demand to be taken out without having been granted */
  remove(waiting: WaitingDemand): void {
    const flow = this.#flows.get(waiting.demand.accountId);
    const index = flow?.items.indexOf(waiting) ?? -1;
    if (!flow || index < 0) return;
    flow.items.splice(index, 1);
    flow.workMs -= waiting.workMs;
    this.#workMs -= waiting.workMs;
    this.#size -= 1;
    if (this.#size === 0) this.#startOver();
  }

  /** @param waiting - the demand that is granted; its account pays for its work */
  grant(waiting: WaitingDemand): void {
    const flow = this.#flows.get(waiting.demand.accountId);
    if (flow) {
      this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
      flow.startTag += waiting.workMs / flow.weight;
    }
    this.remove(waiting);
  }

  /** @returns the demand that goes first; undefined when none waits */
  findFirst(): WaitingDemand | undefined {
    let first: Flow | undefined;
    this.#flows.forEach((flow) => {
      if (flow.items.length > 0 && (!first || compareFlows(flow, first) < 0)) first = flow;
    });
    return first?.items[0];
  }

  /**
   * Lists what waits: first the next of each account in turn, then the second of
   * each, and so on.
   *
   * @param most - how many at most
   * @param leadMs - only of accounts this near their turn, in milliseconds of
   *   work for a weight of 1; by default of all
   * @returns them
   */
  list(most: number, leadMs = Infinity): WaitingDemand[] {
    const flows = [...this.#flows.values()]
      .filter((flow) => flow.items.length > 0)
      .sort(compareFlows);
    const limit = (flows[0]?.startTag ?? 0) + leadMs;
    const near = flows.filter((flow) => flow.startTag <= limit);
    const count = near.reduce((sum, flow) => sum + flow.items.length, 0);
    const listed: WaitingDemand[] = [];
    for (let rank = 0; listed.length < Math.min(most, count); rank += 1)
      listed.push(...near.flatMap((flow) => flow.items[rank] ?? []));
    return listed.slice(0, most);
  }

  /** @param demand - a new demand. @returns work that would be granted before it, in milliseconds */
  computeWorkAhead(demand: SlotDemand): number {
    const own = this.#flows.get(demand.accountId);
    const weight = Math.max(MIN_WEIGHT, demand.weight);
    const ownAheadMs = own ? computeEarlierWork(own, demand) : 0;
    const startTag = Math.max(own?.startTag ?? 0, this.#virtualTime) + ownAheadMs / weight;
    let aheadMs = ownAheadMs;
    this.#flows.forEach((flow) => {
      if (flow === own) return;
      const turnsMs = (startTag - flow.startTag) * flow.weight;
      aheadMs += Math.min(flow.workMs, Math.max(0, turnsMs));
    });
    return aheadMs;
  }

  /** @returns the last demand of the account with the most waiting for its weight */
  pickVictim(): WaitingDemand | undefined {
    let heaviest: Flow | undefined;
    this.#flows.forEach((flow) => {
      if (flow.items.length === 0) return;
      if (!heaviest || flow.workMs / flow.weight > heaviest.workMs / heaviest.weight)
        heaviest = flow;
    });
    return heaviest?.items.at(-1);
  }

  #getFlow(demand: SlotDemand): Flow {
    const { accountId, weight } = demand;
    const known = this.#flows.get(accountId);
    if (known) return known;
    const flow: Flow = { accountId, weight, startTag: 0, items: [], workMs: 0 };
    this.#flows.set(accountId, flow);
    return flow;
  }

  /**
   * Forgets the tags when the tier is empty. An account that used idle room
   * would otherwise be made to pay for it when others come later.
   */
  #startOver(): void {
    this.#flows.clear();
    this.#virtualTime = 0;
    this.#workMs = 0;
  }
}

function compareFlows(a: Flow, b: Flow): number {
  if (a.startTag !== b.startTag) return a.startTag - b.startTag;
  return (a.items[0]?.demand.deadlineAtMs ?? 0) - (b.items[0]?.demand.deadlineAtMs ?? 0);
}

/** Counts the demands, sorted by deadline, that a new one goes behind. */
function countEarlier(items: readonly WaitingDemand[], demand: SlotDemand): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const other = items[middle]?.demand.deadlineAtMs ?? 0;
    if (other <= demand.deadlineAtMs) low = middle + 1;
    else high = middle;
  }
  return low;
}

function computeEarlierWork(flow: Flow, demand: SlotDemand): number {
  return flow.items
    .slice(0, countEarlier(flow.items, demand))
    .reduce((sum, waiting) => sum + waiting.workMs, 0);
}
