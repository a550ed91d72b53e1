import t from 'tap';
import type { Test } from 'tap';
import { Platform } from './mod.js';
import {
  openCall,
  sendCall,
  sendJsonCall,
  setFault,
  waitForHead,
  readResponse,
} from './_test_client.js';

interface Entry {
  readonly Key: string;
  readonly Value: string;
  readonly ModifyIndex: number;
}

interface Read {
  readonly index: number;
  readonly status: number;
  readonly values: Readonly<Record<string, string>>;
}

async function startPlatform(t: Test): Promise<string> {
  const platform = new Platform();
  t.teardown(() => platform.close());
  return platform.open({ host: '127.0.0.1', port: 0 });
}

async function publish(url: string, key: string, value: string): Promise<number> {
  const path = `${url}/_standin/kv/${key}`;
  const { index } = await sendJsonCall<{ index: number }>(path, { method: 'PUT', body: value });
  return index;
}

async function read(url: string, query: string): Promise<Read> {
  const { status, headers, body } = await sendCall(`${url}/v1/kv/monsoonhall/?${query}`);
  const entries = JSON.parse(body) as Entry[];
  return {
    status,
    index: Number(headers['x-consul-index']),
    values: Object.fromEntries(
      entries.map((entry) => [entry.Key, Buffer.from(entry.Value, 'base64').toString()]),
    ),
  };
}

async function waitForWatch(url: string): Promise<void> {
  for (;;) {
    const counts = await sendJsonCall<{ waiting: number }>(`${url}/_standin/reads`);
    if (counts.waiting > 0) return;
  }
}

t.test('Platform answers 404 with an index when no key matches the prefix', async (t) => {
  const url = await startPlatform(t);
  t.match(await read(url, 'recurse=true'), { status: 404, index: 1, values: {} });
});

t.test('Platform holds a watch until its prefix changes', async (t) => {
  const url = await startPlatform(t);
  const index = await publish(url, 'monsoonhall/fleet', 'one');
  const watch = read(url, `recurse=true&index=${index}&wait=10m`);
  await waitForWatch(url);
  await publish(url, 'hosts/entry-1', 'elsewhere');
  t.match(await sendJsonCall(`${url}/_standin/reads`), { reads: 1, waiting: 1 });
  const newIndex = await publish(url, 'monsoonhall/fleet', 'two');
  t.match(await watch, { index: newIndex, values: { 'monsoonhall/fleet': 'two' } });
});

t.test('Platform answers a watch that times out with the unchanged state', async (t) => {
  const url = await startPlatform(t);
  const index = await publish(url, 'monsoonhall/fleet', 'one');
  t.match(await read(url, `index=${index}&wait=1ms`), { status: 200, index });
});

t.test('Platform raises the index of a prefix when a key is deleted', async (t) => {
  const url = await startPlatform(t);
  await publish(url, 'monsoonhall/contracts/a', 'x');
  const path = `${url}/_standin/kv/monsoonhall/contracts/a`;
  const { index } = await sendJsonCall<{ index: number }>(path, { method: 'DELETE' });
  t.match(await read(url, 'recurse=true'), { status: 404, index });
});

t.test('Platform keeps answering with the old state while it is stale', async (t) => {
  const url = await startPlatform(t);
  const index = await publish(url, 'monsoonhall/fleet', 'old');
  await setFault(url, { kind: 'stale' });
  const newIndex = await publish(url, 'monsoonhall/fleet', 'new');
  t.match(await read(url, ''), { index, values: { 'monsoonhall/fleet': 'old' } });
  await setFault(url, { kind: 'none' });
  t.match(await read(url, ''), { index: newIndex, values: { 'monsoonhall/fleet': 'new' } });
});

t.test('Platform restores an older state', async (t) => {
  const url = await startPlatform(t);
  const index = await publish(url, 'monsoonhall/fleet', 'old');
  await publish(url, 'monsoonhall/fleet', 'new');
  const body = JSON.stringify({ index });
  await sendCall(`${url}/_standin/restore`, { method: 'POST', body });
  t.match(await read(url, ''), { index, values: { 'monsoonhall/fleet': 'old' } });
});

t.test('Platform that is down destroys the connections of reads and watches', async (t) => {
  const url = await startPlatform(t);
  const index = await publish(url, 'monsoonhall/fleet', 'one');
  const watch = openCall(`${url}/v1/kv/monsoonhall/?index=${index}&wait=10m`);
  const broken = t.rejects(waitForHead(watch));
  watch.end();
  await waitForWatch(url);
  await setFault(url, { kind: 'down' });
  await broken;
  await t.rejects(read(url, ''));
});

t.test('Platform rejects writes outside its control path', async (t) => {
  const url = await startPlatform(t);
  const call = openCall(`${url}/v1/kv/monsoonhall/fleet`, { method: 'PUT' });
  call.end('x');
  t.equal((await readResponse(await waitForHead(call))).status, 405);
});
