import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import t from 'tap';
import type { Test } from 'tap';
import type { PlatformReader, PlatformReadOptions, Timer } from '../../ports/mod.js';
import { Platform } from '../../../standin/mod.js';
import { FakePlatform } from '../../../test/support/fake_platform.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { RESPONSE_MARGIN_MS, CONNECT_TIMEOUT_MS, HttpPlatformReader } from './mod.js';

const PREFIX = 'monsoonhall/';
const WAIT_MS = 10_000;
const READ_TIMEOUT_MS = WAIT_MS * (1 + 1 / 16) + RESPONSE_MARGIN_MS;

function buildReadOptions(
  afterIndex = 0,
  signal = new AbortController().signal,
): PlatformReadOptions {
  return { afterIndex, waitMs: WAIT_MS, signal };
}

/** Starts a server that is closed at the end of the test. */
async function startServer(t: Test, listener: RequestListener): Promise<Server> {
  const server = createServer(listener).listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return server;
}

function createReader(
  t: Test,
  server: Server,
  clock = new VirtualClock(),
  maxResponseBytes?: number,
): HttpPlatformReader {
  const { port } = server.address() as AddressInfo;
  const baseUrl = `http://127.0.0.1:${port}`;
  const reader = new HttpPlatformReader({
    baseUrl,
    clock,
    ...(maxResponseBytes && { maxResponseBytes }),
  });
  t.teardown(() => reader.close());
  return reader;
}

interface ServiceUnderTest {
  readonly reader: PlatformReader;
  readonly publish: (key: string, value: string | undefined) => Promise<unknown>;
}

async function startStandIn(t: Test): Promise<ServiceUnderTest> {
  const platform = new Platform();
  const baseUrl = await platform.open({ host: '127.0.0.1', port: 0 });
  const reader = new HttpPlatformReader({ baseUrl, clock: new VirtualClock() });
  t.teardown(async () => {
    reader.close();
    await platform.close();
  });
  const publish = (key: string, body: string | undefined): Promise<unknown> =>
    fetch(`${baseUrl}/_standin/kv/${key}`, { method: body === undefined ? 'DELETE' : 'PUT', body });
  return { reader, publish };
}

async function startFake(): Promise<ServiceUnderTest> {
  const service = new FakePlatform(new VirtualClock());
  return {
    reader: service.createReader(),
    publish: async (key, value) => service.publish(key, value),
  };
}

Object.entries({ HttpPlatformReader: startStandIn, FakePlatformReader: startFake }).forEach(
  ([name, open]) => {
    t.test(`${name} reads and watches keys and reports deletions`, async (t) => {
      const { reader, publish } = await open(t);
      const empty = await reader.read(PREFIX, buildReadOptions());
      t.same(empty.entries, []);
      await publish('monsoonhall/contracts/firm-a', 'ä');
      await publish('hosts/a', 'another prefix');
      const first = await reader.read(PREFIX, buildReadOptions());
      t.match(first.entries, [{ key: 'monsoonhall/contracts/firm-a', modifyIndex: 2 }]);
      t.equal(Buffer.from(first.entries[0]?.value ?? []).toString(), 'ä');
      const watch = reader.read(PREFIX, buildReadOptions(first.index));
      await publish('monsoonhall/fleet', '');
      const second = await watch;
      t.ok(second.index > first.index);
      t.equal(second.entries.length, 2);
      await publish('monsoonhall/fleet', undefined);
      t.equal((await reader.read(PREFIX, buildReadOptions(second.index))).entries.length, 1);
    });

    t.test(`${name} ends a watch when its signal is aborted`, async (t) => {
      const { reader, publish } = await open(t);
      await publish('monsoonhall/fleet', '{}');
      const { index } = await reader.read(PREFIX, buildReadOptions());
      const abort = new AbortController();
      const watch = reader.read(PREFIX, buildReadOptions(index, abort.signal));
      abort.abort();
      await t.rejects(watch, /Cannot read the platform service/);
    });
  },
);

t.test('HttpPlatformReader sends the queries of the published protocol', async (t) => {
  const paths: (string | undefined)[] = [];
  const server = await startServer(t, (request, response) => {
    paths.push(request.url);
    response.writeHead(404, { 'x-consul-index': '7' }).end();
  });
  const reader = createReader(t, server);
  t.same(await reader.read(PREFIX, buildReadOptions()), { index: 7, entries: [] });
  await reader.read(PREFIX, buildReadOptions(7));
  t.same(paths, [
    '/v1/kv/monsoonhall/?recurse=true',
    '/v1/kv/monsoonhall/?recurse=true&index=7&wait=10000ms',
  ]);
});

t.test('HttpPlatformReader rejects a malformed response as a whole', async (t) => {
  // Guards against contracts that vanish because a truncated or malformed response is taken for
  // one with fewer entries.
  const entry = { Key: 'monsoonhall/fleet', Value: 'e30=', ModifyIndex: 3 };
  const cases: readonly (readonly [number, string | undefined, string, RegExp])[] = [
    [200, undefined, '[]', /"" is no index/],
    [200, '-1', '[]', /no index/],
    [200, '7', '', /malformed/],
    [200, '7', '{}', /malformed/],
    [200, '7', JSON.stringify([entry]).slice(0, -3), /malformed/],
    [200, '7', JSON.stringify([entry, { Key: 'k' }]), /malformed at 1/],
    [200, '7', JSON.stringify([{ ...entry, Value: '*' }]), /malformed at 0.Value/],
    [200, '7', JSON.stringify([{ ...entry, ModifyIndex: 'x' }]), /malformed/],
    [500, '7', '[]', /status 500/],
    [302, '7', '[]', /status 302/],
    [200, '7', ' '.repeat(2000), /over 1000 bytes/],
  ];
  let [status, index, body] = cases[0] ?? [];
  const server = await startServer(t, (_, response) => {
    if (index !== undefined) response.setHeader('x-consul-index', index);
    response.writeHead(status ?? 0).end(body);
  });
  const reader = createReader(t, server, undefined, 1000);
  for (const [nextStatus, nextIndex, nextBody, message] of cases) {
    [status, index, body] = [nextStatus, nextIndex, nextBody];
    await t.rejects(
      reader.read(PREFIX, buildReadOptions()),
      message,
      `${status} ${body.slice(0, 40)}`,
    );
  }
});

t.test('HttpPlatformReader reads a value of one megabyte', async (t) => {
  const value = Buffer.alloc(1_048_576, 7);
  const Value = value.toString('base64');
  const server = await startServer(t, (_, response) => {
    response.setHeader('x-consul-index', '7');
    response.end(JSON.stringify([{ Key: 'k', Value, ModifyIndex: 3 }]));
  });
  const { entries } = await createReader(t, server).read(PREFIX, buildReadOptions());
  t.ok(value.equals(entries[0]?.value ?? Buffer.alloc(0)));
});

['nothing', 'half an answer'].forEach((sent) => {
  t.test(`HttpPlatformReader replaces a connection that stalls after ${sent}`, async (t) => {
    // Guards against an entry host that receives no more changes although nothing fails: a
    // device on the path forgets the connection without closing it, and a watch without a
    // timeout waits forever.
    const clock = new VirtualClock();
    const sockets = new Set<Socket>();
    const server = await startServer(t, (request, response) => {
      sockets.add(request.socket);
      response.setHeader('x-consul-index', '7');
      if (sockets.size > 1) response.end('[]');
      else if (sent !== 'nothing') response.write('[');
    });
    const reader = createReader(t, server, clock);
    const arrived = once(server, 'request');
    const watch = reader.read(PREFIX, buildReadOptions(6)).catch((error: unknown) => error);
    await arrived;
    await clock.advance(READ_TIMEOUT_MS - 1);
    const [silent] = sockets;
    t.notOk(silent?.destroyed, 'the connection stays open until the timeout');
    await clock.advance(1);
    t.match(await watch, { message: /silent|aborted/ });
    t.match(await reader.read(PREFIX, buildReadOptions(6)), { index: 7 });
    t.equal(sockets.size, 2);
  });
});

t.test('HttpPlatformReader fails a read when connecting times out', async (t) => {
  /** Fires the connect timeout before any packet can arrive. */
  class HastyClock extends VirtualClock {
    override setTimer(delayMs: number, callback: () => void): Timer {
      if (delayMs === CONNECT_TIMEOUT_MS) queueMicrotask(callback);
      return super.setTimer(delayMs, callback);
    }
  }
  const server = await startServer(t, (_, response) => response.end());
  const reader = createReader(t, server, new HastyClock());
  await t.rejects(reader.read(PREFIX, buildReadOptions()), /Cannot connect .* in 1000 ms/);
});
