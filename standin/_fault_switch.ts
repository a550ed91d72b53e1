/**
 * The faults of a stand-in backend server.
 *
 * @module
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** The faults that can be ordered. */
export enum FaultKind {
  None = 'none',
  /** Everything takes `factor` times as long. */
  Slow = 'slow',
  /** Connections and bytes are taken, nothing is answered, nothing runs. */
  Silent = 'silent',
  /** Each call is refused before its body. */
  Refuse = 'refuse',
  /** The connection and the stream die after `factor` bytes of the answer. */
  DieMidway = 'die-midway',
  /** 100 is never answered; a body that arrives all the same is run. */
  NoContinue = 'no-continue',
}

/** One order to be faulty. */
export interface FaultOrder {
  readonly kind: FaultKind;
  readonly factor: number;
  /** Of `silent`: only connections that are open now go silent, new ones work. */
  readonly oldConnectionsOnly: boolean;
}

const NO_FAULT: FaultOrder = { kind: FaultKind.None, factor: 1, oldConnectionsOnly: false };

/**
 * Parses the body of `POST /_standin/faults`.
 *
 * @param text - JSON
 * @returns the order
 * @throws Error that names the kinds there are
 */
export function parseFaultOrder(text: string): FaultOrder {
  const value = JSON.parse(text) as Partial<FaultOrder>;
  const kind = Object.values(FaultKind).find((each) => each === value.kind);
  if (!kind) {
    const kinds = Object.values(FaultKind).join(', ');
    throw new Error(`Cannot set fault "${String(value.kind)}": it is none of ${kinds}`);
  }
  return {
    kind,
    factor: Number(value.factor ?? 1),
    oldConnectionsOnly: value.oldConnectionsOnly === true,
  };
}

/** Holds the fault in force and knows which connections have gone silent for good. */
export class FaultSwitch {
  #order: FaultOrder = NO_FAULT;

  readonly #open = new Set<Socket>();

  readonly #silenced = new WeakSet<Socket>();

  /** @param server - whose connections to watch */
  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.#open.add(socket);
      socket.once('close', () => this.#open.delete(socket));
      if (this.#isSilencingNew()) this.#silenced.add(socket);
    });
  }

  /** The kind in force. */
  get kind(): FaultKind {
    return this.#order.kind;
  }

  /** Bytes of an answer after which it dies. */
  get bytesBeforeDeath(): number {
    return this.#order.kind === FaultKind.DieMidway ? this.#order.factor : Infinity;
  }

  /** How many times as long everything takes. */
  get slowness(): number {
    return this.#order.kind === FaultKind.Slow ? this.#order.factor : 1;
  }

  /**
   * Puts a fault in force. A connection that a silence has met stays silent
   * after the fault, as one whose path has lost track of it.
   *
   * @param order - the fault
   */
  set(order: FaultOrder): void {
    this.#order = order;
    if (order.kind === FaultKind.Silent) {
      this.#open.forEach((socket) => this.#silenced.add(socket));
    }
  }

  /** @param socket - which connection. @returns whether nothing may be answered on it */
  isSilenced(socket: Socket | null): boolean {
    return socket !== null && this.#silenced.has(socket);
  }

  #isSilencingNew(): boolean {
    return this.#order.kind === FaultKind.Silent && !this.#order.oldConnectionsOnly;
  }
}
