import t from 'tap';
import { SeededRandom } from '../../../test/support/fakes.js';
import { OutputForecast } from './mod.js';

const MOST = 2_900;

t.test('OutputForecast believes hints that are right in the middle', async (t) => {
  const random = new SeededRandom(3);
  const forecast = new OutputForecast();
  for (let answer = 0; answer < 300; answer += 1) {
    const hintedTokens = 50 + random.nextFraction() * 400;
    // As often twice as long as half as long.
    const factor = random.nextFraction() < 0.5 ? 2 : 0.5;
    const work = { promptTokens: 1, outputTokens: MOST, hintedTokens };
    forecast.learn(work, hintedTokens * factor);
  }
  const expected = forecast.predict({ promptTokens: 1, outputTokens: MOST, hintedTokens: 100 });
  t.ok(expected >= 40 && expected <= 220, String(expected));
});

t.test('OutputForecast learns how little of the allowed output is used', async (t) => {
  const forecast = new OutputForecast();
  const work = { promptTokens: 1, outputTokens: MOST };
  for (let answer = 0; answer < 60; answer += 1) forecast.learn(work, 290);
  const expected = forecast.predict(work);
  t.ok(expected > 230 && expected < 350, String(expected));
});

t.test('OutputForecast expects no more than a request allows', async (t) => {
  const forecast = new OutputForecast();
  t.equal(forecast.predict({ promptTokens: 1, outputTokens: 10, hintedTokens: 500 }), 10);
});
