/**
 * Rendezvous hashing: every entry host that knows the same candidates picks the same one for
 * a key, and adding or removing a candidate moves only that candidate's keys.
 *
 * @module
 */

const LANE_ONE_SEED = 0xdeadbeef;
const LANE_TWO_SEED = 0x41c6ce57;
const LANE_ONE_PRIME = 2654435761;
const LANE_TWO_PRIME = 1597334677;
const FINAL_PRIME_ONE = 2246822507;
const FINAL_PRIME_TWO = 3266489909;
const HIGH_LANE_FACTOR = 4294967296;
const HIGH_LANE_MASK = 0x1fffff;

/** One more than the highest hash: 2 to the power of 53. */
const HASH_RANGE = HIGH_LANE_FACTOR * (HIGH_LANE_MASK + 1);

/** Hashes the text in two multiplicative 32-bit lanes and mixes them into 53 bits (cyrb53). */
function hashText(text: string): number {
  let laneOne = LANE_ONE_SEED;
  let laneTwo = LANE_TWO_SEED;
  for (let index = 0; index < text.length; index += 1) {
    const codeUnit = text.charCodeAt(index);
    laneOne = Math.imul(laneOne ^ codeUnit, LANE_ONE_PRIME);
    laneTwo = Math.imul(laneTwo ^ codeUnit, LANE_TWO_PRIME);
  }
  const low = mixLanes(laneOne, laneTwo);
  const high = mixLanes(laneTwo, low);
  return HIGH_LANE_FACTOR * (high & HIGH_LANE_MASK) + (low >>> 0);
}

function mixLanes(lane: number, other: number): number {
  const mixed = Math.imul(lane ^ (lane >>> 16), FINAL_PRIME_ONE);
  return mixed ^ Math.imul(other ^ (other >>> 13), FINAL_PRIME_TWO);
}

/**
 * Picks the candidate with the highest hash of key and candidate. The order of the candidates
 * does not matter.
 *
 * @param key - the key to assign
 * @param candidates - names to pick from, such as incarnations
 * @returns the candidate; undefined if there is none
 */
export function pickByRendezvous(key: string, candidates: Iterable<string>): string | undefined {
  let best: string | undefined;
  let bestHash = -1;
  [...candidates].forEach((candidate) => {
    const hash = hashText(`${key}\n${candidate}`);
    // Ties are broken by name; otherwise two entry hosts could pick different candidates.
    if (hash < bestHash || (hash === bestHash && best !== undefined && candidate >= best)) return;
    best = candidate;
    bestHash = hash;
  });
  return best;
}

/**
 * Orders candidates for a key, starting with the one that {@link pickByRendezvous} picks. When
 * that one is removed, the next one takes over the key; since the order differs from key to
 * key, the keys of a removed candidate spread evenly over the others.
 *
 * @param key - the key to assign
 * @param candidates - names to order
 * @returns the names, highest hash first
 */
export function sortByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((name) => ({ name, hash: hashText(`${key}\n${name}`) }))
    .sort((a, b) => b.hash - a.hash || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}

/** A candidate with a weight. */
export interface WeightedCandidate {
  readonly name: string;
  /** How often to pick the candidate, relative to the weights of the others; above 0. */
  readonly weight: number;
}

/**
 * Picks several candidates for a key. Over many keys each candidate is picked in proportion to
 * its weight, as far as the number of candidates allows. Adding or removing a candidate
 * changes at most one pick of a key.
 *
 * @param key - the key to pick for, such as a caller
 * @param candidates - candidates to pick from
 * @param count - maximum number of picks
 * @returns the picked names, best first
 */
export function pickByWeight(
  key: string,
  candidates: readonly WeightedCandidate[],
  count: number,
): readonly string[] {
  return candidates
    .map(({ name, weight }) => {
      const fraction = (hashText(`${key}\n${name}`) + 1) / HASH_RANGE;
      return { name, score: -Math.log(fraction) / weight };
    })
    .sort((a, b) => a.score - b.score || (a.name < b.name ? -1 : 1))
    .slice(0, count)
    .map(({ name }) => name);
}
