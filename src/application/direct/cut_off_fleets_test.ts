/**
 * Tests fleets with relays in which many entry hosts lose their links to backend servers.
 *
 * @module
 */
import t from 'tap';
import type { Test } from 'tap';
import { CutFleet, CutMode, listUnanswered } from '../../../test/support/cut_fleet.js';
import { RunOutcome } from '../../domain/errors/mod.js';

const ROUTE = { timeoutMs: 5_000, targetMs: 200 };

/** Time after which callers of hosts that are cut off must be served, in milliseconds. */
const GRACE_MS = 3_000;

const CUT_MS = 9_000;

/** Smallest fraction of calls that is served at cut-off hosts after the grace, and elsewhere. */
const MIN_SERVED = 0.97;

/** Smallest fraction of calls that is served at cut-off hosts within the grace. */
const MIN_SERVED_EARLY = 0.75;

/** Longest time until a call is refused where nobody reaches a server, in milliseconds. */
const MAX_REFUSAL_MS = 1_000;

/** Most probes that a host makes in a second for itself and for peers. */
const MAX_CHECKS_PER_SECOND = 12;

/** Time that the large fleets may take, in milliseconds. */
const TEST_TIMEOUT_MS = 120_000;

const ZONES = ['hall-a', 'hall-b', 'far-a'];

/** Picks which hosts lose their links. */
type CutPicker = (fleet: CutFleet) => readonly string[];

interface CutCase {
  readonly hosts: number;
  readonly pickCut: CutPicker;
  readonly modes?: readonly CutMode[];
  /** Servers that can't be reached. Default: all. */
  readonly servers?: readonly string[];
}

function listIds(fleet: CutFleet): string[] {
  return fleet.hosts.map(({ peers }) => peers.identity.id);
}

function listRelays(fleet: CutFleet): string[] {
  return fleet.hosts
    .filter(({ reports }) => reports?.isRelay)
    .map(({ peers }) => peers.identity.id);
}

function listMembers(fleet: CutFleet): string[] {
  const relays = listRelays(fleet);
  return listIds(fleet).filter((id) => !relays.includes(id));
}

/** Picks relays first, so that as many members as possible are linked to a host that is cut too. */
function pickFraction(fraction: number): CutPicker {
  return (fleet) =>
    [...listRelays(fleet), ...listMembers(fleet)].slice(
      0,
      Math.ceil(fleet.hosts.length * fraction),
    );
}

const pickMember: CutPicker = (fleet) => listMembers(fleet).slice(0, 1);

const pickRelay: CutPicker = (fleet) => listRelays(fleet).slice(0, 1);

const pickZone: CutPicker = (fleet) =>
  fleet.hosts
    .filter(({ peers }) => peers.identity.availabilityZone === 'hall-a')
    .map(({ peers }) => peers.identity.id);

/** A member, and all peers that it is linked to. */
const pickLinked: CutPicker = (fleet) => {
  const [member] = listMembers(fleet);
  const host = fleet.hosts.find(({ peers }) => peers.identity.id === member);
  return [String(member), ...(host?.peers.listLinkedPeers() ?? []).map(({ id }) => id)];
};

const pickAllButOne: CutPicker = (fleet) => {
  const [spared] = listMembers(fleet);
  return listIds(fleet).filter((id) => id !== spared);
};

async function startFleet(t: Test, hosts: number, seed = hosts): Promise<CutFleet> {
  const servers = Math.max(12, Math.ceil(hosts / 3));
  const fleet = new CutFleet(t, {
    hosts,
    servers,
    route: ROUTE,
    seed,
    pickZone: (number) => ZONES[number % ZONES.length] as string,
  });
  await fleet.start();
  return fleet;
}

function computeLoad(hosts: number): number {
  return Math.min(300, hosts * 6);
}

/** Checks that nothing ran twice, and that no call that ran was said not to have run. */
function checkRuns(t: Test, fleet: CutFleet, name: string): void {
  t.equal(fleet.countRepeatedRuns(), 0, `${name}: no request ran twice`);
  const ran = new Set(fleet.runs.map(({ requestId }) => requestId));
  const untrue = fleet.calls.filter(
    ({ reply }, index) => reply.error?.run === RunOutcome.NotRun && ran.has(`call-${index + 1}`),
  );
  t.equal(untrue.length, 0, `${name}: "not run" is true`);
  t.equal(listUnanswered(fleet.calls).length, 0, `${name}: all calls have ended`);
}

/** Parts of the calls that were served at cut-off hosts early and late, and elsewhere. */
function measureParts(
  fleet: CutFleet,
  cutIds: readonly string[],
  cutAtMs: number,
): readonly [number, number, number] {
  const others = listIds(fleet).filter((id) => !cutIds.includes(id));
  const measure = (ids: readonly string[], fromMs: number, untilMs?: number): number => {
    const { served, sent } = fleet.measureServed(ids, fromMs, untilMs);
    return sent === 0 ? 1 : served / sent;
  };
  const early = measure(cutIds, cutAtMs, cutAtMs + GRACE_MS);
  const late = measure(cutIds, cutAtMs + GRACE_MS);
  const elsewhere = measure(others, cutAtMs);
  return [early, late, elsewhere];
}

async function playCut(t: Test, { hosts, pickCut, modes, servers }: CutCase): Promise<void> {
  for (const mode of modes ?? Object.values(CutMode)) {
    const fleet = await startFleet(t, hosts);
    const callsPerSecond = computeLoad(hosts);
    await fleet.run({ callsPerSecond, durationMs: 4_000 });
    const cutIds = pickCut(fleet);
    fleet.cut(cutIds, mode, servers ?? fleet.serverIds);
    const cutAtMs = fleet.clock.nowMs();
    await fleet.run({ callsPerSecond, durationMs: CUT_MS });
    await fleet.clock.advance(ROUTE.timeoutMs);
    const name = `${hosts} hosts, ${cutIds.length} cut, ${mode}`;
    const parts = measureParts(fleet, cutIds, cutAtMs);
    const [early, late, elsewhere] = parts;
    const isServed = early >= MIN_SERVED_EARLY && late >= MIN_SERVED && elsewhere >= MIN_SERVED;
    t.ok(isServed, `${name}: ${parts.map((part) => part.toFixed(3)).join(' ')}`);
    checkRuns(t, fleet, name);
  }
}

async function playSizes(
  t: Test,
  sizes: readonly number[],
  cut: Omit<CutCase, 'hosts'>,
): Promise<void> {
  t.setTimeout(TEST_TIMEOUT_MS);
  for (const hosts of sizes) await playCut(t, { ...cut, hosts });
}

t.test('one cut-off member or relay among sound hosts has its callers served', async (t) => {
  // Guards against calls that are written to connections that hang, one after the other.
  await playSizes(t, [13, 30], { pickCut: pickMember });
  await playSizes(t, [13, 30], { pickCut: pickRelay });
});

t.test('members whose relays are cut off too have their callers served', async (t) => {
  // Guards against a peer's word about a server that is taken although the peer reaches nothing.
  await playSizes(t, [13, 20, 30], { pickCut: pickLinked });
  await playSizes(t, [13, 20, 30], { pickCut: listRelays });
});

t.test('a zone whose hosts are all cut off has its callers served', async (t) => {
  // Guards against hosts that ask and use peers of their own zone alone.
  await playSizes(t, [13, 20, 30], { pickCut: pickZone });
});

t.test('many cut-off hosts have their callers served by the rest', async (t) => {
  // Guards against hosts that find none of the few peers that reach the servers.
  await playSizes(t, [20, 30], { pickCut: pickFraction(0.3) });
  await playSizes(t, [20], { pickCut: pickFraction(0.5) });
  await playSizes(t, [13, 20], { pickCut: pickAllButOne });
});

t.test('hosts that are cut off from half of the servers have their callers served', async (t) => {
  // Guards against servers that are left alone since all peers that were asked are cut off too.
  const servers = [1, 2, 3, 4, 5, 6].map((number) => `s-${number}`);
  await playSizes(t, [20], { pickCut: pickFraction(0.3), servers });
});

t.test('large fleets serve the callers of cut-off hosts', async (t) => {
  // Guards against searches for a peer that end before the few among many are found.
  const modes = [CutMode.Hang, CutMode.Reset];
  await playSizes(t, [81], { pickCut: pickFraction(0.3), modes });
  await playSizes(t, [195], { pickCut: pickFraction(0.3), modes: [CutMode.Hang] });
});

t.test('calls are refused soon, and checks stay few, where nobody reaches a server', async (t) => {
  // Guards against hosts that ask each other again and again about servers that nobody reaches.
  for (const mode of [CutMode.Hang, CutMode.Reset]) {
    const fleet = await startFleet(t, 30);
    await fleet.run({ callsPerSecond: 120, durationMs: 2_000 });
    fleet.cut(listIds(fleet), mode);
    await fleet.run({ callsPerSecond: 120, durationMs: GRACE_MS });
    const before = fleet.calls.length;
    const countChecks = (): number =>
      fleet.hosts.reduce((sum, { probe }) => sum + probe.checkedAddresses.length, 0);
    const checksBefore = countChecks();
    await fleet.run({ callsPerSecond: 120, durationMs: CUT_MS });
    const perHostAndSecond = (countChecks() - checksBefore) / fleet.hosts.length / (CUT_MS / 1_000);
    await fleet.clock.advance(MAX_REFUSAL_MS);
    const replies = fleet.calls.slice(before).map(({ reply }) => reply);
    const refused = replies.filter(({ error }) => error?.run === RunOutcome.NotRun);
    t.equal(refused.length, replies.length, `${mode}: all are refused as not run within a second`);
    t.ok(
      perHostAndSecond <= MAX_CHECKS_PER_SECOND,
      `${mode}: ${perHostAndSecond.toFixed(1)} checks`,
    );
    fleet.heal(listIds(fleet));
    await fleet.run({ callsPerSecond: 120, durationMs: GRACE_MS });
    const fromMs = fleet.clock.nowMs();
    await fleet.run({ callsPerSecond: 120, durationMs: 2_000 });
    await fleet.clock.advance(ROUTE.timeoutMs);
    const { served, sent } = fleet.measureServed(listIds(fleet), fromMs);
    t.ok(served / sent >= MIN_SERVED, `${mode}: ${served} of ${sent} after the cut`);
  }
});
