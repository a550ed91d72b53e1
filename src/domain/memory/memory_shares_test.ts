import t from 'tap';
import { divideMemory } from './mod.js';

const MEGABYTE = 1_000_000;

/** Longest body that callers may usually send, in bytes. */
const LONG_BODY_BYTES = 4_194_304;

// Guards against a process that is ended for its memory although each of its bounds is kept.
t.test('the shares of memory are no more than the machine has', async (t) => {
  [128, 160, 200, 250, 350, 474, 490, 602].forEach((megabytes) => {
    const shares = Object.values(divideMemory(megabytes * MEGABYTE)) as number[];
    const sum = shares.reduce((total, share) => total + share, 0);
    t.ok(sum <= megabytes * MEGABYTE, `${megabytes} MB`);
    t.ok(sum > (megabytes - 1) * MEGABYTE, `${megabytes} MB are used`);
  });
});

// Guards against bounds that stay those of the smallest machine.
t.test('a larger machine keeps more of its calls', async (t) => {
  const [small, large] = [160, 602].map((megabytes) => divideMemory(megabytes * MEGABYTE));
  t.ok(Number(small?.bodies) > 2 * LONG_BODY_BYTES);
  t.ok(Number(large?.bodies) > 5 * Number(small?.bodies));
  t.ok(Number(large?.unsent) > 5 * Number(small?.unsent));
});

// Guards against bounds of nothing or less where a deployment names too little memory.
t.test('all shares are positive on the smallest machine', async (t) => {
  t.ok(Object.values(divideMemory(MEGABYTE)).every((share) => Number(share) > MEGABYTE));
});
