import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import t from 'tap';
import { ProbeCause, Reachability } from '../../ports/mod.js';
import { TcpServerProbe } from './tcp_server_probe.js';

t.test('check() distinguishes an open port from a closed one', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const probe = new TcpServerProbe();
  t.equal(await probe.check(`127.0.0.1:${port}`, ProbeCause.Doubt), Reachability.Open);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  t.equal(await probe.check(`127.0.0.1:${port}`, ProbeCause.Doubt), Reachability.Refused);
});

/** Starts a server that resets each connection that it accepts, and may stop listening first. */
async function startResettingServer(stop: (server: Server) => void): Promise<string> {
  const server = createServer((socket: Socket) => {
    stop(server);
    socket.resetAndDestroy();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

t.test('check() at an unmarked end tells a server that ends from one without room', async (t) => {
  // Guards against the last connection that a process accepts as it ends, and that looks alive.
  const kept: string[] = [];
  const probe = new TcpServerProbe((address) => kept.push(address));
  const ending = await startResettingServer((server) => server.close());
  t.equal(await probe.check(ending, ProbeCause.UnmarkedEnd), Reachability.Refused);
  const full = await startResettingServer(() => undefined);
  t.equal(await probe.check(full, ProbeCause.UnmarkedEnd), Reachability.Open);
  t.same(kept, []);
});

t.test('check() at an unmarked end hands on a connection that stays open', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.close());
  const kept: Socket[] = [];
  const probe = new TcpServerProbe((_address, socket) => kept.push(socket));
  const { port } = server.address() as AddressInfo;
  t.equal(await probe.check(`127.0.0.1:${port}`, ProbeCause.UnmarkedEnd), Reachability.Open);
  t.equal(kept[0]?.destroyed, false);
  kept[0]?.destroy();
});
