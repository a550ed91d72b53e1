import t from 'tap';
import { PeerMessageType } from '../../ports/mod.js';
import type { FeedChange, FeedUpdateMessage } from '../../ports/mod.js';
import { SentMessageCheck } from './_sent_message_check.js';

const CHANGE_COUNT = 100;

const PEER_COUNT = 30;

/** Builds the update that one peer gets. */
function buildUpdate(changes: readonly FeedChange[], heardSequence: number): FeedUpdateMessage {
  return {
    type: PeerMessageType.FeedUpdate,
    era: 1,
    isComplete: false,
    fromRevision: 0,
    toRevision: CHANGE_COUNT,
    changes,
    ageMs: 0,
    wasAway: false,
    heardSequence,
  };
}

/** Guards against readers of the store that stand still while they check each change for each peer. */
t.test('SentMessageCheck looks at the changes of an update once for all peers', async (t) => {
  const reads = { count: 0 };
  const changes = Array.from({ length: CHANGE_COUNT }, (_, index) => {
    const get = (): string => {
      reads.count += 1;
      return `servers/s-${index}`;
    };
    const change = { key: '', value: new Uint8Array(1), revision: index + 1 };
    return Object.defineProperty(change, 'key', { get, enumerable: true });
  });
  const check = new SentMessageCheck();
  for (let peer = 0; peer < PEER_COUNT; peer += 1) check.check(buildUpdate(changes, peer));
  t.ok(reads.count > 0);
  t.ok(reads.count <= 4 * CHANGE_COUNT, `${reads.count} reads`);
});

t.test('SentMessageCheck refuses malformed changes and fields, each time', async (t) => {
  const check = new SentMessageCheck();
  const faulty = [{ key: 5 as unknown as string, value: undefined, revision: 1 }];
  t.throws(() => check.check(buildUpdate(faulty, 1)));
  t.throws(() => check.check(buildUpdate(faulty, 2)));
  const sound: readonly FeedChange[] = [];
  check.check(buildUpdate(sound, 1));
  t.throws(() => check.check({ ...buildUpdate(sound, 2), heardSequence: -1 }));
  check.check(buildUpdate(sound, 3));
});
