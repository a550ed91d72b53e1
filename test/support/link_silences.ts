/**
 * Plays links between entry hosts that fall silent and go on, over the fakes of a fleet.
 *
 * @module
 */
import { PeerMessageType } from '../../src/ports/mod.js';
import type { CutFleet } from './cut_fleet.js';
import { SeededRandom } from './fakes.js';

const MIN_SILENCE_MS = 500;

const MAX_SILENCE_MS = 2_000;

/** Silence after which a link is ended, in milliseconds. */
const LINK_TIMEOUT_MS = 1_200;

/** Longest time between two checks of a link, in milliseconds. */
const CHECK_INTERVAL_MS = 400;

/** Longest time until a new link opens once the network is back, in milliseconds. */
const MAX_REDIAL_MS = 600;

/** Pairs of hosts of which one has sent requests through the other, each once. */
export function listProxyPairs(fleet: CutFleet): [string, string][] {
  const pairs = fleet.hub.delivered
    .filter(({ message }) => message.type === PeerMessageType.ProxyRequest)
    .map(({ from, to }) => [from, to].sort().join(' '));
  return [...new Set(pairs)].map((pair) => pair.split(' ') as [string, string]);
}

/** Silences links for drawn times. */
export class LinkSilences {
  /** Number of links that were ended for their silence. */
  endedCount = 0;

  readonly #fleet: CutFleet;

  readonly #random: SeededRandom;

  constructor(fleet: CutFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new SeededRandom(seed);
  }

  /** Has the links of some pairs fall silent, each at its own moment. */
  play(pairs: readonly (readonly [string, string])[], withinMs: number): void {
    pairs.forEach((pair) => {
      this.#fleet.clock.setTimer(this.#draw(0, withinMs), () => this.#silence(...pair));
    });
  }

  /** Messages arrive late, or are lost if the link is ended meanwhile. */
  #silence(a: string, b: string): void {
    const { hub, clock } = this.#fleet;
    const silentMs = this.#draw(MIN_SILENCE_MS, MAX_SILENCE_MS);
    const endsAfterMs = LINK_TIMEOUT_MS + this.#draw(0, CHECK_INTERVAL_MS);
    hub.hold(a, b);
    if (silentMs < endsAfterMs) {
      clock.setTimer(silentMs, () => hub.heal(a, b));
      return;
    }
    this.endedCount += 1;
    clock.setTimer(endsAfterMs, () => hub.cut(a, b, true));
    clock.setTimer(silentMs + this.#draw(0, MAX_REDIAL_MS), () => hub.heal(a, b));
  }

  #draw(min: number, max: number): number {
    return min + this.#random.nextFraction() * (max - min);
  }
}
