import t from 'tap';
import { buildDocument } from '../../../test/support/direct_host.js';
import type { DirectHost } from '../../../test/support/direct_host.js';
import { SeededRandom } from '../../../test/support/fakes.js';
import {
  isStandingStill,
  OutOfStep,
  OutOfStepFleet,
} from '../../../test/support/out_of_step_fleet.js';
import { STREAM_ROUTE, StreamState } from '../../../test/support/stream_fleet.js';
import type { StreamCaller } from '../../../test/support/stream_fleet.js';

const STEP_MS = 50;
const MIN_OUT_STEPS = 30;
const MAX_OUT_STEPS = 70;
const NEW_SERVERS = ['s-7', 's-8', 's-9'];
const MAX_TRIES = 8;

/** How servers of the new version come. */
enum Release {
  Joins = 'servers join',
  JoinsAndLeaves = 'servers join and leave again',
  Replaces = 'servers replace the former ones',
  MovesRoute = 'servers of another service get the route',
}

/** Plays a release beside one host that is out of step. */
class ReleasePlay {
  readonly host: DirectHost;

  readonly others: readonly DirectHost[];

  /** Number of tries at the host that was out of step which took a stream up. */
  takeUpCount = 0;

  readonly #fleet: OutOfStepFleet;

  readonly #random: SeededRandom;

  constructor(fleet: OutOfStepFleet, seed: number) {
    this.#fleet = fleet;
    this.#random = new SeededRandom(seed);
    this.host = this.#pick(fleet.hosts);
    this.others = fleet.hosts.filter((host) => host !== this.host);
  }

  async play(way: OutOfStep, release: Release): Promise<void> {
    const steps = Math.round(this.#pickBetween(MIN_OUT_STEPS, MAX_OUT_STEPS));
    const joinSteps = NEW_SERVERS.map(() => Math.round(this.#pickBetween(0, steps * 0.6)));
    const killStep = Math.round(this.#pickBetween(steps * 0.5, steps));
    const leaveStep = Math.round(this.#pickBetween(steps * 0.6, steps));
    const bringBack = this.#fleet.putOutOfStep(this.host, way);
    for (let step = 0; step < steps; step += 1) {
      joinSteps.forEach((at, index) => at === step && this.#join(index, release));
      if (step === killStep) await this.#fleet.kill(this.#pick(this.others));
      if (step === leaveStep) this.#leave(release);
      await this.#advance(isStandingStill(way));
    }
    bringBack();
    for (let step = 0; step < MIN_OUT_STEPS; step += 1) await this.#advance(false);
  }

  #join(index: number, release: Release): void {
    const id = NEW_SERVERS[index] as string;
    const fleet = this.#fleet;
    if (release !== Release.MovesRoute) {
      fleet.startServer(id, 'v2');
      if (release === Release.Replaces) fleet.endServer(`s-${index + 1}`);
      return;
    }
    fleet.startServer(id, 'v2', []);
    fleet.writeEntry(id, fleet.hosts, { serviceId: 'new-engines' });
    const route = { ...STREAM_ROUTE, services: [{ serviceId: 'new-engines', weight: 1 }] };
    const document = buildDocument(index + 2, { route });
    fleet.hosts.forEach(({ feed }) => feed.put('configuration', document));
  }

  #leave(release: Release): void {
    if (release === Release.JoinsAndLeaves) NEW_SERVERS.forEach((id) => this.#fleet.endServer(id));
    else this.#fleet.breakStreams(this.#pick(NEW_SERVERS));
  }

  async #advance(isStanding: boolean): Promise<void> {
    const others = this.others.filter((host) => this.#fleet.hosts.includes(host));
    this.#fleet.createCaller().send(this.#pick(others));
    if (this.#random.nextFraction() < 0.3) this.#breakOne();
    await this.#fleet.clock.advance(STEP_MS);
    [...this.#fleet.callers].forEach((caller) => this.#resume(caller, others, isStanding));
  }

  /** A caller loses its connection, or one server all of its streams. */
  #breakOne(): void {
    const open = [...this.#fleet.callers].filter(({ state }) => state === StreamState.Open);
    const caller = open.at(-1 - Math.floor(this.#random.nextFraction() * Math.min(5, open.length)));
    if (caller && caller.last.host !== this.host) Object.assign(caller, { isCutOff: true });
  }

  #resume(caller: StreamCaller, others: readonly DirectHost[], isStanding: boolean): void {
    const isDue = [StreamState.Broken, StreamState.Refused].includes(caller.state);
    if (!isDue || caller.tries.length >= MAX_TRIES) return;
    const isHere = this.#random.nextFraction() < 0.7;
    if (!isHere) caller.send(this.#pick(others));
    else {
      // A caller that waits for a host that stands still sends nothing meanwhile.
      if (isStanding) this.#fleet.callers.delete(caller);
      if (caller.versions.length > 0) this.takeUpCount += 1;
      this.#fleet.sendTo(this.host, caller, isStanding);
    }
  }

  #pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.#random.nextFraction() * items.length)] as T;
  }

  #pickBetween(min: number, max: number): number {
    return min + this.#random.nextFraction() * (max - min);
  }
}

/** Plays one release. @returns streams of two versions, take-ups, and whether one goes on in the end */
async function playRelease(
  hosts: number,
  way: OutOfStep,
  release: Release,
  seed: number,
): Promise<{ mixed: string[]; takeUpCount: number; end: StreamState }> {
  const pickVersion = (): string => 'v1';
  const fleet = new OutOfStepFleet(t, {
    hosts,
    servers: 6,
    slots: 100,
    pickVersion,
    seed,
    keepsHistory: true,
  });
  await fleet.start();
  const play = new ReleasePlay(fleet, seed);
  await play.play(way, release);
  await fleet.clock.advance(2_000);
  const other = fleet.pickHost(play.host);
  const last = await fleet.beginStream(other, 3);
  await fleet.takeUp(last, play.host);
  fleet.hosts.forEach((host) => host.stop());
  const mixed = [...fleet.callers]
    .filter(({ isMixed }) => isMixed)
    .map(({ versions, tries }) => `${versions.join()} over ${tries.length} tries`);
  return { mixed, takeUpCount: play.takeUpCount, end: last.state };
}

[
  { hosts: 4, seed: 1, releases: Object.values(Release) },
  { hosts: 13, seed: 3, releases: [Release.Joins] },
].forEach(({ hosts, seed, releases }) => {
  const plays = Object.values(OutOfStep).flatMap((way) =>
    releases.map((release) => ({ way, release })),
  );
  plays.forEach(({ way, release }) => {
    /** Guards against streams of new servers that go on elsewhere at a host out of step. */
    t.test(`${release} beside a host of ${hosts} ${way}`, async (t) => {
      const { mixed, takeUpCount, end } = await playRelease(hosts, way, release, seed);
      t.same(mixed, []);
      t.ok(takeUpCount > 0);
      t.equal(end, StreamState.Whole);
    });
  });
});
