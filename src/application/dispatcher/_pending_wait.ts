/**
 * One wait of an owner at one dispatcher.
 *
 * @module
 */
import type { ErrorKind } from '../../domain/errors/mod.js';
import { Channel } from '../channels/mod.js';

/** What can end a wait, or make the owner look again. */
export enum WaitEventKind {
  Granted = 'granted',
  Refused = 'refused',
  /** The dispatcher can't be reached any more. */
  DispatcherLost = 'dispatcher_lost',
  /** The caller or the deadline ended the wish. */
  Ended = 'ended',
  /** Nothing was heard for a while. */
  Silence = 'silence',
}

/** One event of a wait. */
export type WaitEvent =
  | {
      readonly kind: WaitEventKind.Granted;
      readonly grantId: number;
      readonly backendServerId: string;
      readonly validMs: number;
    }
  | {
      readonly kind: WaitEventKind.Refused;
      readonly reason: ErrorKind;
      readonly retryAfterMs: number;
    }
  | { readonly kind: WaitEventKind.DispatcherLost }
  | { readonly kind: WaitEventKind.Ended }
  | { readonly kind: WaitEventKind.Silence };

/** Events that a wait can take in before its process comes to read them. */
const EVENT_CAPACITY = 8;

/** A ticket at one dispatcher, and the events that concern it. */
export class PendingWait {
  readonly events = new Channel<WaitEvent>({ capacity: EVENT_CAPACITY });

  /**
   * @param ticket - names it; unique for this incarnation
   * @param groupId - the group that it waits for
   * @param dispatcher - incarnation of the dispatcher
   */
  constructor(
    readonly ticket: number,
    readonly groupId: string,
    readonly dispatcher: string,
  ) {}

  /** @param event - what happened. @returns false when there is no room for it */
  notify(event: WaitEvent): boolean {
    return this.events.offer(event);
  }
}
