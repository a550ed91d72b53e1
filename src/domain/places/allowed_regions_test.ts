import t from 'tap';
import { intersectRegions } from './mod.js';

t.test('intersectRegions() applies both restrictions', async (t) => {
  t.same(intersectRegions(['north', 'south'], ['south', 'east']), ['south']);
  t.same(intersectRegions(undefined, ['south']), ['south']);
  t.same(intersectRegions(['south'], undefined), ['south']);
  t.equal(intersectRegions(undefined, undefined), undefined);
  t.same(intersectRegions(['north'], ['south']), []);
});
