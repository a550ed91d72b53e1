import t from 'tap';
import { BackendCallError } from '../../ports/mod.js';
import type { BackendAnswer } from '../../ports/mod.js';
import { CheckedBody } from './checked_body.js';

const HEAD = { headers: { 'content-type': 'text/event-stream' }, isFramed: true };

function buildAnswer(text: string, isFramed = true): BackendAnswer {
  async function* createBody(): AsyncGenerator<Uint8Array> {
    if (text !== '') yield Buffer.from(text);
  }
  return { ...HEAD, status: 200, isFramed, streamId: undefined, body: createBody() };
}

async function readAll(body: AsyncIterable<Uint8Array>): Promise<string> {
  let text = '';
  for await (const bytes of body) text += Buffer.from(bytes).toString();
  return text;
}

t.test('CheckedBody takes an empty rest for no end of an event that is open', async (t) => {
  // Guards against a stream whose open event is forgotten when it is resumed.
  const body = new CheckedBody(HEAD);
  await t.rejects(readAll(body.read(buildAnswer('data: a\n\ndata: b'))), BackendCallError);
  await t.rejects(readAll(body.read(buildAnswer(''))), BackendCallError);
  t.equal(await readAll(body.read(buildAnswer('\n\n'))), '\n\n');
});

t.test('CheckedBody refuses an end without a mark where one was promised', async (t) => {
  await t.rejects(readAll(new CheckedBody(HEAD).read(buildAnswer('data: a\n\n', false))));
  const unmarked = new CheckedBody({ ...HEAD, isFramed: false });
  t.equal(await readAll(unmarked.read(buildAnswer('data: a\n\n', false))), 'data: a\n\n');
});
