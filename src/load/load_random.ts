/**
 * Seeded random numbers that make load runs repeatable.
 *
 * @module
 */
import { RandomSource } from '../ports/mod.js';

const MODULUS = 2147483647;
const MULTIPLIER = 48271;
const WARM_UP_ROUNDS = 8;

/** Park and Miller's minimal standard generator: deterministic, not cryptographically secure. */
export class LoadRandom extends RandomSource {
  #state: number;

  /** @param seed - any integer; the same seed gives the same sequence */
  constructor(seed: number) {
    super();
    this.#state = (Math.abs(Math.trunc(seed)) % (MODULUS - 1)) + 1;
    // Small seeds yield small first numbers; discarding a few rounds decorrelates the sequences.
    for (let round = 0; round < WARM_UP_ROUNDS; round += 1) this.nextFraction();
  }

  override nextFraction(): number {
    this.#state = (this.#state * MULTIPLIER) % MODULUS;
    return (this.#state - 1) / (MODULUS - 1);
  }

  override nextBytes(length: number): Uint8Array {
    return Uint8Array.from({ length }, () => Math.floor(this.nextFraction() * 256));
  }
}
