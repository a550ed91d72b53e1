import fc from 'fast-check';
import t from 'tap';
import { locateFields } from './_field_locations.js';

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

t.test('locateFields() accepts exactly the texts that JSON.parse accepts', async (t) => {
  const shallow = { maxDepth: 4 };
  const mutilated = fc
    .tuple(fc.json(shallow), fc.nat(), fc.constantFrom('', ',', '"', '}', '0', '\\', '\n', '-'))
    .map(([text, at, sign]) => {
      const place = at % (text.length + 1);
      return text.slice(0, place) + sign + text.slice(place + 1);
    });
  fc.assert(
    fc.property(fc.oneof(fc.json(shallow), mutilated), (text) => {
      const faults = locateFields(text).faults.filter(({ path }) => path.length === 0);
      return (faults.length === 0) === isJson(text);
    }),
    { seed: 42, numRuns: 2000 },
  );
  t.pass();
});

t.test('locateFields() finds the line of a field or of its nearest enclosing field', async (t) => {
  const { findLine } = locateFields('{\n "a": [\n  1,\n  {"b":\n 2}],\n "c": {}\n}');
  const cases: readonly (readonly [readonly (string | number)[], number])[] = [
    [[], 1],
    [['a'], 2],
    [['a', 0], 3],
    [['a', 1], 4],
    [['a', 1, 'b'], 4],
    [['c', 'missing'], 6],
    [['missing'], 1],
  ];
  cases.forEach(([path, line]) => t.equal(findLine(path), line, path.join('.')));
});

t.test('locateFields() limits the nesting depth and reports duplicate properties', async (t) => {
  t.match(locateFields('['.repeat(200_000)).faults, [{ message: /deeply/ }]);
  t.match(locateFields('{\n"a":1,\n"a":2}').faults, [{ line: 3, path: ['a'] }]);
});
