import t from 'tap';
import {
  EntryHostTable,
  StaleReadFilter,
  PauseDetector,
  PeerState,
  sortForCallers,
} from './mod.js';
import type { EntryHostIdentity, EntryHostView } from './mod.js';

const SUSPECT_MS = 2_000;
const FORGET_MS = 60_000;

function buildIdentity(id: string, incarnation: string, zone = 'hall-a'): EntryHostIdentity {
  return { id, incarnation, url: '', peerUrl: '', availabilityZone: zone };
}

function buildTable(): EntryHostTable {
  const table = new EntryHostTable({ suspectAfterMs: SUSPECT_MS, forgetAfterMs: FORGET_MS });
  table.addIncarnation(buildIdentity('b', 'b-1'), 0, 0);
  return table;
}

function getState(
  table: EntryHostTable,
  incarnation: string,
  nowMs: number,
): PeerState | undefined {
  const record = table.find(incarnation);
  return record && table.getState(record, PeerState.Live, nowMs);
}

t.test('EntryHostTable suspects by the send time of the last answered request', async (t) => {
  const table = buildTable();
  table.recordReply('b-1', 500);
  t.equal(getState(table, 'b-1', 500 + SUSPECT_MS), PeerState.Live);
  t.equal(getState(table, 'b-1', 501 + SUSPECT_MS), PeerState.Suspected);
  table.recordContact('b-1', 501 + SUSPECT_MS);
  t.equal(
    getState(table, 'b-1', 501 + SUSPECT_MS),
    PeerState.Suspected,
    'a message without a reply is not enough',
  );
});

t.test('addIncarnation() replaces at once; a resumed predecessor stays replaced', async (t) => {
  // Guards against requests that go to a replaced process. The process is frozen, its
  // successor starts under the same ID, and the frozen process resumes and sends messages
  // again. Taking the last sender for the newest incarnation would undo the replacement.
  const table = buildTable();
  const second = table.addIncarnation(buildIdentity('b', 'b-2'), 100, 7);
  t.equal(second.replaced?.incarnation, 'b-1');
  t.equal(table.find('b-1'), undefined);
  t.equal(table.find('b-2')?.outdatedListIndex, 7);
  t.equal(table.addIncarnation(buildIdentity('b', 'b-1'), 200, 7).accepted, false);
  t.ok(table.find('b-2'));
  const back = table.addIncarnation(buildIdentity('b', 'b-1'), 200 + SUSPECT_MS, 7);
  t.equal(back.replaced?.incarnation, 'b-2', 'a silent successor is replaced');
});

t.test('prune() forgets silent peers that the host list lacks', async (t) => {
  const table = buildTable();
  t.same(
    table.prune(FORGET_MS, () => false),
    [],
  );
  t.same(
    table.prune(FORGET_MS + 1, () => true),
    [],
  );
  t.same(
    table.prune(FORGET_MS + 1, () => false).map(({ incarnation }) => incarnation),
    ['b-1'],
  );
  t.equal(table.find('b-1'), undefined);
});

t.test('a pause of this process makes no answering peer suspected', async (t) => {
  const table = buildTable();
  table.addIncarnation(buildIdentity('c', 'c-1'), 0, 0);
  table.recordWake(90_000, (incarnation) => incarnation === 'b-1');
  t.equal(
    getState(table, 'c-1', 90_000),
    PeerState.Suspected,
    'the peer was silent before the pause',
  );
  t.equal(getState(table, 'b-1', 90_000), PeerState.Live);
  t.equal(getState(table, 'b-1', 90_001 + SUSPECT_MS), PeerState.Suspected);
});

t.test('PauseDetector accepts only confirmations that started after the pause', async (t) => {
  // Guards against work that goes to a backend server which left while this process was
  // frozen. After the pause the process reads a reply that waited in a buffer; this old
  // reply must not count as a sign that the view is up to date.
  const pauses = new PauseDetector({ nowMs: 0, maxGapMs: 1_000 });
  t.equal(pauses.fresh, false);
  t.ok(pauses.acceptRefresh(0));
  t.equal(pauses.detectPause(1_000), 0);
  t.equal(pauses.detectPause(61_000), 60_000);
  t.equal(pauses.fresh, false);
  t.equal(pauses.acceptRefresh(60_999), false);
  t.equal(pauses.fresh, false);
  t.ok(pauses.acceptRefresh(61_000));
  t.ok(pauses.fresh);
});

t.test('older host list reads are rejected until the restore timeout is over', async (t) => {
  const order = new StaleReadFilter(60_000);
  t.ok(order.acceptIndex(10, 0));
  t.equal(order.acceptIndex(9, 1_000), false);
  t.ok(order.acceptIndex(10, 2_000));
  t.equal(order.acceptIndex(4, 50_000), false);
  t.equal(order.acceptIndex(4, 109_999), false, 'the restore timeout started again');
  t.ok(order.acceptIndex(5, 110_000));
  t.equal(order.index, 5);
});

t.test('sortForCallers() returns live hosts, those of the zone first', async (t) => {
  const states = [PeerState.Live, PeerState.Suspected, PeerState.Live, PeerState.Leaving];
  const views: EntryHostView[] = ['hall-b', 'hall-a'].flatMap((zone) =>
    states.map((state, index) => ({
      identity: buildIdentity(`${zone}-${index}`, '', zone),
      state,
      silentMs: 0,
    })),
  );
  const draws = [0.9, 0.1, 0.2, 0.8];
  const sorted = sortForCallers(views, 'hall-a', () => draws.shift() ?? 0);
  t.same(
    sorted.map(({ identity }) => identity.id),
    ['hall-a-0', 'hall-a-2', 'hall-b-2', 'hall-b-0'],
  );
});
