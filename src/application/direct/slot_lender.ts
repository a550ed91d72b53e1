/**
 * Lends free slots of servers that bear few refusals to entry hosts where calls wait for one.
 *
 * @module
 */
import type { Candidate } from '../../domain/backend_servers/mod.js';
import { computeElapsedMs } from '../../domain/freshness/mod.js';
import { countUsedSlots, LINGER_MS } from '../../domain/places/mod.js';
import type { EndedLoan } from '../../domain/places/mod.js';
import type {
  Clock,
  FreedSlotMessage,
  LentSlot,
  Metrics,
  PeerNetwork,
  RandomSource,
  ReturnedSlot,
  Timer,
} from '../../ports/mod.js';
import { PeerMessageType } from '../../ports/mod.js';
import type { ReportTimes } from './freed_slot_forwarder.js';
import type { RoutingView } from './routing_view.js';
import type { ServerRegistry } from './server_registry.js';

/** Interval between checks for calls that wait at peers and for unused loans, in milliseconds. */
const CHECK_INTERVAL_MS = 25;

/** Time from the offer of a slot in which a request may be started on it, in milliseconds. */
const START_WINDOW_MS = 1_000;

/**
 * Time since the last report of a peer for which slots are lent to it, in milliseconds. A slot
 * that is lent over a link which loses messages is out of use for seconds.
 */
const MAX_SILENCE_MS = 300;

/** Maximum number of times that a slot is sent on: to a relay, another relay and a member. */
const MAX_HOPS = 3;

/** Maximum number of slots of one server that a host considers in one check. */
const MAX_LENDABLE_SLOTS = 1_024;

/** Slots that all hosts together offer in one check for each call that waits. */
const OFFERS_PER_CALL = 2;

/** Dependencies of {@link SlotLender}. */
export interface SlotLenderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly peers: PeerNetwork;
  readonly servers: ServerRegistry;
  readonly routing: RoutingView;
  readonly metrics: Metrics;
  readonly reportTimes: ReportTimes;
  /**
   * @param serviceId - ID of the service
   * @returns urgency of the first call that waits at this entry host; Infinity when none waits
   */
  readonly getFirstUrgency: (serviceId: string) => number;
  /** @param serviceId - ID of the service whose free slots are given to calls waiting here */
  readonly dispatchWaiting: (serviceId: string) => void;
}

/** When a peer's newest report arrived. */
interface HeardReport {
  readonly sequence: number;
  readonly atMs: number;
}

/** Whom a slot came from. */
interface LoanSource {
  readonly from: string;
  /** Number of the loan in the process that it came from. */
  readonly loanId: number;
  readonly serverId: string;
  /** When nobody asks for the loan any more, in monotonic milliseconds. */
  readonly untilMs: number;
}

/**
 * Each slot of such a server belongs to one entry host, and with fewer slots than hosts, or just
 * after a start, some hosts own none: their calls would wait in vain beside slots that are free.
 *
 * The owner leaves a lent slot unused until it is returned. A message that is lost, or a borrower
 * that is killed or cut off, costs the owner the slot until no request under the loan can be
 * running any more, but never gives one slot to two hosts.
 */
export class SlotLender {
  readonly #options: SlotLenderOptions;

  /** Loans that came from peers, used here or passed on, by their number here. */
  readonly #sources = new Map<number, LoanSource>();

  /** By incarnation. */
  readonly #heard = new Map<string, HeardReport>();

  #lastLoanId = 0;

  #timer: Timer | undefined;

  /** @param options - dependencies */
  constructor(options: SlotLenderOptions) {
    this.#options = options;
    options.servers.notices.refusalLimits.onBegin(() => this.#schedule());
    options.peers.onLinkChange(({ peer, up }) => {
      if (!up) this.#heard.delete(peer.incarnation);
    });
  }

  /** @param serverId - incarnation ID of the backend server where an own request ended */
  handleFreed(serverId: string): void {
    const serviceId = this.#options.servers.findEntry(serverId)?.serviceId;
    if (serviceId !== undefined && this.#sources.size > 0) this.#returnUnused(serverId);
  }

  /** @param from - incarnation of a peer. @param message - a slot that it lends or returns */
  handle(from: string, { serverId, hops, lent, returned }: FreedSlotMessage): void {
    if (returned) this.#handleReturn(serverId, returned);
    else if (lent) this.#handleLoan({ from, serverId, hops, lent });
  }

  /**
   * Lends free slots, as many as all hosts together should offer to the calls that wait.
   *
   * @param serviceId - service of the slots; nothing is done if its servers bear any refusals
   */
  offer(serviceId: string): void {
    const { random, servers, getFirstUrgency } = this.#options;
    const waitingCalls = servers.countWaitingAtPeers(serviceId);
    if (waitingCalls === 0 || !servers.notices.refusalLimits.find(serviceId)) return;
    const candidates = servers.listCandidates(serviceId);
    const freeSlots = candidates.reduce(
      (sum, { load }) => sum + Math.max(0, countUsedSlots(load.slots) - load.inFlight),
      0,
    );
    const lendable = candidates.flatMap((candidate) => this.#listLendable(candidate));
    const fraction = Math.min(1, (OFFERS_PER_CALL * waitingCalls) / Math.max(1, freeSlots));
    lendable
      .filter(() => random.nextFraction() < fraction)
      .forEach((serverId) => {
        const first = servers.peers.findFirstWaiting(serviceId);
        if (!first || first.urgency >= getFirstUrgency(serviceId)) return;
        this.#lend(first.source, serverId);
      });
  }

  #handleLoan(offer: { from: string; serverId: string; hops: number; lent: LentSlot }): void {
    const { clock, servers, getFirstUrgency, dispatchWaiting } = this.#options;
    const { from, serverId, hops, lent } = offer;
    const serviceId = servers.findEntry(serverId)?.serviceId;
    const ageMs = this.#computeAgeMs(lent);
    if (serviceId === undefined || ageMs >= START_WINDOW_MS) {
      this.#sendReturn(from, serverId, { loanId: lent.loanId, wasDeclined: false });
      return;
    }
    const untilMs = clock.nowMs() + this.#computeLongestLoanMs();
    const loanId = this.#takeLoanId();
    this.#sources.set(loanId, { from, loanId: lent.loanId, serverId, untilMs });
    this.#schedule();
    const first = hops < MAX_HOPS ? servers.peers.findFirstWaiting(serviceId, from) : undefined;
    const isPassed =
      first !== undefined &&
      first.urgency < getFirstUrgency(serviceId) &&
      this.#send(first.source, { serverId, hops: hops + 1 }, { loanId, ageMs });
    if (isPassed) return;
    const slots = servers.loads.find(serverId)?.pace.slots;
    slots?.loans.borrow({ id: loanId, startUntilMs: clock.nowMs() + START_WINDOW_MS - ageMs });
    dispatchWaiting(serviceId);
    this.#returnUnused(serverId);
  }

  #handleReturn(serverId: string, returned: ReturnedSlot): void {
    const { clock, servers, dispatchWaiting } = this.#options;
    const source = this.#sources.get(returned.loanId);
    if (source) {
      this.#sources.delete(returned.loanId);
      this.#sendReturn(source.from, serverId, { ...returned, loanId: source.loanId });
      return;
    }
    const slots = servers.loads.find(serverId)?.pace.slots;
    if (!slots?.loans.takeBack(returned.loanId)) return;
    if (returned.wasDeclined) slots.recordDeclined(clock.nowMs());
    const serviceId = servers.findEntry(serverId)?.serviceId;
    if (serviceId !== undefined) dispatchWaiting(serviceId);
  }

  #schedule(): void {
    const { clock } = this.#options;
    this.#timer ??= clock.setTimer(CHECK_INTERVAL_MS, () => {
      this.#timer = undefined;
      this.#tick();
    });
  }

  #tick(): void {
    const { clock, servers } = this.#options;
    const nowMs = clock.nowMs();
    new Set([...this.#sources.values()].map(({ serverId }) => serverId)).forEach((serverId) =>
      this.#returnUnused(serverId),
    );
    this.#sources.forEach(({ untilMs }, id) => {
      if (untilMs <= nowMs) this.#sources.delete(id);
    });
    const limited = servers.notices.refusalLimits.listLimitedServices();
    limited.forEach((serviceId) => this.offer(serviceId));
    if (limited.length > 0 || this.#sources.size > 0) this.#schedule();
  }

  /** Lists a server once for each slot that may be lent. */
  #listLendable({ id, load }: Candidate): readonly string[] {
    const { clock, servers } = this.#options;
    const nowMs = clock.nowMs();
    const { pace, ownInFlight } = load;
    if (!servers.isUsable(id) || load.mustAvoid(nowMs) || pace.pause.isActive(nowMs)) return [];
    const lendable = Math.min(pace.slots.countLendable(nowMs, ownInFlight), load.freeSlots);
    // A server may claim more slots than a list can hold.
    const length = Math.max(0, Math.min(lendable, MAX_LENDABLE_SLOTS));
    return Array.from({ length }, () => id);
  }

  #lend(to: string, serverId: string): void {
    const { clock, servers } = this.#options;
    const loanId = this.#takeLoanId();
    if (!this.#send(to, { serverId, hops: 1 }, { loanId, ageMs: 0 })) return;
    const untilMs = clock.nowMs() + this.#computeLongestLoanMs();
    servers.loads.find(serverId)?.pace.slots.loans.lend(loanId, untilMs);
  }

  #takeLoanId(): number {
    this.#lastLoanId += 1;
    return this.#lastLoanId;
  }

  #send(
    to: string,
    slot: Pick<FreedSlotMessage, 'hops' | 'serverId'>,
    loan: Omit<LentSlot, 'heardSequence'>,
  ): boolean {
    const { peers, reportTimes, servers, metrics } = this.#options;
    const heardSequence = reportTimes.findHeardSequence(to);
    if (this.#isSilent(to, heardSequence)) return false;
    const lent = { ...loan, heardSequence };
    if (!peers.send(to, { type: PeerMessageType.FreedSlot, ...slot, lent })) return false;
    const serviceId = servers.findEntry(slot.serverId)?.serviceId;
    if (serviceId !== undefined) servers.peers.recordCallServed(to, serviceId);
    metrics.count('slot_loans_total', { event: slot.hops === 1 ? 'lent' : 'passed' });
    return true;
  }

  #isSilent(peer: string, sequence: number): boolean {
    const nowMs = this.#options.clock.nowMs();
    const heard = this.#heard.get(peer);
    if (heard?.sequence === sequence) return nowMs - heard.atMs > MAX_SILENCE_MS;
    this.#heard.set(peer, { sequence, atMs: nowMs });
    return false;
  }

  /** Returns borrowed slots of a server that no call here uses. */
  #returnUnused(serverId: string): void {
    const { clock, servers, getFirstUrgency } = this.#options;
    const load = servers.loads.find(serverId);
    const serviceId = servers.findEntry(serverId)?.serviceId;
    if (!load) return;
    const isNeeded = serviceId !== undefined && getFirstUrgency(serviceId) < Infinity;
    load.pace.slots
      .takeUnusedLoans(clock.nowMs(), load.ownInFlight, isNeeded)
      .forEach((loan) => this.#return(serverId, loan));
  }

  #return(serverId: string, { id, wasDeclined }: EndedLoan): void {
    const source = this.#sources.get(id);
    this.#sources.delete(id);
    if (source) this.#sendReturn(source.from, serverId, { loanId: source.loanId, wasDeclined });
  }

  #sendReturn(to: string, serverId: string, returned: ReturnedSlot): void {
    const { peers, metrics } = this.#options;
    peers.send(to, { type: PeerMessageType.FreedSlot, serverId, hops: 0, returned });
    metrics.count('slot_loans_total', { event: 'returned' });
  }

  /** Computes the longest time that may have passed since the owner lent a slot. */
  #computeAgeMs({ heardSequence, ageMs }: LentSlot): number {
    const { clock, reportTimes } = this.#options;
    const sentAt = reportTimes.findSentAt(heardSequence);
    const now = { steadyMs: clock.nowMs(), wallMs: clock.wallMs() };
    return sentAt ? ageMs + computeElapsedMs(sentAt, now) : Infinity;
  }

  /**
   * Computes the time after which no request under a new loan can be running any more. A call that
   * arrived by a former configuration may have more time than calls have now.
   */
  #computeLongestLoanMs(): number {
    return START_WINDOW_MS + this.#options.routing.longestTimeoutMs + LINGER_MS;
  }
}
