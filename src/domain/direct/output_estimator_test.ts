import t from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { OutputEstimator } from './mod.js';

const OUTPUT_LIMIT = 2_900;

t.test('the output estimate follows hints whose median is right', async (t) => {
  const random = new SeededRandom(3);
  const estimator = new OutputEstimator();
  for (let answer = 0; answer < 300; answer += 1) {
    const hintedTokens = 50 + random.nextFraction() * 400;
    // The actual output is twice the hint as often as half of it.
    const factor = random.nextFraction() < 0.5 ? 2 : 0.5;
    const work = { promptTokens: 1, outputTokens: OUTPUT_LIMIT, hintedTokens };
    estimator.learn(work, hintedTokens * factor);
  }
  const expected = estimator.predict({
    promptTokens: 1,
    outputTokens: OUTPUT_LIMIT,
    hintedTokens: 100,
  });
  t.ok(expected >= 40 && expected <= 220, String(expected));
});

t.test('the output estimate learns the used fraction of the output limit', async (t) => {
  const estimator = new OutputEstimator();
  const work = { promptTokens: 1, outputTokens: OUTPUT_LIMIT };
  for (let answer = 0; answer < 60; answer += 1) estimator.learn(work, 290);
  const expected = estimator.predict(work);
  t.ok(expected > 230 && expected < 350, String(expected));
});

t.test('the output estimate never exceeds the limit of a request', async (t) => {
  const estimator = new OutputEstimator();
  t.equal(estimator.predict({ promptTokens: 1, outputTokens: 10, hintedTokens: 500 }), 10);
});
