import { deepEqual, ok } from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { FakeFeed } from '../../../test/support/fake_feed.js';
import type { FeedCopy } from '../../../test/support/fake_feed.js';
import { VirtualClock } from '../../../test/support/virtual_clock.js';
import { comparePositions } from '../../domain/freshness/mod.js';
import type { StorePosition } from '../../domain/freshness/mod.js';
import { HistoryLostError } from '../../ports/mod.js';
import type { FeedChanges } from '../../ports/mod.js';
import { FeedState, UpdateEffect } from './_feed_state.js';
import type { FeedUpdate } from './feed_update.js';

const SEED = 42;
const HOST_COUNT = 3;

enum Action {
  Put = 'put',
  Remove = 'remove',
  Copy = 'copy',
  Restore = 'restore',
  /** A host reads the store and sends what it has read to the others. */
  Read = 'read',
  /** A host gets one of the updates that were ever sent, however late. */
  Deliver = 'deliver',
  /** A host starts anew. */
  Restart = 'restart',
}

interface Step {
  readonly action: Action;
  readonly key: string;
  readonly host: number;
  readonly pick: number;
}

function formatPosition({ era, revision }: StorePosition): string {
  return `${era}/${revision}`;
}

/** A host that applies updates and holds the values that result. */
class ValueHost {
  readonly state = new FeedState();

  readonly values = new Map<string, string>();

  apply(update: FeedUpdate): void {
    const effect = this.state.classify(update);
    if (effect === UpdateEffect.Continues) {
      this.state.append(update).forEach(({ key, value }) => {
        if (value) this.values.set(key, Buffer.from(value).toString());
        else this.values.delete(key);
      });
    } else if (effect === UpdateEffect.Replaces) this.replace(update);
  }

  replace(update: FeedUpdate): void {
    const items = update.changes.flatMap(({ key, value, revision }) =>
      value ? [{ key, value, revision }] : [],
    );
    this.state.replace(items, { era: update.era, revision: update.toRevision });
    this.values.clear();
    items.forEach(({ key, value }) => this.values.set(key, Buffer.from(value).toString()));
  }
}

/** A store that may come back from a copy, the states that it was in, and hosts that follow it. */
class History {
  readonly feed = new FakeFeed(new VirtualClock());

  readonly hosts = Array.from({ length: HOST_COUNT }, () => new ValueHost());

  readonly #sent: FeedUpdate[] = [];

  /** Content of the store at each position. */
  readonly #contents = new Map<string, [string, string][]>();

  #copy: FeedCopy = this.feed.copy();

  #writeCount = 0;

  constructor() {
    this.#recordContent();
  }

  async play({ action, key, host: index, pick }: Step): Promise<void> {
    const host = this.hosts[index % HOST_COUNT] as ValueHost;
    this.#writeCount += 1;
    switch (action) {
      case Action.Put:
        this.feed.put(key, `value ${this.#writeCount}`);
        break;
      case Action.Remove:
        this.feed.remove(key);
        break;
      case Action.Copy:
        this.#copy = this.feed.copy();
        break;
      case Action.Restore:
        this.feed.restore(this.#copy);
        break;
      case Action.Read:
        await this.#read(host);
        break;
      case Action.Deliver:
        if (this.#sent.length > 0) host.apply(this.#sent[pick % this.#sent.length] as FeedUpdate);
        break;
      default:
        this.hosts[index % HOST_COUNT] = new ValueHost();
    }
    this.#recordContent();
  }

  /** Reads as a follower does: changes of the known era, else everything. */
  async #read(host: ValueHost): Promise<void> {
    const known = host.state.position;
    const answer = known && (await this.#readChanges(known));
    if (known && answer && answer.era === known.era) {
      const update: FeedUpdate = {
        era: known.era,
        isComplete: false,
        fromRevision: known.revision,
        toRevision: answer.revision,
        changes: answer.changes,
      };
      host.apply(update);
      this.#sent.push(update);
      return;
    }
    const { items, revision, era = 0 } = await this.feed.readAll('');
    const update = host.state.buildCatchUp(items, { era, revision });
    if (update) this.#sent.push(update);
    host.replace({ era, isComplete: true, fromRevision: 0, toRevision: revision, changes: items });
  }

  async #readChanges(known: StorePosition): Promise<FeedChanges | undefined> {
    try {
      return await this.feed.readChanges('', known.revision, 0);
    } catch (error) {
      if (error instanceof HistoryLostError) return undefined;
      throw error;
    }
  }

  /** Checks that each host holds just what the store held at the host's position. */
  check(before: readonly (StorePosition | undefined)[]): void {
    this.hosts.forEach(({ state, values }, index) => {
      const { position } = state;
      if (!position) return;
      deepEqual([...values].sort(), this.#contents.get(formatPosition(position)), `host ${index}`);
      const former = before[index];
      ok(!former || comparePositions(position, former) >= 0, `host ${index} went back`);
    });
  }

  #recordContent(): void {
    const { era, revision } = this.feed;
    this.#contents.set(formatPosition({ era, revision }), this.feed.listTexts().sort());
  }
}

const step = fc.record({
  action: fc.constantFrom(
    ...[Action.Put, Action.Put, Action.Remove, Action.Copy, Action.Restore],
    ...[Action.Read, Action.Read, Action.Deliver, Action.Deliver, Action.Restart],
  ),
  key: fc.constantFrom('a', 'b', 'c'),
  host: fc.nat(HOST_COUNT - 1),
  pick: fc.nat(50),
});

// Guards against a host whose keys are those of no state of the store, whatever was lost or late.
t.test('a host holds just what the store held at its position, and never goes back', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 80 }), async (steps) => {
      const history = new History();
      for (const each of steps) {
        const before = history.hosts.map(({ state }) => state.position);
        if (each.action === Action.Restart) before[each.host] = undefined;
        await history.play(each);
        history.check(before);
      }
    }),
    { seed: SEED, numRuns: 1_000 },
  );
});
