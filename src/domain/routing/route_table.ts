/**
 * Finds the route and the client account of a request.
 *
 * @module
 */
import type { Regions } from '../places/mod.js';
import type { ClientAccount, Route, RoutingDocument, ServiceInfo } from './types.js';

/** Ranks of routes that fit between two ranks of accounts. */
const ROUTE_RANKS = 1_000;

/** One configuration, indexed for look-ups; it never changes. */
export class RouteTable {
  readonly document: RoutingDocument;

  /** Routes by host name, longest prefix first. */
  readonly #routes = new Map<string, Route[]>();

  readonly #accounts = new Map<string, ClientAccount>();

  readonly #services: ReadonlyMap<string, ServiceInfo>;

  /** @param document - the configuration */
  constructor(document: RoutingDocument) {
    this.document = document;
    document.routes.forEach((route) => {
      const routes = this.#routes.get(route.hostName);
      if (routes) routes.push(route);
      else this.#routes.set(route.hostName, [route]);
    });
    this.#routes.forEach((routes) => routes.sort((a, b) => b.prefix.length - a.prefix.length));
    document.accounts.forEach((account) => {
      account.keys.forEach((key) => this.#accounts.set(key, account));
    });
    this.#services = new Map(document.services.map((service) => [service.id, service]));
  }

  /** Version of the configuration. */
  get version(): number {
    return this.document.version;
  }

  /**
   * Finds the route with the longest prefix.
   *
   * @param hostName - host name that the caller asked for, without a port
   * @param path - path of the request, without its query
   * @returns the route; undefined when none matches
   */
  findRoute(hostName: string, path: string): Route | undefined {
    return this.#routes.get(hostName)?.find(({ prefix }) => path.startsWith(prefix));
  }

  /**
   * Finds where calls for a host name may be handled.
   *
   * @param hostName - host name that callers ask for
   * @returns regions that any of its routes allows; undefined where one allows all
   */
  findRegions(hostName: string): Regions {
    const routes = this.#routes.get(hostName) ?? [];
    if (routes.length === 0 || routes.some(({ regions }) => regions === undefined))
      return undefined;
    return [...new Set(routes.flatMap(({ regions = [] }) => regions))];
  }

  /** @param key - the caller's key. @returns whose it is; undefined for an unknown key */
  findAccount(key: string): ClientAccount | undefined {
    return this.#accounts.get(key);
  }

  /** @param serviceId - which service. @returns the service, where it is published */
  findService(serviceId: string): ServiceInfo | undefined {
    return this.#services.get(serviceId);
  }
}

/**
 * Picks one of a route's services by weight.
 *
 * @param route - the route
 * @param fraction - a random number in [0, 1)
 * @returns the service's ID; undefined when the route has none
 */
export function pickService(route: Route, fraction: number): string | undefined {
  const { services } = route;
  if (services.length <= 1) return services[0]?.serviceId;
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let rest = fraction * total;
  const picked = services.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (picked ?? services[services.length - 1])?.serviceId;
}

/**
 * Computes the rank of a request. An account's rank goes before its routes'; among
 * the requests of accounts of the same rank that of their routes decides.
 *
 * @param route - the request's route
 * @param account - whose request it is, where it has an account
 * @returns the rank; 0 is the most urgent
 */
export function computeRank(route: Route, account: ClientAccount | undefined): number {
  return (account?.rank ?? 0) * ROUTE_RANKS + Math.min(route.rank, ROUTE_RANKS - 1);
}
