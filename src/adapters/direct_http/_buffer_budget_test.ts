import { setImmediate } from 'node:timers/promises';
import t from 'tap';
import { ByteBudget } from '../../domain/memory/mod.js';
import { BufferBudget } from './_buffer_budget.js';
import type { BufferHolder } from './_buffer_budget.js';

const MAX_BYTES = 100;

class FakeHolder implements BufferHolder {
  bytes: number;

  isDropped = false;

  constructor(bytes: number) {
    this.bytes = bytes;
  }

  measureBytes(): number {
    return this.bytes;
  }

  drop(): void {
    this.isDropped = true;
  }
}

async function findDropped(sizes: readonly number[], sizesNow = sizes): Promise<number[]> {
  const budget = new BufferBudget(new ByteBudget(MAX_BYTES));
  const holders = sizes.map((bytes) => new FakeHolder(bytes));
  holders.forEach((holder) => budget.set(holder, holder.bytes));
  holders.forEach((holder, index) => Object.assign(holder, { bytes: sizesNow[index] }));
  budget.enforce();
  await setImmediate();
  return holders.flatMap(({ isDropped }, index) => (isDropped ? [index] : []));
}

t.test('BufferBudget drops the largest holders, and as few as needed', async (t) => {
  t.strictSame(await findDropped([50, 50]), []);
  t.strictSame(await findDropped([10, 60, 40]), [1]);
  t.strictSame(await findDropped([40, 40, 40]), [0], 'the first of equal ones');
  t.strictSame(await findDropped([10, 90, 80]), [1]);
  t.strictSame(await findDropped([70, 70, 70]), [0, 1]);
});

// Guards against answers that are broken off although their callers have read them.
t.test('BufferBudget measures again before it drops', async (t) => {
  t.strictSame(await findDropped([90, 90, 90], [0, 90, 0]), []);
});
