import t from 'tap';
import fc from 'fast-check';
import { ErrorKind } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { BodyBudget } from './_body_budget.js';

const MAX_BYTES = 100;

t.test('BodyBudget limits the total, and each holder to its fraction', async (t) => {
  const step = fc.record({
    holder: fc.constantFrom(...'abcdef'),
    bytes: fc.nat(30),
    isRelease: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const budget = new BodyBudget(MAX_BYTES);
      const reserved = new Map<string, number[]>();
      steps.forEach(({ holder, bytes, isRelease }) => {
        const taken = reserved.get(holder) ?? [];
        reserved.set(holder, taken);
        if (isRelease) {
          const released = taken.pop();
          if (released !== undefined) budget.release(holder, released);
          return;
        }
        const holderBytes = taken.reduce((sum, each) => sum + each, 0) + bytes;
        const totalBytes = budget.reservedBytes + bytes;
        try {
          budget.acquire(holder, bytes);
          taken.push(bytes);
          t.ok(holderBytes <= MAX_BYTES / 4 && totalBytes <= MAX_BYTES);
        } catch (error) {
          const kind =
            holderBytes > MAX_BYTES / 4 ? ErrorKind.InFlightLimited : ErrorKind.TooManyConnections;
          t.equal((error as SchedulerError).kind, kind);
          t.ok(
            holderBytes > MAX_BYTES / 4 || totalBytes > MAX_BYTES,
            'refused only when a limit is exceeded',
          );
        }
      });
      reserved.forEach((taken, holder) => taken.forEach((bytes) => budget.release(holder, bytes)));
      t.equal(budget.reservedBytes, 0);
    }),
    { seed: 42, numRuns: 100 },
  );
});
