import t from 'tap';
import { ADMIN_KEY, sendControl, sendJsonControl, startFleet, waitUntil } from './mod.js';
import type { Fleet } from './mod.js';

const WAIT_LIMIT_MS = 10_000;

interface SeenEntryHost {
  readonly identity: { readonly id: string };
  readonly state: string;
}

function hasProcess(pid: number): boolean {
  try {
    return process.kill(pid, 0);
  } catch {
    return false;
  }
}

function listPids(fleet: Fleet): number[] {
  const processes = [...fleet.entryHosts, ...fleet.backendServers];
  return [...processes, fleet.configuration, fleet.hostList].map((each) => each.pid);
}

/** Sends a status request through one entry host. @returns the HTTP status */
async function sendPing(fleet: Fleet, entryHostId: string): Promise<number> {
  const { url } = fleet.findEntryHost(entryHostId);
  const authorization = `Bearer ${fleet.accounts[0]?.apiKey}`;
  const path = `${url}/v1/services/case-app/status`;
  return (await sendControl(path, { headers: { authorization } })).status;
}

async function listLivePeers(fleet: Fleet, entryHostId: string): Promise<string[]> {
  const { adminUrl } = fleet.findEntryHost(entryHostId);
  const headers = { authorization: `Bearer ${ADMIN_KEY}` };
  const hosts = await sendJsonControl<SeenEntryHost[]>(`${adminUrl}/v1/entry-hosts`, { headers });
  return hosts.filter((host) => host.state === 'live').map((host) => host.identity.id);
}

async function waitForLivePeers(fleet: Fleet, id: string, peers: readonly string[]): Promise<void> {
  await waitUntil(
    async () => (await listLivePeers(fleet, id)).sort().join() === [...peers].sort().join(),
    { subject: `${peers.join(', ')} live at ${id}`, timeoutMs: WAIT_LIMIT_MS },
  );
}

t.test('startFleet() starts a serving fleet whose stop() ends all processes', async (t) => {
  const fleet = await startFleet({ entryHostCount: 2, engineCount: 1 });
  const pids = listPids(fleet);
  try {
    t.ok(pids.every(hasProcess));
    t.equal(await sendPing(fleet, 'entry-1'), 200);
    t.equal(await sendPing(fleet, 'entry-2'), 200);
    t.match(await fleet.readRuns(), [{ path: '/status' }, { path: '/status' }]);
  } finally {
    await fleet.stop();
  }
  t.notOk(pids.some(hasProcess));
});

// Guards against counting too few duplicate and lost runs after a backend server is killed and
// restarted, which happens if the server records its runs in memory only.
t.test('readRuns() returns the runs of a killed backend server', async (t) => {
  const fleet = await startFleet({ entryHostCount: 1, engineCount: 1 });
  try {
    t.equal(await sendPing(fleet, 'entry-1'), 200);
    const server = fleet.findBackendServer('plain-1');
    server.kill('SIGKILL');
    await server.waitForExit();
    t.match(await fleet.readRuns(), [{ path: '/status' }]);
    await server.restart();
    t.match(await server.readRuns(), [{ path: '/status' }]);
  } finally {
    await fleet.stop();
  }
});

t.test('partitionEntryHosts() cuts links between groups but not within a group', async () => {
  const fleet = await startFleet({
    engineCount: 1,
    proxied: { peers: true },
    entryHostFlags: ['--heartbeat-ms', '50', '--suspect-after-ms', '300'],
  });
  try {
    const all = ['entry-1', 'entry-2', 'entry-3'];
    await waitForLivePeers(fleet, 'entry-1', all);
    await waitForLivePeers(fleet, 'entry-2', all);
    fleet.partitionEntryHosts([['entry-1'], ['entry-2', 'entry-3']]);
    await waitForLivePeers(fleet, 'entry-1', ['entry-1']);
    await waitForLivePeers(fleet, 'entry-2', ['entry-2', 'entry-3']);
    fleet.healPartition();
    await waitForLivePeers(fleet, 'entry-1', all);
    await waitForLivePeers(fleet, 'entry-3', all);
  } finally {
    await fleet.stop();
  }
});
