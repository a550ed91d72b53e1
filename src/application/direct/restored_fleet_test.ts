import { deepEqual, ok } from 'node:assert/strict';
import fc from 'fast-check';
import t from 'tap';
import { FollowerHost, startFollowerFleet } from '../../../test/support/follower_fleet.js';
import type { FollowerFleet } from '../../../test/support/follower_fleet.js';
import type { FeedCopy } from '../../../test/support/fake_feed.js';
import { comparePositions } from '../../domain/freshness/mod.js';
import type { StorePosition } from '../../domain/freshness/mod.js';

const SEED = 42;
const HOST_COUNT = 5;

/** Time without faults after which all entry hosts must agree, in milliseconds. */
const CALM_MS = 4_000;

enum Action {
  Put = 'put',
  Remove = 'remove',
  Copy = 'copy',
  Restore = 'restore',
  ToggleStore = 'toggle-store',
  /** Cuts a host from the store, or heals the cut. */
  ToggleStorePath = 'toggle-store-path',
  /** Cuts a host from all others. */
  Isolate = 'isolate',
  Heal = 'heal',
  Restart = 'restart',
  LoseHistory = 'lose-history',
}

interface Step {
  readonly action: Action;
  readonly key: string;
  readonly host: number;
  readonly waitMs: number;
}

/** Plays steps on a fleet of entry hosts and checks that no host goes back. */
class FleetPlay {
  readonly #fleet: FollowerFleet;

  readonly #positions = new Map<FollowerHost, StorePosition>();

  #copy: FeedCopy;

  #count = 0;

  constructor(fleet: FollowerFleet) {
    this.#fleet = fleet;
    this.#copy = fleet.feed.copy();
  }

  async play({ action, key, host: index, waitMs }: Step): Promise<void> {
    const { feed, hub, clock, hosts } = this.#fleet;
    const host = hosts[index] as FollowerHost;
    const { id } = host.network.identity;
    const otherIds = hosts.map(({ network }) => network.identity.id).filter((each) => each !== id);
    this.#count += 1;
    if (action === Action.Put) feed.put(key, `value ${this.#count}`);
    else if (action === Action.Remove) feed.remove(key);
    else if (action === Action.Copy) this.#copy = feed.copy();
    else if (action === Action.Restore) feed.restore(this.#copy);
    else if (action === Action.ToggleStore) feed.isDown = !feed.isDown;
    else if (action === Action.ToggleStorePath) host.storePath.isCut = !host.storePath.isCut;
    else if (action === Action.Isolate) hub.partition([id], otherIds);
    else if (action === Action.Heal) hub.healAll();
    else if (action === Action.LoseHistory) feed.discardHistory();
    else await this.#restart(index);
    await clock.advance(waitMs);
    this.#checkPositions();
  }

  /** Ends all faults, and checks that all hosts hold what the store holds, and know it. */
  async finish(): Promise<void> {
    const { feed, hub, clock, hosts } = this.#fleet;
    feed.isDown = false;
    hub.healAll();
    hosts.forEach(({ storePath }) => Object.assign(storePath, { isCut: false }));
    await clock.advance(CALM_MS);
    this.#checkPositions();
    const expected = feed.listTexts().sort();
    hosts.forEach(({ values, ageMs, network }) => {
      deepEqual([...values].sort(), expected, network.identity.id);
      ok(ageMs <= 2_000, `${network.identity.id} is ${ageMs} ms old`);
    });
  }

  async #restart(index: number): Promise<void> {
    const { feed, hub, clock, hosts } = this.#fleet;
    const former = hosts[index] as FollowerHost;
    const { id } = former.network.identity;
    former.stop();
    await former.network.close();
    const host = new FollowerHost(id, hub, clock, feed, `${id}/${this.#count + 1}`);
    hosts[index] = host;
    host.start();
  }

  #checkPositions(): void {
    this.#fleet.hosts.forEach((host) => {
      const { position } = host.follower;
      const former = this.#positions.get(host);
      if (!position) return;
      ok(!former || comparePositions(position, former) >= 0, 'a host went back');
      this.#positions.set(host, position);
    });
  }
}

const step = fc.record({
  action: fc.constantFrom(
    ...[Action.Put, Action.Put, Action.Remove, Action.Copy, Action.Restore, Action.Restore],
    ...Object.values(Action),
  ),
  key: fc.constantFrom('a', 'b', 'c'),
  host: fc.nat(HOST_COUNT - 1),
  waitMs: fc.constantFrom(0, 0, 20, 300, 1_500),
});

// Guards against hosts that disagree for good after restores that overlap with other faults.
t.test('all hosts hold what the store holds once all faults are over', async (t) => {
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 25 }), async (steps) => {
      const fleet = await startFollowerFleet(t, HOST_COUNT);
      const play = new FleetPlay(fleet);
      for (const each of steps) await play.play(each);
      await play.finish();
      fleet.hosts.forEach((host) => host.stop());
    }),
    { seed: SEED, numRuns: 60 },
  );
});
