import fc from 'fast-check';
import t from 'tap';
import { readJsonLines } from './_json_lines.js';

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

t.test('readJsonLines() accepts just what JSON.parse does', async (t) => {
  const shallow = { maxDepth: 4 };
  const mutilated = fc
    .tuple(fc.json(shallow), fc.nat(), fc.constantFrom('', ',', '"', '}', '0', '\\', '\n', '-'))
    .map(([text, at, sign]) => {
      const place = at % (text.length + 1);
      return text.slice(0, place) + sign + text.slice(place + 1);
    });
  fc.assert(
    fc.property(fc.oneof(fc.json(shallow), mutilated), (text) => {
      const faults = readJsonLines(text).faults.filter(({ path }) => path.length === 0);
      return (faults.length === 0) === isJson(text);
    }),
    { seed: 42, numRuns: 2000 },
  );
  t.pass();
});

t.test('readJsonLines() finds the line of each field, or of the nearest around it', async (t) => {
  const { findLine } = readJsonLines('{\n "a": [\n  1,\n  {"b":\n 2}],\n "c": {}\n}');
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

t.test('readJsonLines() bounds depth and tells properties that stand twice', async (t) => {
  t.match(readJsonLines('['.repeat(200_000)).faults, [{ message: /deeply/ }]);
  t.match(readJsonLines('{\n"a":1,\n"a":2}').faults, [{ line: 3, path: ['a'] }]);
});
