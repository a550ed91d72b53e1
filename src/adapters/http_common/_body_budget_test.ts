import t from 'tap';
import fc from 'fast-check';
import { ErrorKind } from '../../domain/errors/mod.js';
import type { SchedulerError } from '../../domain/errors/mod.js';
import { BodyBudget } from './_body_budget.js';

const MAX_BYTES = 100;

t.test('BodyBudget never holds more than the whole, nor a holder more than its part', async (t) => {
  const step = fc.record({
    holder: fc.constantFrom(...'abcdef'),
    bytes: fc.nat(30),
    gives: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const budget = new BodyBudget(MAX_BYTES);
      const held = new Map<string, number[]>();
      steps.forEach(({ holder, bytes, gives }) => {
        const taken = held.get(holder) ?? [];
        held.set(holder, taken);
        if (gives) {
          const given = taken.pop();
          if (given !== undefined) budget.release(holder, given);
          return;
        }
        const part = taken.reduce((sum, each) => sum + each, 0) + bytes;
        const whole = budget.heldBytes + bytes;
        try {
          budget.acquire(holder, bytes);
          taken.push(bytes);
          t.ok(part <= MAX_BYTES / 4 && whole <= MAX_BYTES);
        } catch (error) {
          const kind =
            part > MAX_BYTES / 4 ? ErrorKind.InFlightLimited : ErrorKind.TooManyConnections;
          t.equal((error as SchedulerError).kind, kind);
          t.ok(part > MAX_BYTES / 4 || whole > MAX_BYTES, 'refused only for want of room');
        }
      });
      held.forEach((taken, holder) => taken.forEach((bytes) => budget.release(holder, bytes)));
      t.equal(budget.heldBytes, 0);
    }),
    { seed: 42, numRuns: 100 },
  );
});
