/**
 * Rendezvous hashing: every entry host that sees the same candidates picks the
 * same one for a key, and a candidate that comes or goes moves only its own keys.
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

/** One more than the highest hash: 53 bits. */
const HASH_RANGE = HIGH_LANE_FACTOR * (HIGH_LANE_MASK + 1);

/** Two multiplicative 32-bit lanes over the text, mixed to 53 bits. */
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
 * Picks the candidate whose hash together with the key is highest. The order of
 * the candidates does not matter.
 *
 * @param key - what somebody is to be responsible for
 * @param candidates - names to pick from, such as incarnations
 * @returns the candidate; undefined when there is none
 */
export function pickByRendezvous(key: string, candidates: Iterable<string>): string | undefined {
  let best: string | undefined;
  let bestHash = -1;
  [...candidates].forEach((candidate) => {
    const hash = hashText(`${key}\n${candidate}`);
    // Equal hashes are settled by name, or two entry hosts could pick differently.
    if (hash < bestHash || (hash === bestHash && best !== undefined && candidate >= best)) return;
    best = candidate;
    bestHash = hash;
  });
  return best;
}

/**
 * Orders candidates for a key, the one that {@link pickByRendezvous} picks first. When
 * it goes, the next follows, and other keys' first candidates are spread likewise.
 *
 * @param key - what somebody is to be responsible for
 * @param candidates - names to order
 * @returns the names, best first
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
  /** How often it is to be picked, beside the others; above 0. */
  readonly weight: number;
}

/**
 * Picks several candidates for a key, each as often over many keys as its weight says,
 * as far as their number allows. A candidate that comes or goes changes no more than
 * one pick of a key.
 *
 * @param key - whom they are picked for
 * @param candidates - who may be picked
 * @param count - how many
 * @returns their names
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
