import t from 'tap';
import { isWholeHistory } from './mod.js';

t.test('isWholeHistory() finds each change that is missing', async (t) => {
  t.ok(isWholeHistory([1, 2, 3], 3));
  t.ok(isWholeHistory([2, 3, 4], 4), 'a store that counts its empty state');
  t.ok(isWholeHistory([3, 1, 2, 4], 3), 'later changes, in any order');
  t.ok(isWholeHistory([1, 2, 2, 3], 3), 'changes of one revision');
  t.ok(isWholeHistory([], 1), 'a store without changes');
  t.notOk(isWholeHistory([1, 3], 3), 'one in the middle');
  t.notOk(isWholeHistory([3, 4], 4), 'the first ones');
  t.notOk(isWholeHistory([1, 2], 3), 'the last one');
  t.notOk(isWholeHistory([], 2), 'all');
});
