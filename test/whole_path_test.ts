/**
 * End-to-end test with real processes: caller, entry host, owner, dispatcher and backend server.
 *
 * @module
 */
import OpenAI from 'openai';
import t from 'tap';
import { startFleet } from './fleet/mod.js';

const MODEL = 'monsoon-draft';

t.test('copies of a request sent through different entry hosts run once', async (t) => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const [account] = fleet.accounts;
  const headers = { authorization: `Bearer ${account?.apiKey}` };
  const [first] = fleet.entryHosts;

  const client = new OpenAI({
    baseURL: `${first?.url}/v1`,
    apiKey: account?.apiKey,
    maxRetries: 0,
  });
  const stream = await client.chat.completions.create({
    model: MODEL,
    messages: [{ role: 'user', content: 'Describe the damp in the bedroom.' }],
    max_tokens: 12,
    stream: true,
  });
  const words: string[] = [];
  for await (const event of stream) words.push(event.choices[0]?.delta.content ?? '');
  t.equal(words.join('').trim().split(' ').length, 12, 'a call without an ID is streamed in full');

  const assignment = await fetch(`${first?.url}/v1/requests`, { method: 'POST', headers });
  const { id } = (await assignment.json()) as { id: string };
  const texts = await Promise.all(
    fleet.entryHosts.map(async (host) => {
      const copy = await fetch(`${host.url}/v1/chat/completions`, {
        method: 'POST',
        headers: { ...headers, 'content-type': 'application/json', 'request-id': id },
        body: JSON.stringify({
          model: MODEL,
          messages: [{ role: 'user', content: 'One report, please.' }],
          max_tokens: 9,
        }),
      });
      t.equal(copy.status, 200);
      return copy.text();
    }),
  );
  t.equal(new Set(texts).size, 1, 'every copy gets the same response');

  const runs = await fleet.readRuns();
  t.equal(runs.filter((run) => run.requestId === id).length, 1, 'the copies caused one run');
  t.equal(runs.length, 2);
});
