import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { once } from 'node:events';
import t from 'tap';
import type { Test } from 'tap';
import { CutProxy, LinkFault } from './mod.js';

/** An echo server behind a proxy. */
interface Setup {
  readonly proxy: CutProxy;
  /** Returns the bytes that the server has received so far, as text. */
  readonly getReceived: () => string;
  readonly open: () => Promise<Socket>;
  /**
   * Sends to the server directly and waits for its echo. Bytes that the proxy forwarded
   * before have reached the server by then.
   */
  readonly sendPastProxy: (text: string) => Promise<void>;
}

async function startSetup(t: Test): Promise<Setup> {
  let received = '';
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => {
      received += bytes.toString();
      socket.write(bytes);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const proxy = new CutProxy({ host: '127.0.0.1', port });
  await proxy.open();
  t.teardown(async () => {
    await proxy.close();
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const openTo = async (toPort: number): Promise<Socket> => {
    const socket = connect(toPort, '127.0.0.1');
    socket.on('error', () => undefined);
    t.teardown(() => socket.destroy());
    await once(socket, 'connect');
    return socket;
  };
  const sendPastProxy = async (text: string): Promise<void> => {
    await sendAndRead(await openTo(port), text);
  };
  return { proxy, getReceived: () => received, open: () => openTo(proxy.port), sendPastProxy };
}

async function sendAndRead(socket: Socket, text: string): Promise<string> {
  socket.write(text);
  const [bytes] = (await once(socket, 'data')) as [Buffer];
  return bytes.toString();
}

t.test('CutProxy forwards bytes in both directions', async (t) => {
  const { open, proxy } = await startSetup(t);
  t.equal(await sendAndRead(await open(), 'one'), 'one');
  t.equal(proxy.linkCount, 1);
});

t.test('CutProxy silences old connections for good while new ones work', async (t) => {
  const { open, proxy, getReceived } = await startSetup(t);
  const old = await open();
  await sendAndRead(old, 'one');
  proxy.setFault(LinkFault.SilentOld);
  old.once('data', () => t.fail('a silent connection answered'));
  old.write('lost');
  t.equal(await sendAndRead(await open(), 'two'), 'two');
  proxy.setFault(LinkFault.None);
  old.write('still lost');
  t.equal(await sendAndRead(await open(), 'three'), 'three');
  t.equal(getReceived(), 'onetwothree');
  t.notOk(old.destroyed);
});

t.test('CutProxy forwards bytes to the server but not back when half open', async (t) => {
  const { open, proxy, getReceived, sendPastProxy } = await startSetup(t);
  const socket = await open();
  await sendAndRead(socket, 'one');
  proxy.setFault(LinkFault.HalfOpen);
  socket.once('data', () => t.fail('a half-open connection answered'));
  socket.write('two');
  while (getReceived() !== 'onetwo') {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  await sendPastProxy('three');
  t.notOk(socket.destroyed);
});

t.test('CutProxy destroys old connections and closes new ones when cut', async (t) => {
  const { open, proxy } = await startSetup(t);
  const socket = await open();
  await sendAndRead(socket, 'one');
  const closed = once(socket, 'close');
  proxy.setFault(LinkFault.Cut);
  await closed;
  await once(await open(), 'close');
  proxy.setFault(LinkFault.None);
  t.equal(await sendAndRead(await open(), 'two'), 'two');
});

t.test('CutProxy refuses new connections while old ones keep working', async (t) => {
  const { open, proxy } = await startSetup(t);
  const old = await open();
  await sendAndRead(old, 'one');
  proxy.setFault(LinkFault.RefuseNew);
  await once(await open(), 'close');
  t.equal(await sendAndRead(old, 'two'), 'two');
});

t.test('CutProxy delivers held bytes after a partition', async (t) => {
  const { open, proxy, getReceived, sendPastProxy } = await startSetup(t);
  const old = await open();
  await sendAndRead(old, 'one');
  proxy.setFault(LinkFault.Held);
  old.write('two');
  const late = await open();
  late.write('three');
  await sendPastProxy('past');
  t.equal(getReceived(), 'onepast');
  const answers = Promise.all([once(old, 'data'), once(late, 'data')]);
  proxy.setFault(LinkFault.None);
  t.same(
    (await answers).map(([bytes]) => String(bytes)),
    ['two', 'three'],
  );
});

t.test('CutProxy affects only the given sources', async (t) => {
  const { open, proxy } = await startSetup(t);
  const sources = ['entry-1', 'entry-2'];
  const named = new CutProxy(proxy.target, async () => sources.shift() ?? '');
  await named.open();
  t.teardown(() => named.close());
  const connectNamed = async (): Promise<Socket> => {
    const socket = connect(named.port, '127.0.0.1');
    socket.on('error', () => undefined);
    t.teardown(() => socket.destroy());
    await sendAndRead(socket, 'up');
    return socket;
  };
  const first = await connectNamed();
  const second = await connectNamed();
  const closed = once(first, 'close');
  named.setFault(LinkFault.Cut, new Set(['entry-1']));
  await closed;
  t.equal(await sendAndRead(second, 'on'), 'on');
  t.equal(await sendAndRead(await open(), 'beside'), 'beside');
});
