import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import t from 'tap';
import { buildPlan, FaultKind } from './plan.js';
import type { PlannedFault } from './plan.js';
import { runSoak } from './run_soak.js';
import { SILENCE_FLEET } from './silence_plan.js';

/** A short plan in which faults of hosts, links, the store and replicas overlap. */
const SHORT_PLAN: readonly PlannedFault[] = [
  { kind: FaultKind.ReplicaLosesAnswers, atMs: 0, forMs: 1_500, index: 0 },
  { kind: FaultKind.HostKilled, atMs: 400, forMs: 0, index: 1 },
  { kind: FaultKind.StoreReset, atMs: 600, forMs: 800, index: 0 },
  { kind: FaultKind.PeerLinkSilent, atMs: 900, forMs: 1_200, index: 2 },
  { kind: FaultKind.HostPaused, atMs: 1_300, forMs: 900, index: 0 },
  { kind: FaultKind.RouteAdded, atMs: 1_500, forMs: 0, index: 0 },
  { kind: FaultKind.ReplicaDrained, atMs: 1_800, forMs: 0, index: 1 },
  { kind: FaultKind.HostStopped, atMs: 2_200, forMs: 0, index: 2 },
];

/** A short plan in which the store comes back from a copy twice, beside other faults. */
const RESTORE_PLAN: readonly PlannedFault[] = [
  { kind: FaultKind.KeyRevoked, atMs: 300, forMs: 0, index: 0 },
  { kind: FaultKind.StoreRestored, atMs: 500, forMs: 700, index: 0 },
  { kind: FaultKind.HostPaused, atMs: 600, forMs: 1_500, index: 0 },
  { kind: FaultKind.HostKilled, atMs: 1_100, forMs: 0, index: 1 },
  { kind: FaultKind.ReplicaDrained, atMs: 1_600, forMs: 0, index: 1 },
  { kind: FaultKind.StoreRestored, atMs: 2_000, forMs: 500, index: 0 },
  { kind: FaultKind.PeerLinkCut, atMs: 2_100, forMs: 900, index: 2 },
  { kind: FaultKind.RouteAdded, atMs: 2_900, forMs: 0, index: 0 },
];

/** A short plan in which replicas bear few refusals, one of them is silent for a second, and hosts go. */
const REFUSALS_PLAN: readonly PlannedFault[] = [
  { kind: FaultKind.RefusalsLimited, atMs: 0, forMs: 6_000, index: 0 },
  { kind: FaultKind.ReplicaLinkDelayed, atMs: 800, forMs: 1_100, index: 1 },
  { kind: FaultKind.HostKilled, atMs: 1_500, forMs: 0, index: 1 },
  { kind: FaultKind.PeerLinkCut, atMs: 2_500, forMs: 1_000, index: 2 },
  { kind: FaultKind.HostStopped, atMs: 3_800, forMs: 0, index: 0 },
];

/** A short plan in which versions are released beside faults of hosts, links and replicas. */
const RELEASE_PLAN: readonly PlannedFault[] = [
  { kind: FaultKind.VersionReleased, atMs: 0, forMs: 0, index: 0 },
  { kind: FaultKind.HostKilled, atMs: 600, forMs: 0, index: 1 },
  { kind: FaultKind.ReplicaLosesAnswers, atMs: 900, forMs: 600, index: 1 },
  { kind: FaultKind.PeerLinkSilent, atMs: 1_500, forMs: 1_000, index: 2 },
  { kind: FaultKind.VersionReleased, atMs: 2_000, forMs: 0, index: 1 },
  { kind: FaultKind.HostPaused, atMs: 2_400, forMs: 800, index: 0 },
  { kind: FaultKind.StoreLinkCut, atMs: 2_600, forMs: 1_500, index: 1 },
  { kind: FaultKind.HostStopped, atMs: 3_500, forMs: 0, index: 2 },
];

/**
 * A short plan in which sound replicas fall silent, alone, by zone and all at once, beside a key that
 * is replaced, a new route, a SIGHUP and a SIGTERM.
 */
const SILENCE_PLAN: readonly PlannedFault[] = [
  { kind: FaultKind.KeyReplaced, atMs: 200, forMs: 0, index: 0 },
  { kind: FaultKind.ZoneSilent, atMs: 700, forMs: 1_900, index: 0 },
  { kind: FaultKind.KeyReplaced, atMs: 3_000, forMs: 0, index: 0 },
  { kind: FaultKind.ZoneSilent, atMs: 3_500, forMs: 1_900, index: 1 },
  { kind: FaultKind.HostReloaded, atMs: 4_000, forMs: 0, index: 1 },
  { kind: FaultKind.KeyReplaced, atMs: 5_800, forMs: 0, index: 0 },
  { kind: FaultKind.ReplicaSilent, atMs: 6_300, forMs: 1_800, index: 2 },
  { kind: FaultKind.RouteAdded, atMs: 6_600, forMs: 0, index: 0 },
  { kind: FaultKind.AllSilent, atMs: 8_600, forMs: 1_700, index: 0 },
  { kind: FaultKind.HostStopped, atMs: 8_900, forMs: 0, index: 2 },
];

t.test('buildPlan() returns the same plan for the same seed', async (t) => {
  const options = { seed: 7, hosts: 4, replicas: 4, lengthMs: 10_000 };
  t.same(buildPlan(options), buildPlan(options));
  t.not(JSON.stringify(buildPlan(options)), JSON.stringify(buildPlan({ ...options, seed: 8 })));
});

t.test('buildPlan() generates every kind of fault within a hundred seeds', async (t) => {
  const kinds = new Set<FaultKind>();
  for (let seed = 0; seed < 100; seed += 1) {
    buildPlan({ seed, hosts: 4, replicas: 4, lengthMs: 10_000 }).forEach(({ kind }) =>
      kinds.add(kind),
    );
  }
  t.same([...kinds].sort(), Object.values(FaultKind).sort());
});

[
  { name: 'a short series of overlapping faults', plan: SHORT_PLAN },
  { name: 'restores of the store among other faults', plan: RESTORE_PLAN },
  { name: 'a limit on refusals among other faults', plan: REFUSALS_PLAN },
  { name: 'releases of versions among other faults', plan: RELEASE_PLAN },
  {
    name: 'silences of sound replicas beside planned work',
    plan: SILENCE_PLAN,
    replicas: 6,
    fleet: SILENCE_FLEET,
  },
].forEach(({ name, plan, replicas = 3, fleet = {} }) => {
  t.test(`real processes violate no guarantee under ${name}`, async (t) => {
    const folder = mkdtempSync(path.join(tmpdir(), 'monsoonhall-soak-'));
    t.teardown(() => rmSync(folder, { recursive: true, force: true }));
    const verdict = await runSoak({
      seed: 1,
      hosts: 3,
      replicas,
      callers: 4,
      lengthMs: 0,
      plan,
      fleet,
      folder,
      onProgress: () => undefined,
    });
    t.same(verdict.broken, []);
    t.ok(verdict.served > 0);
  });
});
