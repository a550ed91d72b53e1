import { deepEqual, ok } from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { buildServer } from '../../../test/support/direct_host.js';
import {
  NORMAL_READ_CONTEXT,
  createServerRegistry,
  NO_STATS,
} from '../../../test/support/server_registries.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { formatIncarnationId, EXPIRED_ENTRY_GRACE_MS } from '../../domain/backend_servers/mod.js';
import type { FeedChange } from '../../ports/mod.js';
import type { ServerRegistry } from './server_registry.js';

const SEED = 31;
const SERVER_IDS = ['a', 'b'];
const HOST_COUNT = 3;
/** A store, and entry hosts that read it at different moments. */
class Fleet {
  readonly clock = new VirtualClock();

  readonly #changes: FeedChange[] = [];

  /** Newest incarnation and entry of each live server, which keeps rewriting its own entry. */
  readonly #liveServers = new Map<
    string,
    { readonly incarnation: number; readonly entry: object }
  >();

  #hosts = Array.from({ length: HOST_COUNT }, () => this.#startHost());

  write(name: string, value: object | string | undefined): void {
    const bytes = value === undefined ? undefined : Buffer.from(JSON.stringify(value));
    this.#changes.push({ key: `servers/${name}`, value: bytes, revision: this.#changes.length });
  }

  /** Writes a server's entry; the entry of a former incarnation may arrive late. */
  register(name: string, incarnation: number, isLeaving: boolean): void {
    const id = formatIncarnationId(name, incarnation);
    const entry = buildServer(id, { serverId: name, bornAtMs: incarnation, isLeaving });
    if (incarnation >= (this.#liveServers.get(name)?.incarnation ?? 0))
      this.#liveServers.set(name, { incarnation, entry });
    this.write(name, entry);
  }

  remove(name: string): void {
    this.#liveServers.delete(name);
    this.write(name, undefined);
  }

  /** Has each live server write its entry once more. */
  rewriteLiveEntries(): void {
    this.#liveServers.forEach(({ entry }, name) => this.write(name, entry));
  }

  /** Has a host read the changes since its last read. */
  readChanges(index: number): void {
    const host = this.#getHost(index);
    host.registry.applyChanges(this.#changes.slice(host.read), NORMAL_READ_CONTEXT);
    host.read = this.#changes.length;
  }

  /** Has a host read the present entries after a restart or lost history. */
  readSnapshot(index: number, isNew: boolean): void {
    if (isNew) this.#hosts[index] = this.#startHost();
    const { registry } = this.#getHost(index);
    const standing = new Map(this.#changes.map((change) => [change.key, change]));
    const items = [...standing.values()].flatMap(({ key, value, revision }) =>
      value === undefined ? [] : [{ key, value, revision }],
    );
    registry.applySnapshot(items, NORMAL_READ_CONTEXT);
    this.#getHost(index).read = this.#changes.length;
  }

  /** Delivers one host's report to another. */
  deliverReport(from: number, to: number): void {
    const endedServers = this.#getHost(from).registry.listEndedIds();
    this.#getHost(to).registry.applyPeerStats(`peer-${from}`, { ...NO_STATS, endedServers });
  }

  listUsable(index: number): string[] {
    const candidates = this.#getHost(index).registry.listCandidates('engines');
    return candidates.map(({ id }) => id).sort();
  }

  #getHost(index: number): { readonly registry: ServerRegistry; read: number } {
    return this.#hosts[index] as { readonly registry: ServerRegistry; read: number };
  }

  #startHost(): { readonly registry: ServerRegistry; read: number } {
    const registry = createServerRegistry(this.clock, HOST_COUNT);
    return { registry, read: 0 };
  }
}

const serverName = fc.constantFrom(...SERVER_IDS);
const hostIndex = fc.nat(HOST_COUNT - 1);
const step = fc.oneof(
  fc.record({
    kind: fc.constant('write'),
    name: serverName,
    incarnation: fc.nat(3),
    isLeaving: fc.boolean(),
  }),
  fc.record({ kind: fc.constantFrom('remove', 'spoil'), name: serverName }),
  fc.record({ kind: fc.constantFrom('follow', 'read', 'restart'), host: hostIndex }),
  fc.record({ kind: fc.constant('report'), host: hostIndex, to: hostIndex }),
  fc.record({ kind: fc.constant('wait'), ms: fc.integer({ min: 1, max: 2_000 }) }),
) as fc.Arbitrary<Partial<StepFields> & { readonly kind: string }>;

/** Long enough for a restart, a late entry and a host that starts in between. */
const stepSequence = fc.array(step, { minLength: 10, maxLength: 60, size: 'max' });

interface StepFields {
  readonly name: string;
  readonly incarnation: number;
  readonly isLeaving: boolean;
  readonly host: number;
  readonly to: number;
  readonly ms: number;
}

async function runStep(fleet: Fleet, { kind, ...fields }: Partial<StepFields> & { kind: string }) {
  const {
    name: serverId = 'a',
    incarnation = 0,
    isLeaving = false,
    host: index = 0,
    to = 0,
  } = fields;
  if (kind === 'write') fleet.register(serverId, incarnation, isLeaving);
  else if (kind === 'remove') fleet.remove(serverId);
  else if (kind === 'spoil') fleet.write(serverId, 'no entry');
  else if (kind === 'follow') fleet.readChanges(index);
  else if (kind === 'read' || kind === 'restart') fleet.readSnapshot(index, kind === 'restart');
  else if (kind === 'report') fleet.deliverReport(index, to);
  else await fleet.clock.advance(fields.ms ?? 0);
}

async function synchronizeHosts(fleet: Fleet): Promise<void> {
  const hosts = Array.from({ length: HOST_COUNT }, (_value, index) => index);
  fleet.rewriteLiveEntries();
  hosts.forEach((index) => fleet.readChanges(index));
  hosts.forEach((from) => hosts.forEach((to) => fleet.deliverReport(from, to)));
  hosts.forEach((from) => hosts.forEach((to) => fleet.deliverReport(from, to)));
  await fleet.clock.advance(2 * EXPIRED_ENTRY_GRACE_MS);
}

t.test(
  'all entry hosts end with the same usable incarnations, in any order of events',
  async () => {
    // Guards against some entry hosts sending requests to a server that others know to be gone.
    // Servers restart under the same name, entries arrive late or can't be decoded, entries are
    // removed, and hosts start while an entry of an older incarnation stands. Only hosts that
    // saw what contradicts such an entry know of it, so they must report it.
    await fc.assert(
      fc.asyncProperty(stepSequence, async (steps) => {
        const fleet = new Fleet();
        for (const nextStep of steps) await runStep(fleet, nextStep);
        await synchronizeHosts(fleet);
        deepEqual(fleet.listUsable(1), fleet.listUsable(0));
        deepEqual(fleet.listUsable(2), fleet.listUsable(0));
      }),
      { numRuns: 400, seed: SEED },
    );
  },
);

t.test('no incarnation is usable at a host that has seen a newer one', async () => {
  await fc.assert(
    fc.asyncProperty(stepSequence, async (steps) => {
      const fleet = new Fleet();
      const newest = new Map<string, number>();
      for (const nextStep of steps) {
        await runStep(fleet, nextStep);
        if (nextStep.kind === 'restart' && nextStep.host === 0) newest.clear();
        fleet.listUsable(0).forEach((id) => {
          const [serverId = '', bornAtMs = '0'] = id.split('@');
          ok(Number(bornAtMs) >= (newest.get(serverId) ?? 0), id);
          newest.set(serverId, Number(bornAtMs));
        });
      }
    }),
    { numRuns: 400, seed: SEED },
  );
});
