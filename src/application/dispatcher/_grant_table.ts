/**
 * Stores a dispatcher's outstanding grants: slots that it has granted and that have
 * not been released.
 *
 * @module
 */
import type { SlotRequester } from './slot_requester.js';

/** Fields of one grant. */
export interface GrantFields {
  /** Key of the slot request that it answers, built from the owner's incarnation and ticket. */
  readonly key: string;
  readonly requester: SlotRequester;
  readonly ticket: number;
  readonly groupId: string;
  readonly grantId: number;
  readonly backendServerId: string;
  /** Time until which the owner may hand its request over, on the monotonic clock. */
  readonly validUntilMs: number;
  /** The request's deadline, on the monotonic clock. */
  readonly deadlineAtMs: number;
}

/** An outstanding grant, and the time for which its owner has been unreachable. */
export class Grant {
  #ownerUnreachableSinceMs: number | undefined;

  /** @param fields - the fields of the grant */
  constructor(readonly fields: GrantFields) {}

  /**
   * Records whether the owner is reachable.
   *
   * @param isUnreachable - whether the owner is unreachable now
   * @param nowMs - monotonic time in milliseconds
   * @returns time for which it has been unreachable without a break, in milliseconds
   */
  trackOwnerAbsence(isUnreachable: boolean, nowMs: number): number {
    this.#ownerUnreachableSinceMs = isUnreachable
      ? (this.#ownerUnreachableSinceMs ?? nowMs)
      : undefined;
    return nowMs - (this.#ownerUnreachableSinceMs ?? nowMs);
  }
}

/** Finds grants by group and grant ID, and by the slot request that they answer. */
export class GrantTable {
  readonly #grantsById = new Map<string, Grant>();

  readonly #grantsByRequestKey = new Map<string, Grant>();

  /** @param grant - a new grant */
  add(grant: Grant): void {
    const { groupId, grantId, key } = grant.fields;
    this.#grantsById.set(formatGrantKey(groupId, grantId), grant);
    this.#grantsByRequestKey.set(key, grant);
  }

  /** @param groupId - the group. @param grantId - the grant. @returns it, if outstanding */
  find(groupId: string, grantId: number): Grant | undefined {
    return this.#grantsById.get(formatGrantKey(groupId, grantId));
  }

  /** @param key - key of a slot request. @returns the grant that answers it, if outstanding */
  findByRequestKey(key: string): Grant | undefined {
    return this.#grantsByRequestKey.get(key);
  }

  /** @param grant - a grant that was released or reclaimed */
  remove(grant: Grant): void {
    const { groupId, grantId, key } = grant.fields;
    this.#grantsById.delete(formatGrantKey(groupId, grantId));
    this.#grantsByRequestKey.delete(key);
  }

  /** @returns all outstanding grants */
  list(): Grant[] {
    return [...this.#grantsById.values()];
  }
}

function formatGrantKey(groupId: string, grantId: number): string {
  return `${groupId}#${grantId}`;
}
