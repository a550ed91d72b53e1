/**
 * Tests requests through a peer over real links between hosts and real connections to servers.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { SystemClock } from '../../src/adapters/clock/mod.js';
import { HttpDirectBackendClient } from '../../src/adapters/direct_http/mod.js';
import { TcpServerProbe } from '../../src/adapters/server_probe/mod.js';
import { ProbeCause, Reachability } from '../../src/ports/server_probe.js';
import { FakeProbe } from '../support/direct_ends.js';
import {
  buildRequest,
  collectEvents,
  CutBackend,
  startHost,
  TestDialect,
  waitFor,
} from '../support/path_hosts.js';

t.test('a request and its answer pass through a peer byte for byte', async (t) => {
  // Guards against bodies, heads and limits that are changed on their way between hosts.
  const received: string[] = [];
  const server = createServer((request: IncomingMessage, response: ServerResponse) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      received.push(`${request.method} ${request.url} ${request.headers.host}`);
      response.writeHead(200, { 'x-id': 'r-1' });
      response.end(Buffer.concat(chunks));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.teardown(() => server.close());
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const direct = new HttpDirectBackendClient(new TestDialect());
  t.teardown(() => direct.close());
  const cutProbe = new FakeProbe();
  cutProbe.fixedResult = Reachability.Unknown;
  const cut = await startHost(t, 'cut', new CutBackend(), cutProbe);
  const peer = await startHost(t, 'peer', direct, new TcpServerProbe());
  cut.network.setPeerUrls([peer.network.identity.peerUrl]);
  await waitFor(() => cut.network.listLinkedPeers().length === 1);

  const body = randomBytes(300_000);
  const request = buildRequest(address, body);
  const first = await collectEvents((listener) => cut.hostPaths.client.send(request, listener));
  t.same(first.events, ['not_sent'], 'the first attempt finds the link cut');
  await waitFor(() => cut.paths.isCut('s-1'));
  const second = await collectEvents((listener) => cut.hostPaths.client.send(request, listener));
  t.same(second.events, ['limit 3', 'head 200', 'complete']);
  t.equal(second.body, body.toString('latin1'));
  t.same(received, ['POST /a/1?b=2 api.example']);
  t.equal(await cut.hostPaths.probe.check(address, ProbeCause.LostRun), Reachability.Open);
});

t.test('a server that no host reaches stays unreachable through a peer', async (t) => {
  // Guards against a dead server that is taken for one behind a cut link.
  const cut = await startHost(t, 'cut', new CutBackend(), new TcpServerProbe());
  const direct = new HttpDirectBackendClient(new TestDialect());
  t.teardown(() => direct.close());
  const peer = await startHost(t, 'peer', direct, new TcpServerProbe());
  cut.network.setPeerUrls([peer.network.identity.peerUrl]);
  await waitFor(() => cut.network.listLinkedPeers().length === 1);
  const request = buildRequest('127.0.0.1:1', Buffer.alloc(0));
  await collectEvents((listener) => cut.hostPaths.client.send(request, listener));
  await waitFor(() => cut.paths.isUnreachable('s-1', new SystemClock().nowMs()));
  t.equal(cut.paths.cutCount, 0);
});
