/**
 * The grants that a dispatcher has given out and not got back.
 *
 * @module
 */
import type { SlotRequester } from './slot_requester.js';

/** One slot that an owner holds. */
export interface GrantFields {
  /** Names the wait that it ended: the owner's incarnation and ticket. */
  readonly key: string;
  readonly requester: SlotRequester;
  readonly ticket: number;
  readonly groupId: string;
  readonly grantId: number;
  readonly backendServerId: string;
  /** Until when it may be handed over, on the monotonic clock. */
  readonly validUntilMs: number;
  /** The request's deadline, on the monotonic clock. */
  readonly deadlineAtMs: number;
}

/** A grant that is out, and how long its owner has been gone. */
export class Grant {
  #ownerGoneSinceMs: number | undefined;

  /** @param fields - what was granted */
  constructor(readonly fields: GrantFields) {}

  /**
   * Follows whether its owner can be seen.
   *
   * @param isGone - whether it can't be seen now
   * @param nowMs - monotonic time in milliseconds
   * @returns for how long it can't, in milliseconds
   */
  noteOwner(isGone: boolean, nowMs: number): number {
    this.#ownerGoneSinceMs = isGone ? (this.#ownerGoneSinceMs ?? nowMs) : undefined;
    return nowMs - (this.#ownerGoneSinceMs ?? nowMs);
  }
}

/** Finds grants by their own name and by the wait that they ended. */
export class GrantBook {
  readonly #byName = new Map<string, Grant>();

  readonly #byKey = new Map<string, Grant>();

  /** @param grant - a grant that was given out */
  add(grant: Grant): void {
    const { groupId, grantId, key } = grant.fields;
    this.#byName.set(formatName(groupId, grantId), grant);
    this.#byKey.set(key, grant);
  }

  /** @param groupId - the group. @param grantId - the grant in it. @returns it, while it is out */
  find(groupId: string, grantId: number): Grant | undefined {
    return this.#byName.get(formatName(groupId, grantId));
  }

  /** @param key - owner's incarnation and ticket. @returns the grant that ended that wait */
  findByKey(key: string): Grant | undefined {
    return this.#byKey.get(key);
  }

  /** @param grant - a grant that came back */
  remove(grant: Grant): void {
    const { groupId, grantId, key } = grant.fields;
    this.#byName.delete(formatName(groupId, grantId));
    this.#byKey.delete(key);
  }

  /** @returns every grant that is out */
  list(): Grant[] {
    return [...this.#byName.values()];
  }
}

function formatName(groupId: string, grantId: number): string {
  return `${groupId}#${grantId}`;
}
