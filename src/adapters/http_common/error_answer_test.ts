import t from 'tap';
import { readFileSync } from 'node:fs';
import { ERROR_TABLE, ErrorKind } from '../../domain/errors/mod.js';

t.test('docs/API.md lists each error kind as in the error table', async (t) => {
  const rows = readFileSync('docs/API.md', 'utf8')
    .split('\n')
    .map((line) => line.split('|').map((cell) => cell.trim()));
  Object.values(ErrorKind).forEach((kind) => {
    const { status, run, retryAfterMs } = ERROR_TABLE[kind];
    const wait = retryAfterMs === 0 ? 'no' : `${retryAfterMs} ms`;
    const row = rows.find((cells) => cells[1] === `\`${kind}\``);
    t.same(row?.slice(2, 5), [String(status), `\`${run}\``, wait], kind);
  });
});
