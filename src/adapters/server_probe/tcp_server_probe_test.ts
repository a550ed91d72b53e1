import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import t from 'tap';
import { Reachability } from '../../ports/mod.js';
import { TcpServerProbe } from './tcp_server_probe.js';

t.test('check() distinguishes an open port from a closed one', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const probe = new TcpServerProbe();
  t.equal(await probe.check(`127.0.0.1:${port}`), Reachability.Open);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  t.equal(await probe.check(`127.0.0.1:${port}`), Reachability.Refused);
});
