import { EventEmitter, once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import t from 'tap';
import { FakeLog } from '../../../test/support/fakes.js';
import { startListening } from './start_listening.js';

const HOST = '127.0.0.1';

/** A server that can never listen. */
class FailingServer extends EventEmitter {
  attempts = 0;

  listen(): void {
    this.attempts += 1;
    const error = Object.assign(new Error('permission denied'), { code: 'EACCES' });
    setImmediate(() => this.emit('error', error));
  }
}

// Guards against a process that ends because another one still holds its port.
t.test('startListening() waits until a taken port is free', async (t) => {
  const holder = createServer().listen(0, HOST);
  await once(holder, 'listening');
  const { port } = holder.address() as AddressInfo;
  const server = createServer();
  t.teardown(() => server.close());
  const log = new FakeLog();
  const started = startListening(server, { host: HOST, port }, log);
  while (log.lines.length === 0) await once(server, 'error');
  t.match(log.list('listen_delayed'), [{ host: HOST, port, reason: /EADDRINUSE/ }]);
  await once(server, 'error');
  t.equal(server.listenerCount('listening'), 0, 'no handler is left of an attempt');
  holder.close();
  t.equal(await started, port);
  t.equal(server.listenerCount('error'), 0);
});

t.test('startListening() tries no more after an error that does not pass', async (t) => {
  const server = new FailingServer();
  const started = startListening(
    server as unknown as Server,
    { host: HOST, port: 1 },
    new FakeLog(),
  );
  await t.rejects(started, { code: 'EACCES' });
  t.equal(server.attempts, 1);
});
