/**
 * Tests fleets with relays in which many entry hosts lose their links to backend servers.
 *
 * @module
 */
import t from 'tap';
import {
  CUT_MS,
  GRACE_MS,
  MIN_SERVED,
  listIds,
  listRelays,
  pickAllButOne,
  pickFraction,
  pickLinked,
  pickMember,
  pickRelay,
  pickZone,
  playSizes,
  ROUTE,
  startFleet,
} from '../../../test/support/cut_cases.js';
import { CutMode } from '../../../test/support/cut_fleet.js';
import { RunOutcome } from '../../domain/errors/mod.js';

/** Longest time until a call is refused where nobody reaches a server, in milliseconds. */
const MAX_REFUSAL_MS = 1_000;

/** Most probes that a host makes in a second for itself and for peers. */
const MAX_CHECKS_PER_SECOND = 12;

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
