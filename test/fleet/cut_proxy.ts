/**
 * A TCP proxy that injects network faults: it cuts, silences or delays connections.
 *
 * @module
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { ConnectionPorts } from './_socket_owner.js';

/** Network faults that the proxy can inject. */
export enum LinkFault {
  None = 'none',
  /** Bytes are read and dropped on old and new connections; no connection closes. */
  Silent = 'silent',
  /** Connections that are open when the fault begins are silenced for good; new ones work. */
  SilentOld = 'silent-old',
  /** New connections are closed at once; old ones keep working. */
  RefuseNew = 'refuse-new',
  /** Bytes reach the server but none come back, on old and new connections. */
  HalfOpen = 'half-open',
  /** Old connections are destroyed, and new ones are closed at once. */
  Cut = 'cut',
  /** Nothing passes during the fault, and everything arrives after it, as in a partition. */
  Held = 'held',
}

/** Directions in which bytes of one connection are dropped. */
interface DroppedDirections {
  toServer: boolean;
  toClient: boolean;
}

/** One proxied connection. */
interface ProxiedLink {
  /** ID of the client that opened the connection; empty if it is unknown. */
  readonly source: string;
  readonly client: Socket;
  readonly server: Socket;
  readonly dropping: DroppedDirections;
}

/** Address to which the proxy forwards connections. */
export interface ProxyTarget {
  readonly host: string;
  readonly port: number;
}

/** Proxies connections to one server. A connection that has lost bytes stays broken. */
export class CutProxy {
  readonly #server: Server;

  readonly #links = new Set<ProxiedLink>();

  /** Clients whose new connections wait for the end of {@link LinkFault.Held}, with their sources. */
  readonly #heldClients = new Map<Socket, string>();

  #fault = LinkFault.None;

  #faultSources: ReadonlySet<string> | undefined;

  /**
   * @param target - address to which connections are forwarded
   * @param findSource - returns the ID of the client that opened a connection, by the ports of
   *   the connection; by default the source is unknown (empty)
   */
  constructor(
    readonly target: ProxyTarget,
    readonly findSource: (ports: ConnectionPorts) => Promise<string> = async () => '',
  ) {
    this.#server = createServer({ pauseOnConnect: true, allowHalfOpen: true }, (client) => {
      client.on('error', () => undefined);
      this.#acceptFromSource(client).catch(() => client.destroy());
    });
  }

  /**
   * Starts listening on 127.0.0.1.
   *
   * @param port - port to listen on; 0 picks a free port
   * @returns the port
   */
  async open(port = 0): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', resolve);
    });
    return this.port;
  }

  /** Port on which the proxy listens. */
  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** HTTP base URL of the target through the proxy. */
  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  /** Number of open proxied connections. */
  get linkCount(): number {
    return this.#links.size;
  }

  /**
   * Injects a fault in place of the current one, or ends it.
   *
   * @param fault - the new fault
   * @param sources - IDs of the clients whose connections are affected; by default all are
   */
  setFault(fault: LinkFault, sources?: ReadonlySet<string>): void {
    const previous = [...this.#links].map((link) => ({ link, fault: this.#getFault(link.source) }));
    this.#fault = fault;
    this.#faultSources = sources;
    previous.forEach((each) =>
      this.#applyFault(each.link, this.#getFault(each.link.source), each.fault),
    );
    this.#releaseHeldClients();
  }

  /** Closes every connection and stops listening. */
  async close(): Promise<void> {
    [...this.#heldClients.keys()].forEach((client) => client.destroy());
    this.#links.forEach((link) => this.#destroyLink(link));
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
  }

  #getFault(source: string): LinkFault {
    const isAffected = this.#faultSources?.has(source) ?? true;
    return isAffected ? this.#fault : LinkFault.None;
  }

  async #acceptFromSource(client: Socket): Promise<void> {
    const source = await this.findSource({
      local: client.remotePort ?? 0,
      remote: client.localPort ?? 0,
    });
    if (!client.destroyed) this.#accept(client, source);
  }

  #accept(client: Socket, source: string): void {
    const fault = this.#getFault(source);
    if (fault === LinkFault.RefuseNew || fault === LinkFault.Cut) client.destroy();
    else if (fault === LinkFault.Held) {
      this.#heldClients.set(client, source);
      client.once('close', () => this.#heldClients.delete(client));
    } else this.#openLink(client, source);
  }

  #releaseHeldClients(): void {
    const clients = [...this.#heldClients];
    this.#heldClients.clear();
    clients
      .filter(([client]) => !client.destroyed)
      .forEach(([client, source]) => this.#accept(client, source));
  }

  #openLink(client: Socket, source: string): void {
    const server = connect({ ...this.target, allowHalfOpen: true });
    const link = { source, client, server, dropping: { toServer: false, toClient: false } };
    this.#links.add(link);
    this.#forward(link, client, server);
    this.#forward(link, server, client);
    [client, server].forEach((socket) => {
      socket.on('error', () => undefined);
      socket.once('close', (hadError: boolean) => this.#handleSocketClose(link, hadError));
    });
    const fault = this.#getFault(source);
    if (fault === LinkFault.Silent) this.#startDropping(link, true);
    if (fault === LinkFault.HalfOpen) this.#startDropping(link, false);
    client.resume();
  }

  /** Forwards bytes in one direction, with backpressure from the receiving end. */
  #forward(link: ProxiedLink, from: Socket, to: Socket): void {
    const isDropping = (): boolean =>
      to === link.server ? link.dropping.toServer : link.dropping.toClient;
    from.on('data', (bytes) => {
      if (isDropping() || to.destroyed) return;
      if (to.write(bytes)) return;
      from.pause();
      to.once('drain', () => {
        if (this.#getFault(link.source) !== LinkFault.Held) from.resume();
      });
    });
    from.on('end', () => {
      if (!isDropping()) to.end();
    });
  }

  #applyFault(link: ProxiedLink, fault: LinkFault, previous: LinkFault): void {
    if (fault === LinkFault.Silent || fault === LinkFault.SilentOld)
      this.#startDropping(link, true);
    if (fault === LinkFault.HalfOpen) this.#startDropping(link, false);
    if (fault === LinkFault.Cut) this.#destroyLink(link);
    if (fault === LinkFault.Held) [link.client, link.server].forEach((socket) => socket.pause());
    else if (previous === LinkFault.Held) {
      [link.client, link.server].forEach((socket) => socket.resume());
    }
  }

  #startDropping({ dropping }: ProxiedLink, toServer: boolean): void {
    Object.assign(dropping, { toClient: true, toServer: dropping.toServer || toServer });
  }

  /**
   * Handles the close of one end of a connection. While the connection is silent, the client
   * is not told that the server closed its end.
   */
  #handleSocketClose(link: ProxiedLink, hadError: boolean): void {
    const isSilent = link.dropping.toServer || link.dropping.toClient;
    if (isSilent && !link.client.destroyed) return;
    if (hadError || isSilent) this.#destroyLink(link);
    else {
      this.#links.delete(link);
      link.client.destroySoon();
      link.server.destroySoon();
    }
  }

  #destroyLink(link: ProxiedLink): void {
    this.#links.delete(link);
    link.client.destroy();
    link.server.destroy();
  }
}
