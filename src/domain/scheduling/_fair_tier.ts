/**
 * One tier of the fair queue: start-time fair queuing between client accounts,
 * and earliest deadline first within an account.
 *
 * @module
 */
import { compareFlows, findDueIndex, MIN_WEIGHT } from './flow_order.js';
import type { FlowHead } from './flow_order.js';
import type { SlotDemand, WaitingDemand } from './slot_demand.js';

/** Waiting demands of one account in one tier. */
class Flow implements FlowHead {
  weight: number;

  /** Virtual start time of the account's next demand. */
  startTag = 0;

  /** Sorted by deadline, earliest first. */
  readonly items: WaitingDemand[] = [];

  workMs = 0;

  constructor(weight: number) {
    this.weight = weight;
  }

  get dueAtMs(): number {
    return this.items[0]?.demand.deadlineAtMs ?? 0;
  }
}

/** Start-time fair queuing by predicted work. */
export class FairTier {
  readonly #flows = new Map<string, Flow>();

  #virtualTime = 0;

  #size = 0;

  #workMs = 0;

  /** Number of waiting demands. */
  get size(): number {
    return this.#size;
  }

  /** Total predicted work of the waiting demands, in milliseconds. */
  get workMs(): number {
    return this.#workMs;
  }

  /** Adds a demand. @param waiting - the demand */
  add(waiting: WaitingDemand): void {
    const { demand } = waiting;
    const flow = this.#getFlow(demand);
    if (flow.items.length === 0) flow.startTag = Math.max(flow.startTag, this.#virtualTime);
    flow.weight = Math.max(MIN_WEIGHT, demand.weight);
    flow.items.splice(findInsertIndex(flow.items, demand), 0, waiting);
    flow.workMs += waiting.workMs;
    this.#workMs += waiting.workMs;
    this.#size += 1;
  }

  /** Removes a demand that was not granted. @param waiting - the demand */
  remove(waiting: WaitingDemand): void {
    const flow = this.#flows.get(waiting.demand.accountId);
    const index = flow?.items.indexOf(waiting) ?? -1;
    if (!flow || index < 0) return;
    flow.items.splice(index, 1);
    flow.workMs -= waiting.workMs;
    this.#workMs -= waiting.workMs;
    this.#size -= 1;
    if (this.#size === 0) this.#reset();
  }

  /** Removes a granted demand and charges its work to its account. @param waiting - the demand */
  grant(waiting: WaitingDemand): void {
    const flow = this.#flows.get(waiting.demand.accountId);
    if (flow) {
      this.#virtualTime = Math.max(this.#virtualTime, flow.startTag);
      flow.startTag += waiting.workMs / flow.weight;
    }
    this.remove(waiting);
  }

  /** @returns the next demand in fair order; undefined if the tier is empty */
  findFirst(): WaitingDemand | undefined {
    let first: Flow | undefined;
    this.#flows.forEach((flow) => {
      if (flow.items.length > 0 && (!first || compareFlows(flow, first) < 0)) first = flow;
    });
    return first?.items[0];
  }

  /**
   * Lists waiting demands round-robin over accounts: first the next demand of
   * each account, then the second of each, and so on.
   *
   * @param maxCount - most demands to list
   * @param maxLeadMs - lists only accounts whose turn is at most this far
   *   ahead, in milliseconds of work for a weight of 1; by default all accounts
   * @returns the demands
   */
  list(maxCount: number, maxLeadMs = Infinity): WaitingDemand[] {
    const flows = [...this.#flows.values()]
      .filter((flow) => flow.items.length > 0)
      .sort(compareFlows);
    const maxStartTag = (flows[0]?.startTag ?? 0) + maxLeadMs;
    const eligible = flows.filter((flow) => flow.startTag <= maxStartTag);
    const count = eligible.reduce((sum, flow) => sum + flow.items.length, 0);
    const listed: WaitingDemand[] = [];
    for (let rank = 0; listed.length < Math.min(maxCount, count); rank += 1)
      listed.push(...eligible.flatMap((flow) => flow.items[rank] ?? []));
    return listed.slice(0, maxCount);
  }

  /** @param demand - a new demand. @returns work granted before the new demand, in milliseconds */
  computeWorkAheadMs(demand: SlotDemand): number {
    const ownFlow = this.#flows.get(demand.accountId);
    const weight = Math.max(MIN_WEIGHT, demand.weight);
    const ownAheadMs = ownFlow ? computeEarlierWorkMs(ownFlow, demand) : 0;
    const startTag = Math.max(ownFlow?.startTag ?? 0, this.#virtualTime) + ownAheadMs / weight;
    let aheadMs = ownAheadMs;
    this.#flows.forEach((flow) => {
      if (flow === ownFlow) return;
      const shareMs = (startTag - flow.startTag) * flow.weight;
      aheadMs += Math.min(flow.workMs, Math.max(0, shareMs));
    });
    return aheadMs;
  }

  /** @returns the last demand of the account with the most waiting work per unit of weight */
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
    const flow = new Flow(weight);
    this.#flows.set(accountId, flow);
    return flow;
  }

  /**
   * Resets all start tags once the tier is empty. Otherwise an account that
   * used idle capacity would be penalized for it when other accounts arrive
   * later.
   */
  #reset(): void {
    this.#flows.clear();
    this.#virtualTime = 0;
    this.#workMs = 0;
  }
}

function findInsertIndex(items: readonly WaitingDemand[], { deadlineAtMs }: SlotDemand): number {
  return findDueIndex(items, deadlineAtMs, ({ demand }) => demand.deadlineAtMs);
}

function computeEarlierWorkMs(flow: Flow, demand: SlotDemand): number {
  return flow.items
    .slice(0, findInsertIndex(flow.items, demand))
    .reduce((sum, waiting) => sum + waiting.workMs, 0);
}
