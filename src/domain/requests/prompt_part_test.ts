import t from 'tap';
import { listSharedPartIds } from './mod.js';
import type { RequestPrompt } from './mod.js';

function buildPrompt(ids: readonly string[], model = 'm'): RequestPrompt {
  return { model, parts: ids.map((id) => ({ id, tokens: 10 })) };
}

t.test('listSharedPartIds() lists all parts but the last, each once', async (t) => {
  t.equal(listSharedPartIds(buildPrompt(['a', 'b', 'a', 'own'])).length, 2);
  t.same(listSharedPartIds(buildPrompt(['own'])), []);
  t.same(listSharedPartIds(buildPrompt([])), []);
  t.same(listSharedPartIds(undefined), []);
  t.match(listSharedPartIds(buildPrompt(['a', 'own']))[0], /^[0-9a-f]{24}$/);
});

t.test('listSharedPartIds() tells models apart, and reads a bounded number', async (t) => {
  t.notSame(
    listSharedPartIds(buildPrompt(['a', 'own'], 'm')),
    listSharedPartIds(buildPrompt(['a', 'own'], 'n')),
  );
  const many = Array.from({ length: 3_000 }, (_, index) => `part-${index}`);
  t.equal(listSharedPartIds(buildPrompt(many)).length, 64);
});
