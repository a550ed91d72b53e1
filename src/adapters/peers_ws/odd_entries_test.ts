/**
 * Tests what entry hosts with relays tell each other while odd entries of servers stand in the
 * store.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { buildServer } from '../../../test/support/direct_host.js';
import type { FakeExchange } from '../../../test/support/direct_ends.js';
import { RefusalFleet } from '../../../test/support/refusal_fleet.js';
import type { BackendServerEntry } from '../../domain/backend_servers/mod.js';
import { BackendFailure } from '../../ports/mod.js';
import { parseMessage } from './_message_schema.js';

/** Hosts of a fleet in which relays pass messages on. */
const HOSTS = 14;

const LOAD = { callsPerSecond: 60, durationMs: 2_000, request: { deadlineMs: 4_000 } };

/** Time for which each odd entry stands, in milliseconds. */
const ODD_MS = 600;

const OPTIONS = {
  hosts: HOSTS,
  servers: 3,
  slots: 8,
  declinesPerSecond: 2,
  runMs: 60,
  route: { timeoutMs: 4_000, targetMs: 400, maxAttempts: 3, isRepeatable: true },
};

/** Entries that are read, of servers that don't exist. */
const ODD_ENTRIES: readonly Partial<BackendServerEntry>[] = [
  { slots: 65_536 },
  { slots: 9e15 },
  { slots: Number.MAX_SAFE_INTEGER },
  { warmupLeftMs: 1e308 },
  { warmupLeftMs: 1e-320 },
  { warmupLeftMs: -0 },
  { bornAtMs: Number.MAX_SAFE_INTEGER },
  { availabilityZone: '__proto__' },
  { availabilityZone: 'z'.repeat(200) },
  { address: '255.255.255.255:65535' },
  { address: '10.0.0.1:80' },
  { serviceId: '__proto__' },
  { serviceId: 's'.repeat(200) },
  { id: 'i'.repeat(200), serverId: 'i'.repeat(200) },
  { id: '__proto__', serverId: '__proto__' },
  { id: 'constructor', serverId: 'constructor' },
];

/** Values that can't be read. */
const UNREADABLE: readonly string[] = [
  '',
  'null',
  '[',
  '\u0000',
  '['.repeat(100_000),
  '{"slots":1e999',
];

/** Servers whose entry is odd can't be connected to. */
class OddFleet extends RefusalFleet {
  /** Hosts by the server that they sent requests to. */
  readonly senders = new Map<string, Set<string>>();

  protected override serve(hostId: string, exchange: FakeExchange): void {
    const { serverId } = exchange.request;
    this.senders.set(serverId, (this.senders.get(serverId) ?? new Set()).add(hostId));
    if (/^(s-\d|joined)$/.test(serverId)) super.serve(hostId, exchange);
    else exchange.fail(BackendFailure.NotSent);
  }

  putAll(key: string, value: unknown): void {
    this.hosts.forEach(({ feed }) => feed.put(`servers/${key}`, value));
  }

  removeAll(key: string): void {
    this.hosts.forEach(({ feed }) => feed.remove(`servers/${key}`));
  }
}

/** Runs a fleet to which odd entries are added, and a good server after them. */
async function runBesideOddEntries(t: Test, isNamed: boolean): Promise<OddFleet> {
  const fleet = new OddFleet(t, OPTIONS);
  await fleet.start();
  fleet.isNamed = isNamed;
  await fleet.run(LOAD);
  fleet.calls.length = 0;
  UNREADABLE.forEach((value, index) => fleet.putAll(`unreadable-${index}`, value));
  for (const [index, entry] of ODD_ENTRIES.entries()) {
    const id = entry.id ?? `odd-${index}`;
    fleet.putAll(id, buildServer(id, { slots: 8, ...entry }));
    await fleet.run({ ...LOAD, durationMs: ODD_MS });
    if (index < ODD_ENTRIES.length - 1) fleet.removeAll(id);
  }
  fleet.putAll('s-1', '[');
  await fleet.run(LOAD);
  fleet.putAll('s-1', buildServer('s-1', { slots: 8 }));
  fleet.putAll('joined', buildServer('joined', { slots: 8 }));
  fleet.senders.clear();
  await fleet.run({ ...LOAD, durationMs: 6_000 });
  await fleet.clock.advance(LOAD.request.deadlineMs);
  return fleet;
}

function checkMessages(t: Test, { hub, hosts }: OddFleet): void {
  hub.delivered.forEach(({ message }) => parseMessage(message));
  t.ok(new Set(hub.delivered.map(({ message }) => message.type)).size > 0);
  hosts.forEach((host) => t.equal(host.reports?.listHeard().length, HOSTS - 1));
}

function countServed({ replies }: OddFleet): number {
  return replies.filter(({ error }) => error === undefined).length;
}

// Guards against an odd entry that ends hosts, stops what they hear, or what they tell peers.
t.test('a fleet with relays serves and reports beside odd entries', async (t) => {
  const fleet = await runBesideOddEntries(t, false);
  const served = countServed(fleet);
  t.ok(served >= 0.95 * fleet.calls.length, `${served} of ${fleet.calls.length}`);
  t.equal(fleet.senders.get('s-1')?.size, HOSTS, 'the good entry counts again');
  t.equal(fleet.senders.get('joined')?.size, HOSTS, 'a joined server gets calls of all hosts');
  checkMessages(t, fleet);
});

// Guards against hosts that end or hang by the slots that an entry claims, where they lend slots.
t.test('a fleet with relays lends slots beside odd entries', async (t) => {
  const fleet = await runBesideOddEntries(t, true);
  const served = countServed(fleet);
  t.ok(served >= 0.95 * fleet.calls.length, `${served} of ${fleet.calls.length}`);
  t.ok(fleet.senders.has('joined'), 'a joined server gets calls');
  checkMessages(t, fleet);
});
