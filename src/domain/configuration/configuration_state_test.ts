import fc from 'fast-check';
import t from 'tap';
import { EMPTY_STATE, mergeEntries, mergeSnapshot } from './configuration_state.js';
import type { ConfigurationSnapshot, ConfigurationState } from './configuration_state.js';
import { compareDigest, buildDigest, hashState } from './digest.js';
import { CONTRACT_KEY_PREFIX, FLEET_KEY } from './document_key.js';
import type { RawEntry } from './entry.js';

const ACCOUNT_A_KEY = `${CONTRACT_KEY_PREFIX}firm-a`;
const ACCOUNT_B_KEY = `${CONTRACT_KEY_PREFIX}firm-b`;
const KEYS = [ACCOUNT_A_KEY, ACCOUNT_B_KEY, FLEET_KEY];
const INVALID_DOCUMENT = 'no document';

/** Builds a valid document for a key; documents of different weights differ. */
function buildDocument(key: string, weight: number): string {
  if (key === FLEET_KEY) {
    const kind = { id: 'k', prefillTokensPerSecond: weight, decodeTokensPerSecond: 1, slots: 1 };
    return JSON.stringify({ services: [], engineKinds: [kind] });
  }
  return JSON.stringify({
    account: key.slice(CONTRACT_KEY_PREFIX.length),
    keys: [{ sha256: '0'.repeat(64) }],
    weight,
    limits: { requestsPerSecond: 1, tokensPerSecond: 1, inFlight: 1 },
    work: [{ kind: 'w', service: 's', tier: 'batch' }],
  });
}

function buildEntry(key: string, revision: number, text: string | undefined): RawEntry {
  return { key, revision, value: text === undefined ? undefined : Buffer.from(text) };
}

function listEntries(state: ConfigurationState): readonly RawEntry[] {
  return [...state.entries.values()];
}

/** Formats the accepted and rejected entries regardless of the order in which they arrived. */
function formatState({ entries, rejected }: ConfigurationState): string {
  return JSON.stringify([[...entries].sort(), [...rejected].sort()]);
}

const rawEntriesArbitrary = fc.array(
  fc
    .record({
      key: fc.constantFrom(...KEYS, 'monsoonhall/other'),
      revision: fc.integer({ min: 1, max: 5 }),
      weight: fc.integer({ min: 0, max: 4 }),
    })
    .map(({ key, revision, weight }) =>
      // Weight 0 is a deletion, 1 is invalid; the other weights conflict at one revision.
      buildEntry(
        key,
        revision,
        [undefined, INVALID_DOCUMENT][weight] ?? buildDocument(key, weight),
      ),
    ),
  { maxLength: 8 },
);

function mergeAll(...lists: readonly (readonly RawEntry[])[]): ConfigurationState {
  return lists.reduce((state, list) => mergeEntries(state, list).state, EMPTY_STATE);
}

t.test('mergeEntries() is commutative, associative and idempotent', async (t) => {
  fc.assert(
    fc.property(rawEntriesArbitrary, rawEntriesArbitrary, rawEntriesArbitrary, (a, b, c) => {
      const expected = formatState(mergeAll([...a, ...b, ...c]));
      return [
        mergeAll(a, b, c),
        mergeAll(c, b, a),
        mergeAll(b, [...a, ...c].reverse()),
        mergeAll(a, b, a, c, c, b),
      ].every((state) => formatState(state) === expected);
    }),
    { seed: 42, numRuns: 500 },
  );
  t.pass();
});

/** Lists the snapshots of the configuration service after each write; that of index 1 is empty. */
function buildHistory(
  writes: readonly { readonly key: string; readonly weight: number }[],
): readonly ConfigurationSnapshot[] {
  return writes.reduce<readonly ConfigurationSnapshot[]>(
    (history, { key, weight }) => {
      const index = history.length + 1;
      const others = (history.at(-1)?.entries ?? []).filter((entry) => entry.key !== key);
      const text = weight === 1 ? INVALID_DOCUMENT : buildDocument(key, weight);
      const written = weight === 0 ? [] : [buildEntry(key, index, text)];
      return [...history, { index, entries: [...others, ...written] }];
    },
    [{ index: 1, entries: [] }],
  );
}

/** Checks that no entry in effect is superseded by the newest snapshot that was merged. */
function reflectsSnapshot(
  state: ConfigurationState,
  newest: ConfigurationSnapshot | undefined,
): boolean {
  return KEYS.every((key) => {
    const inForce = state.entries.get(key);
    const published = newest?.entries.find((entry) => entry.key === key);
    if (!newest) return true;
    if (!published) {
      return key === FLEET_KEY || !inForce?.value || inForce.revision >= newest.index;
    }
    const isValid = Buffer.from(published.value ?? []).toString() !== INVALID_DOCUMENT;
    return !isValid || (inForce?.revision ?? 0) >= published.revision;
  });
}

const stepsArbitrary = fc.array(
  fc.record({
    host: fc.nat(3),
    // Null: the host reads a snapshot of any age; otherwise the peer that sends some entries.
    from: fc.option(fc.nat(3), { freq: 2 }),
    at: fc.nat(40),
    parts: fc.array(fc.nat(2), { maxLength: 3 }),
  }),
  { maxLength: 40 },
);

const writesArbitrary = fc.array(
  fc.record({ key: fc.constantFrom(...KEYS), weight: fc.integer({ min: 0, max: 3 }) }),
  { minLength: 1, maxLength: 12 },
);

t.test('merges never revert an entry, and converge', async (t) => {
  // Guards against an entry host that applies a replaced or withdrawn contract. This happens
  // if anything but the revision decides what is in effect when stale or restored snapshots
  // and peers' entries arrive in any order, or are lost.
  fc.assert(
    fc.property(writesArbitrary, stepsArbitrary, (writes, steps) => {
      const history = buildHistory(writes);
      const hosts = [EMPTY_STATE, EMPTY_STATE, EMPTY_STATE, EMPTY_STATE];
      const newest: (ConfigurationSnapshot | undefined)[] = [];
      steps.forEach(({ host, from, at, parts }) => {
        const before = hosts[host] ?? EMPTY_STATE;
        const snapshot = history[at % history.length];
        const heard = listEntries(hosts[from ?? host] ?? EMPTY_STATE).filter(({ key }) =>
          parts.some((part) => KEYS[part] === key),
        );
        const isRead = from === null && snapshot;
        const { state } = isRead ? mergeSnapshot(before, snapshot) : mergeEntries(before, heard);
        hosts[host] = state;
        if (isRead && snapshot.index > (newest[host]?.index ?? 0)) newest[host] = snapshot;
        KEYS.forEach((key) => {
          const revision = before.entries.get(key)?.revision ?? 0;
          if ((state.entries.get(key)?.revision ?? 0) < revision)
            throw new Error(`reverted: ${key}`);
        });
        if (!reflectsSnapshot(state, newest[host]))
          throw new Error('a superseded entry is in effect');
      });
      const rounds = [...hosts, ...hosts].map((_, at) => at);
      rounds.forEach((at) => {
        const before = hosts[at % hosts.length] ?? EMPTY_STATE;
        hosts[at % hosts.length] = hosts.reduce(
          (state, peer) => mergeEntries(state, listEntries(peer)).state,
          before,
        );
      });
      return new Set(hosts.map(hashState)).size === 1;
    }),
    { seed: 42, numRuns: 1000 },
  );
  t.pass();
});

t.test('mergeSnapshot() keeps the last valid document and reports the faults', async (t) => {
  // Guards against a mistyped contract that stops a client account or blocks its own
  // correction, because the invalid revision counts as accepted.
  const good = buildEntry(ACCOUNT_A_KEY, 4, buildDocument(ACCOUNT_A_KEY, 2));
  const bad = buildEntry(ACCOUNT_A_KEY, 5, INVALID_DOCUMENT);
  const better = buildEntry(ACCOUNT_A_KEY, 6, buildDocument(ACCOUNT_A_KEY, 3));
  const first = mergeSnapshot(EMPTY_STATE, { index: 4, entries: [good] });
  const second = mergeSnapshot(first.state, { index: 5, entries: [bad] });
  t.equal(second.state.entries.get(ACCOUNT_A_KEY)?.revision, 4);
  t.match(second.refused, [{ key: ACCOUNT_A_KEY, revision: 5, reasons: [/line 1/] }]);
  t.same(mergeSnapshot(second.state, { index: 5, entries: [bad] }).refused, []);
  const third = mergeSnapshot(second.state, { index: 6, entries: [better] });
  t.equal(third.state.entries.get(ACCOUNT_A_KEY)?.contract?.weight, 3);
  t.equal(third.state.rejected.size, 0);
});

t.test('mergeEntries() restores the last valid document of peers after a restart', async (t) => {
  const bad = { index: 5, entries: [buildEntry(ACCOUNT_A_KEY, 5, INVALID_DOCUMENT)] };
  const restarted = mergeSnapshot(EMPTY_STATE, bad).state;
  const { state } = mergeEntries(restarted, [
    buildEntry(ACCOUNT_A_KEY, 4, buildDocument(ACCOUNT_A_KEY, 2)),
  ]);
  t.equal(state.entries.get(ACCOUNT_A_KEY)?.revision, 4);
  t.equal(state.rejected.get(ACCOUNT_A_KEY)?.revision, 5);
});

t.test('mergeEntries() keeps an entry deleted that a newer snapshot is missing', async (t) => {
  // Guards against API keys of a withdrawn client account that one host accepts again. The
  // host starts after the deletion and never receives the contract; then a peer that was
  // partitioned since before the deletion reconnects and sends it. A missing entry, unlike
  // a deletion, has no revision that could win.
  const { state } = mergeSnapshot(EMPTY_STATE, { index: 9, entries: [] });
  const old = buildEntry(ACCOUNT_A_KEY, 4, buildDocument(ACCOUNT_A_KEY, 2));
  const merged = mergeEntries(state, [old]).state.entries.get(ACCOUNT_A_KEY);
  t.match(merged, { revision: 9, value: undefined });
  t.match(mergeEntries(EMPTY_STATE, [old]).state.entries.get(ACCOUNT_A_KEY), { revision: 4 });
});

t.test('mergeSnapshot() deletes neither the fleet nor a newer entry', async (t) => {
  const entries = KEYS.map((key) => buildEntry(key, 7, buildDocument(key, 2)));
  const { state } = mergeSnapshot(EMPTY_STATE, { index: 7, entries });
  t.equal(mergeSnapshot(state, { index: 6, entries: [] }).changed.length, 0);
  const emptied = mergeSnapshot(state, { index: 8, entries: [] });
  t.same(
    emptied.changed.map(({ key }) => key),
    [ACCOUNT_A_KEY, ACCOUNT_B_KEY],
  );
  t.ok(emptied.state.entries.get(FLEET_KEY)?.fleet);
});

t.test('mergeEntries() ignores malformed and invalid entries of a peer', async (t) => {
  const document = buildDocument(ACCOUNT_A_KEY, 2);
  const unsound = [
    buildEntry(ACCOUNT_A_KEY, 0, document),
    buildEntry(ACCOUNT_A_KEY, 1.5, document),
    buildEntry(ACCOUNT_A_KEY, Infinity, document),
    buildEntry(ACCOUNT_A_KEY, 3, INVALID_DOCUMENT),
    buildEntry(ACCOUNT_B_KEY, 3, document),
    buildEntry('x'.repeat(10_000), 3, document),
    buildEntry('monsoonhall/other', 3, undefined),
    { key: ACCOUNT_A_KEY, revision: 3, value: document } as unknown as RawEntry,
  ];
  t.equal(mergeEntries(EMPTY_STATE, unsound).changed.length, 0);
});

t.test('compareDigest() finds the entries that either side is missing', async (t) => {
  const state = mergeAll([
    buildEntry(ACCOUNT_A_KEY, 4, buildDocument(ACCOUNT_A_KEY, 2)),
    buildEntry(ACCOUNT_B_KEY, 5, undefined),
  ]);
  t.same(compareDigest(state, buildDigest(state)), { ahead: [], isBehind: false });
  t.match(compareDigest(state, {}), { ahead: [{ key: ACCOUNT_A_KEY }, { key: ACCOUNT_B_KEY }] });
  t.match(compareDigest(state, { [ACCOUNT_A_KEY]: 6, [ACCOUNT_B_KEY]: 4 }), {
    ahead: [{ key: ACCOUNT_B_KEY }],
    isBehind: true,
  });
});
