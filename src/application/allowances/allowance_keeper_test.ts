import t from 'tap';
import { ErrorKind } from '../../domain/errors/mod.js';
import { AllowanceHosts } from '../../../test/support/allowance_hosts.js';
import type { AllowanceHostsOptions } from '../../../test/support/allowance_hosts.js';

const IDS = ['eh-1', 'eh-2', 'eh-3', 'eh-4', 'eh-5', 'eh-6', 'eh-7', 'eh-8'];
const LIMITS = { requestsPerSecond: 80, tokensPerSecond: 20_000, inFlight: 64 };
const LIFE_MS = 2000;

function startHosts(options: Partial<AllowanceHostsOptions> = {}): AllowanceHosts {
  const hosts = new AllowanceHosts({ ids: IDS, limits: LIMITS, ...options });
  // The home lends nothing in the first lease life of its process.
  hosts.advance(2 * LIFE_MS);
  return hosts;
}

function pickOther(hosts: AllowanceHosts): string {
  return IDS.find((id) => id !== hosts.home) ?? '';
}

/** Sends requests at a steady rate. @returns how many were admitted in each second */
function runDemand(
  hosts: AllowanceHosts,
  id: string,
  perSecond: number,
  seconds: number,
  runMs = 100,
): readonly number[] {
  const admitted: number[] = Array.from({ length: seconds }, () => 0);
  admitted.forEach((_, second) => {
    for (let sent = 0; sent < perSecond; sent += 1) {
      hosts.advance(1000 / perSecond);
      if (hosts.sendRequest(id, 100, runMs)) admitted[second] = (admitted[second] ?? 0) + 1;
    }
  });
  return admitted;
}

t.test('AllowanceKeeper gives nearly the whole limit to one busy entry host', async (t) => {
  const hosts = startHosts({ maxDelayMs: 5 });
  const admitted = runDemand(hosts, pickOther(hosts), 200, 6);
  t.comment(`admitted a second of 80: ${admitted.join(' ')}`);
  t.ok(admitted.slice(1).every((count) => count >= 0.93 * LIMITS.requestsPerSecond));
});

t.test('AllowanceKeeper moves the limit when the demand moves', async (t) => {
  const hosts = startHosts({ maxDelayMs: 5 });
  const [first = '', second = ''] = IDS.filter((id) => id !== hosts.home);
  runDemand(hosts, first, 200, 4);
  const admitted = runDemand(hosts, second, 200, 6);
  t.comment(`admitted a second of 80 after the move: ${admitted.join(' ')}`);
  t.ok(admitted.slice(3).every((count) => count >= 0.93 * LIMITS.requestsPerSecond));
});

t.test('AllowanceKeeper lends requests in flight to one busy entry host', async (t) => {
  const hosts = startHosts();
  runDemand(hosts, pickOther(hosts), 50, 5, 30_000);
  t.comment(`in flight of 64: ${hosts.mostRunning}`);
  t.equal(hosts.mostRunning, LIMITS.inFlight - (IDS.length - 1));
});

t.test('AllowanceKeeper admits the first request of an idle account at once', async (t) => {
  const hosts = startHosts();
  runDemand(hosts, pickOther(hosts), 200, 5, 200);
  IDS.forEach((id) => {
    if (id !== pickOther(hosts)) t.ok(hosts.sendRequest(id, 5000, 100), id);
  });
});

t.test('AllowanceKeeper sends nothing for idle accounts', async (t) => {
  const hosts = startHosts();
  hosts.sendRequest(pickOther(hosts), 100, 100);
  hosts.advance(10 * LIFE_MS);
  const before = hosts.messageCount;
  hosts.advance(60_000);
  t.equal(hosts.messageCount, before);
});

t.test('AllowanceKeeper asks about twice a lease life', async (t) => {
  const hosts = startHosts();
  const before = hosts.messageCount;
  runDemand(hosts, pickOther(hosts), 5, 20);
  const perLife = (hosts.messageCount - before) / (20_000 / LIFE_MS);
  t.comment(`messages a lease life, requests and leases together: ${perLife}`);
  t.ok(perLife <= 5);
});

t.test('AllowanceKeeper messages for a pressed account grow with the entry hosts', async (t) => {
  const SECONDS = 10;
  [2, 4, 8, 16, 32].forEach((count) => {
    const ids = Array.from({ length: count }, (_, index) => `eh-${index + 1}`);
    const hosts = startHosts({ ids });
    const id = ids.find((one) => one !== hosts.home) ?? '';
    runDemand(hosts, id, 200, 5);
    const before = hosts.messageCount;
    runDemand(hosts, id, 200, SECONDS);
    const perSecond = (hosts.messageCount - before) / SECONDS;
    t.comment(`${count} entry hosts: ${perSecond} messages a second in all`);
    // A lease and its confirmation for each other entry host, twice a lease life.
    t.ok(perSecond <= 3 * count);
  });
});

t.test('AllowanceKeeper falls back to the base share without the home', async (t) => {
  // Symptom: an account gets its whole limit on each side of a partition.
  // Sequence: one entry host is lent nearly everything, then its link to the home is cut.
  // Cause: a share that does not end with its lease.
  const hosts = startHosts();
  const other = pickOther(hosts);
  runDemand(hosts, other, 200, 4);
  IDS.forEach((id) => hosts.setCut(other, id, true));
  const admitted = runDemand(hosts, other, 200, 8);
  const base = LIMITS.requestsPerSecond / IDS.length;
  t.comment(`admitted a second after the cut: ${admitted.join(' ')}`);
  t.ok(admitted.slice(3).every((count) => count <= base + 1 && count >= base - 1));
});

t.test('AllowanceKeeper admits at most the limit once for each differing host list', async (t) => {
  // Symptom: an account gets more than its limit though no lease is wrong.
  // Sequence: half of the entry hosts see a host list that lacks the other half.
  // Cause: each list has its own home and its own division of the limit.
  const hosts = startHosts();
  const halves = [IDS.slice(0, 4), IDS.slice(4)];
  halves.forEach((half) => half.forEach((id) => hosts.listed.set(id, half)));
  hosts.advance(2 * LIFE_MS);
  const before = hosts.admitted.length;
  const SECONDS = 10;
  for (let step = 0; step < SECONDS * 100; step += 1) {
    hosts.advance(10);
    IDS.forEach((id) => hosts.sendRequest(id, 100, 10));
  }
  const perSecond = (hosts.admitted.length - before) / SECONDS;
  t.comment(`admitted a second of 80 under two lists: ${perSecond}`);
  t.ok(perSecond <= 2 * (LIMITS.requestsPerSecond + LIMITS.requestsPerSecond / SECONDS));
});

t.test('AllowanceKeeper keeps 2 in flight over 8 entry hosts', async (t) => {
  // With fewer in flight than entry hosts most have no base share: the first
  // request there is refused, and one soon after is admitted by a lease.
  const hosts = startHosts({ limits: { ...LIMITS, inFlight: 2 } });
  const refusedFirst = IDS.filter((id) => !hosts.sendRequest(id, 100, 50));
  t.equal(refusedFirst.length, 6);
  t.ok(hosts.refused.every(({ kind }) => kind === ErrorKind.InFlightLimited));
  hosts.advance(10 * LIFE_MS);
  const id = refusedFirst.find((refused) => refused !== hosts.home) ?? '';
  const admitted = runDemand(hosts, id, 10, 4, 500);
  t.comment(`admitted a second where the base share is none: ${admitted.join(' ')}`);
  t.ok(admitted.slice(1).every((count) => count >= 2));
  t.equal(hosts.mostRunning, 2);
});

t.test('AllowanceKeeper tells when to come back from the bucket', async (t) => {
  const cases = [
    { kind: ErrorKind.RateLimited, tokens: 1, runMs: 1 },
    { kind: ErrorKind.TokensLimited, tokens: 8000, runMs: 1 },
    { kind: ErrorKind.InFlightLimited, tokens: 1, runMs: 1000 },
  ];
  cases.forEach(({ kind, tokens, runMs }) => {
    const hosts = startHosts({ ids: ['eh-1'] });
    while (hosts.refused.length === 0 && hosts.admitted.length < 200) {
      hosts.sendRequest('eh-1', tokens, runMs);
      hosts.advance(kind === ErrorKind.InFlightLimited ? 13 : 2);
    }
    const [refusal] = hosts.refused;
    t.equal(refusal?.kind, kind);
    hosts.advance(refusal?.retryAfterMs ?? 0);
    t.ok(
      hosts.sendRequest('eh-1', tokens, 1),
      `${kind}: admitted after ${refusal?.retryAfterMs} ms`,
    );
  });
});
