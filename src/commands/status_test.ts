import { PassThrough } from 'node:stream';
import t from 'tap';
import { FakeEntryHost, sendJson } from '../../test/support/fake_entry_host.js';
import { runCli } from './_cli.js';

function buildStatus(id: string, hash: string) {
  return {
    health: { id, version: '0.1.0' },
    readiness: { ready: true, reasons: [] },
    configuration: {
      revision: 41,
      hash,
      platformIndex: 41,
      platformSilentMs: 12,
      accountCount: 2,
      rejected: [{ key: 'monsoonhall/contracts/firm-b', revision: 40, reasons: ['line 3: tier'] }],
    },
    entryHosts: [{ identity: { id, url: 'http://10.0.0.1' }, state: 'live', silentMs: 0 }],
    backendServers: [{ id: 'engine-1', leaving: false }],
    queues: [],
    refusals: { queue_full: 3, 'odd\u001b[2J\n': 1 },
  };
}

async function runStatus(argv: readonly string[], env: Record<string, string> = {}) {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const exitCode = await runCli(['status', ...argv], { stdout, stderr, env });
  return { exitCode, stdout: String(stdout.read() ?? ''), stderr: String(stderr.read() ?? '') };
}

async function startAdminServer(t: { teardown: (end: () => unknown) => void }, body: unknown) {
  const host = await FakeEntryHost.start();
  host.handle = ({ path, headers }, response) => {
    const isAllowed = path === '/v1/status' && headers.authorization === 'Bearer operators';
    sendJson(response, isAllowed ? 200 : 401, body);
  };
  t.teardown(() => host.close());
  return host;
}

t.test(
  'status shows the state of each entry host and that their configurations differ',
  async (t) => {
    const first = await startAdminServer(t, buildStatus('entry-1', 'aaaa'));
    const second = await startAdminServer(t, buildStatus('entry-2', 'bbbb'));
    const argv = ['--admin-url', first.url, '--admin-url', second.url];
    const result = await runStatus(argv, { MONSOONHALL_ADMIN_KEY: 'operators' });
    t.equal(result.exitCode, 0);
    t.match(result.stdout, /^entry-1 +yes +41 +aaaa +41 +12 +2 +1 +-$/m);
    t.match(result.stdout, /2 different configurations in force/);
    t.match(result.stdout, /^monsoonhall\/contracts\/firm-b +40 +line 3: tier +all$/m);
    t.match(result.stdout, /^queue_full +3 +all$/m);
    t.match(result.stdout, /^entry-2 +http:\S+ +live +entry-2$/m);
    t.notMatch(result.stdout, /(?!\n)\p{Cc}/u);
  },
);

t.test('status prints JSON', async (t) => {
  const host = await startAdminServer(t, buildStatus('entry-1', 'aaaa'));
  const result = await runStatus(['--json', '--admin-url', host.url, '--admin-key', 'operators']);
  t.match(JSON.parse(result.stdout), [
    { adminUrl: host.url, status: { health: { id: 'entry-1' } } },
  ]);
});

t.test('status names each entry host that did not respond and exits with 1', async (t) => {
  const good = await startAdminServer(t, buildStatus('entry-1', 'aaaa'));
  const odd = await startAdminServer(t, { something: 'else' });
  const gone = await FakeEntryHost.start();
  const goneUrl = gone.url;
  await gone.close();
  const urls = [good.url, odd.url, goneUrl].flatMap((url) => ['--admin-url', url]);
  const result = await runStatus([...urls, '--admin-key', 'operators']);
  t.equal(result.exitCode, 1);
  t.match(result.stdout, /^entry-1 +yes/m);
  t.match(result.stdout, new RegExp(`^${goneUrl} +unreachable .*ECONNREFUSED`, 'm'));
  t.match(result.stdout, new RegExp(`^${odd.url} +unreachable`, 'm'));
  const refused = await runStatus(['--admin-url', good.url, '--admin-key', 'wrong']);
  t.match(refused.stdout, /it answered 401/);
});

t.test('status reports every invalid setting and exits with 2', async (t) => {
  const result = await runStatus([]);
  t.equal(result.exitCode, 2);
  t.match(result.stderr, /^--admin-url .*must be given\n--admin-key .*must be given\n$/);
});
