/**
 * States of the links between the hosts of a test.
 *
 * @module
 */
/** State of a link between two entry hosts. */
export enum LinkState {
  Up = 'up',
  /** The link is down, and both ends know it. */
  Cut = 'cut',
  /** Messages are lost, and neither end knows it. */
  Silent = 'silent',
  /** Messages are on their way until the link is up again, or lost once it is cut. */
  Held = 'held',
}

/** A message on its way. */
export interface FakeDelivery {
  readonly from: string;
  readonly to: string;
  readonly run: () => void;
}

/** Keeps the state of each link, and the messages on links that are held. */
export class FakeLinks {
  readonly #states = new Map<string, LinkState>();

  readonly #held = new Map<string, FakeDelivery[]>();

  /** @returns the state of a link; it is up unless a test has changed it */
  get(a: string, b: string): LinkState {
    return this.#states.get(formatPair(a, b)) ?? LinkState.Up;
  }

  /** Changes the state of a link. @returns messages that arrive because of it */
  set(a: string, b: string, state: LinkState): readonly FakeDelivery[] {
    const pair = formatPair(a, b);
    this.#states.set(pair, state);
    const held = this.#held.get(pair) ?? [];
    if (state === LinkState.Held) this.#held.set(pair, held);
    else this.#held.delete(pair);
    return state === LinkState.Up ? held : [];
  }

  /** Keeps a message on a held link. @returns false if the link is not held */
  tryHold(delivery: FakeDelivery): boolean {
    const { from, to } = delivery;
    if (this.get(from, to) !== LinkState.Held) return false;
    this.#held.get(formatPair(from, to))?.push(delivery);
    return true;
  }

  /** @returns all pairs of hosts whose link a test has changed */
  listPairs(): [string, string][] {
    return [...this.#states.keys()].map((pair) => pair.split('|') as [string, string]);
  }
}

/** @returns one key for both orders of two hosts */
export function formatPair(a: string, b: string): string {
  return a < b ? `${a}|${b}` : `${b}|${a}`;
}
