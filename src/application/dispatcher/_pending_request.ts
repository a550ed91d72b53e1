/**
 * An owner's slot request that waits for one dispatcher's reply, and its events.
 *
 * @module
 */
import type { ErrorKind } from '../../domain/errors/mod.js';
import { Channel } from '../channels/mod.js';

/** Kind of an event that concerns a pending request. */
export enum RequestEventKind {
  Granted = 'granted',
  Refused = 'refused',
  /** The dispatcher has become unreachable. */
  DispatcherLost = 'dispatcher_lost',
  /** The caller has cancelled, the deadline has passed, or the client is stopping. */
  Aborted = 'ended',
  /** No reply has arrived for a while; the request should be sent again. */
  ResendDue = 'silence',
}

/** An event that concerns a pending request. */
export type RequestEvent =
  | {
      readonly kind: RequestEventKind.Granted;
      readonly grantId: number;
      readonly backendServerId: string;
      readonly validMs: number;
    }
  | {
      readonly kind: RequestEventKind.Refused;
      readonly reason: ErrorKind;
      readonly retryAfterMs: number;
    }
  | { readonly kind: RequestEventKind.DispatcherLost }
  | { readonly kind: RequestEventKind.Aborted }
  | { readonly kind: RequestEventKind.ResendDue };

/** Maximum events that are buffered until the process of the request reads them. */
const EVENT_CAPACITY = 8;

/** A slot request sent to one dispatcher, identified by its ticket. */
export class PendingRequest {
  readonly events = new Channel<RequestEvent>({ capacity: EVENT_CAPACITY });

  /**
   * @param ticket - identifies the request; unique for this incarnation
   * @param groupId - the group from which a slot is requested
   * @param dispatcher - incarnation of the dispatcher
   */
  constructor(
    readonly ticket: number,
    readonly groupId: string,
    readonly dispatcher: string,
  ) {}

  /** @param event - the event. @returns false when the buffer is full */
  notify(event: RequestEvent): boolean {
    return this.events.offer(event);
  }
}
