/**
 * Look-up of the route, service and client account of a request, and its rank.
 *
 * @module
 */
import type { AllowedRegions } from '../places/mod.js';
import { HostRoutes } from './_host_routes.js';
import type { ClientAccount, Route, RoutingDocument, ServiceInfo } from './types.js';

/** Number of route ranks within one account rank. */
const ROUTE_RANK_COUNT = 1_000;

/** An immutable index of one published configuration. */
export class RouteTable {
  readonly document: RoutingDocument;

  /** By host name. */
  readonly #hosts: ReadonlyMap<string, HostRoutes>;

  readonly #accounts = new Map<string, ClientAccount>();

  readonly #services: ReadonlyMap<string, ServiceInfo>;

  /** @param document - the configuration */
  constructor(document: RoutingDocument) {
    this.document = document;
    this.#hosts = buildHosts(document.routes);
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
   * @param hostName - host name of the request, without a port
   * @param path - path of the request, without its query
   * @returns the route; undefined if none matches
   */
  findRoute(hostName: string, path: string): Route | undefined {
    return this.#hosts.get(hostName)?.find(path);
  }

  /**
   * Finds the regions in which requests for a host name may be handled.
   *
   * @param hostName - host name of the requests
   * @returns the union of its routes' regions; undefined if a route allows all or none exists
   */
  findAllowedRegions(hostName: string): AllowedRegions {
    return this.#hosts.get(hostName)?.regions;
  }

  /** @returns host name and prefix of all routes, each pair once */
  *listPrefixes(): Iterable<readonly [hostName: string, prefix: string]> {
    for (const [hostName, routes] of this.#hosts)
      for (const prefix of routes.listPrefixes()) yield [hostName, prefix];
  }

  /** @param key - the caller's key. @returns the account; undefined for an unknown key */
  findAccount(key: string): ClientAccount | undefined {
    return this.#accounts.get(key);
  }

  /** @param serviceId - ID of the service. @returns the service; undefined if not published */
  findService(serviceId: string): ServiceInfo | undefined {
    return this.#services.get(serviceId);
  }
}

function buildHosts(routes: readonly Route[]): ReadonlyMap<string, HostRoutes> {
  const byHostName = new Map<string, Route[]>();
  routes.forEach((route) => {
    const { hostName } = route;
    const known = byHostName.get(hostName);
    if (known) known.push(route);
    else byHostName.set(hostName, [route]);
  });
  return new Map([...byHostName].map(([hostName, list]) => [hostName, new HostRoutes(list)]));
}

/**
 * Picks one of a route's services at random, by weight.
 *
 * @param route - the route
 * @param fraction - a random number in [0, 1)
 * @returns the service ID; undefined if the route has no services
 */
export function pickService(route: Route, fraction: number): string | undefined {
  const { services } = route;
  if (services.length <= 1) return services[0]?.serviceId;
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = fraction * total;
  const picked = services.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (picked ?? services[services.length - 1])?.serviceId;
}

/**
 * Computes the rank of a request: requests are ordered by the rank of their account
 * first, and by the rank of their route among accounts of the same rank.
 *
 * @param route - the request's route
 * @param account - the request's account; undefined for a request without a key
 * @returns the rank; 0 is the most urgent
 */
export function computeRank(route: Route, account: ClientAccount | undefined): number {
  return (account?.rank ?? 0) * ROUTE_RANK_COUNT + Math.min(route.rank, ROUTE_RANK_COUNT - 1);
}
