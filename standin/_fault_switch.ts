/**
 * Fault injection for stand-in backend servers.
 *
 * @module
 */
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Kinds of fault that can be injected. */
export enum FaultKind {
  None = 'none',
  /** All work takes `factor` times as long. */
  Slow = 'slow',
  /** Connections and bytes are accepted, but nothing is answered and nothing runs. */
  Silent = 'silent',
  /** Each call is refused before its body is read. */
  Refuse = 'refuse',
  /** The connection and the stream break after `factor` bytes of the response. */
  DieMidway = 'die-midway',
  /** `100 Continue` is never sent; a body that arrives without it is run. */
  NoContinue = 'no-continue',
}

/** A fault to inject, as the body of `POST /_standin/faults` gives it. */
export interface FaultOrder {
  readonly kind: FaultKind;
  readonly factor: number;
  /** For `silent`: silences only connections that are already open; new ones work. */
  readonly oldConnectionsOnly: boolean;
}

const NO_FAULT: FaultOrder = { kind: FaultKind.None, factor: 1, oldConnectionsOnly: false };

/**
 * Parses the body of `POST /_standin/faults`.
 *
 * @param text - the body, JSON
 * @returns the fault to inject
 * @throws Error that lists the known kinds if the kind is unknown
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

/** Holds the active fault and tracks which connections are silenced for good. */
export class FaultSwitch {
  #fault: FaultOrder = NO_FAULT;

  readonly #openSockets = new Set<Socket>();

  readonly #silencedSockets = new WeakSet<Socket>();

  /** @param server - the server whose connections are tracked */
  constructor(server: Server) {
    server.on('connection', (socket: Socket) => {
      this.#openSockets.add(socket);
      socket.once('close', () => this.#openSockets.delete(socket));
      if (this.#isSilencingNew()) this.#silencedSockets.add(socket);
    });
  }

  /** Kind of the active fault. */
  get kind(): FaultKind {
    return this.#fault.kind;
  }

  /** Number of bytes after which a response breaks; infinite without such a fault. */
  get bytesBeforeCut(): number {
    return this.#fault.kind === FaultKind.DieMidway ? this.#fault.factor : Infinity;
  }

  /** Factor by which the active fault lengthens all work. */
  get slowdownFactor(): number {
    return this.#fault.kind === FaultKind.Slow ? this.#fault.factor : 1;
  }

  /**
   * Activates a fault in place of the current one. A connection that was silenced stays
   * silent after the fault ends, like one whose state a network device on the path has lost.
   *
   * @param order - the fault
   */
  set(order: FaultOrder): void {
    this.#fault = order;
    if (order.kind === FaultKind.Silent) {
      this.#openSockets.forEach((socket) => this.#silencedSockets.add(socket));
    }
  }

  /** @param socket - a connection. @returns whether nothing may be sent on it */
  isSilenced(socket: Socket | null): boolean {
    return socket !== null && this.#silencedSockets.has(socket);
  }

  #isSilencingNew(): boolean {
    return this.#fault.kind === FaultKind.Silent && !this.#fault.oldConnectionsOnly;
  }
}
