import { createHash } from 'node:crypto';
import fc from 'fast-check';
import t from 'tap';
import type { Service } from '../contracts/types.js';
import { ServiceKind } from '../contracts/types.js';
import {
  createStrategy,
  hashBlocks,
  MAX_HASHED_BLOCKS,
  OutputPredictor,
  parseGroupServiceId,
  predictTokens,
  RetryBudget,
  splitDispatchGroups,
  StrategyName,
} from './mod.js';

t.test('hashBlocks() hashes full blocks, each together with all preceding blocks', async (t) => {
  const first = 'a'.repeat(256);
  const hash = (text: string): string =>
    createHash('sha256').update(text).digest('hex').slice(0, 16);
  t.same(hashBlocks(first.slice(1)), []);
  t.same(hashBlocks(`${first}rest`), [hash(first)]);
  const second = 'b'.repeat(256);
  t.same(hashBlocks(first + second), [hash(first), hash(hash(first) + second)]);
  t.equal(hashBlocks('x'.repeat(256 * (MAX_HASHED_BLOCKS + 9))).length, MAX_HASHED_BLOCKS);
  t.same([predictTokens(''), predictTokens('abcde')], [0, 2]);
});

t.test('OutputPredictor learns each account and kind of work separately', async (t) => {
  const predictor = new OutputPredictor();
  t.equal(predictor.predict('a', 'report', 100), 100);
  for (let index = 0; index < 50; index += 1) predictor.observe('a', 'report', 500, 100);
  t.ok(predictor.predict('a', 'report', 100) > 490);
  t.equal(predictor.predict('a', 'summary', 100), 100);
  t.equal(predictor.predict('ar', 'eport', 100), 100);
});

t.test('RetryBudget keeps retries in proportion to first attempts', async (t) => {
  // Guards against a failing service that receives a multiple of its load
  // because every refusal is retried at once, without a budget.
  const budget = new RetryBudget(0);
  let retries = 0;
  for (let attempt = 0; attempt < 1000; attempt += 1) {
    budget.recordAttempt();
    if (budget.takeRetry(0)) retries += 1;
  }
  t.ok(retries >= 200 && retries <= 211, `${retries} retries of 1000 attempts`);
  t.notOk(budget.takeRetry(0));
  t.ok(budget.takeRetry(1_000), 'an idle service regains one retry per second');
});

t.test('splitDispatchGroups() splits evenly, and identically on every entry host', async (t) => {
  const size = fc.integer({ min: 1, max: 40 });
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.string({ minLength: 1 }), { maxLength: 60 }),
      size,
      (ids, maxSize) => {
        const service: Service = {
          id: 'a/b',
          kind: ServiceKind.Model,
          models: [],
          honoursContinue: true,
          checksOrders: true,
          dispatchGroupSize: maxSize,
          backendServers: ids.map((id) => ({
            id,
            serviceId: 'a/b',
            url: '',
            engineKind: '',
            availabilityZone: '',
          })),
        };
        const groups = splitDispatchGroups(service);
        const sizes = groups.map(({ backendServers }) => backendServers.length);
        t.equal(groups.length, Math.ceil(ids.length / maxSize));
        t.ok(sizes.every((each) => each >= 1 && each <= maxSize));
        t.ok(Math.max(0, ...sizes) - Math.min(...sizes, Infinity) <= 1);
        const reversed = { ...service, backendServers: [...service.backendServers].reverse() };
        t.same(splitDispatchGroups(reversed), groups);
        groups.forEach(({ id }, index) => {
          t.equal(id, `a/b/${index}`);
          t.equal(parseGroupServiceId(id), 'a/b');
        });
      },
    ),
    { seed: 42, numRuns: 60 },
  );
});

t.test('createStrategy() gives each baseline its rules', async (t) => {
  const rules = Object.values(StrategyName).map((name) => {
    const { isLocal, closesTiers, computeShare } = createStrategy(name);
    return [name, isLocal, closesTiers, computeShare(8, true), computeShare(8, false)];
  });
  t.same(rules, [
    ['dispatcher', false, true, 1, 1 / 8],
    ['two-choices', true, true, 1, 1],
    ['fixed-shares', true, true, 1 / 8, 1 / 8],
    ['first-come', false, false, 1, 1 / 8],
  ]);
});
