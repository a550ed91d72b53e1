/**
 * Limits what the heads of all requests and their calls take.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ByteBudget } from '../../domain/memory/mod.js';

/** Memory that a request takes beside its head, with its call and its answer's head, in bytes. */
const REQUEST_BYTES = 12_288;

/** Memory that a request takes that is refused, until its caller has read so, in bytes. */
const REFUSAL_BYTES = 6_144;

/** Memory that a name or value of a head takes beside its characters, in bytes. */
const FIELD_BYTES = 48;

/** Longest head, in bytes, that may use the reserve, so that few long ones don't keep out all others. */
const SMALL_HEAD_BYTES = 8_192;

/** Part of the limit that is kept for requests with small heads, the first of their connections. */
const SMALL_RESERVE_SHARE = 1 / 4;

/** Part of the limit that is kept for refusals. */
const REFUSALS_RESERVE_SHARE = 1 / 16;

/** What happens to a request. */
export enum Admission {
  Accepted = 'accepted',
  Refused = 'refused',
  /** There is no room for an answer either: the connection must be closed. */
  Closed = 'closed',
}

/**
 * Counts requests until their answers are closed. Limits for single heads and for connections don't bound
 * their sum, as a head may have a thousand short fields, and callers may send many requests on one
 * connection without waiting.
 */
export class HeldRequests {
  readonly #budget: ByteBudget;

  /** @param budget - counts the bytes of all requests together */
  constructor(budget: ByteBudget) {
    this.#budget = budget;
  }

  /**
   * Takes a request in, or only its refusal.
   *
   * @param message - the request
   * @param response - its answer, whose close makes room again
   * @param isFirst - whether no other request of its connection waits for an answer
   * @returns what happens to the request
   */
  admit(message: IncomingMessage, response: ServerResponse, isFirst: boolean): Admission {
    const headBytes = measureHead(message);
    const { maxBytes } = this.#budget;
    const hasReserve = isFirst && headBytes <= SMALL_HEAD_BYTES;
    const reserveShare = hasReserve ? REFUSALS_RESERVE_SHARE : SMALL_RESERVE_SHARE;
    if (this.#hold(response, headBytes + REQUEST_BYTES, maxBytes * reserveShare))
      return Admission.Accepted;
    return this.admitRefusal(response);
  }

  /**
   * Takes the refusal of a request in.
   *
   * @param response - its answer, whose close makes room again
   * @returns whether the refusal can be answered
   */
  admitRefusal(response: ServerResponse): Admission {
    return this.#hold(response, REFUSAL_BYTES, 0) ? Admission.Refused : Admission.Closed;
  }

  #hold(response: ServerResponse, bytes: number, reserveBytes: number): boolean {
    if (!this.#budget.tryTake(bytes, reserveBytes)) return false;
    response.once('close', () => this.#budget.release(bytes));
    return true;
  }
}

/** Measures what a head takes: its text, and the object of its fields. */
function measureHead({ url = '', rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + FIELD_BYTES, url.length);
}
