/**
 * Routes of one host name, by their prefixes.
 *
 * @module
 */
import type { AllowedRegions } from '../places/mod.js';
import type { Route } from './types.js';

/** Finds routes of one host name; the work doesn't grow with their number. */
export class HostRoutes {
  /** The first route of each prefix; calls don't reach others of the same prefix. */
  readonly #byPrefix = new Map<string, Route>();

  /** Lengths of the prefixes, the longest first. */
  readonly #prefixLengths: readonly number[];

  readonly #regions: AllowedRegions;

  /** @param routes - all routes of the host name, in the order of their configuration */
  constructor(routes: readonly Route[]) {
    const lengths = new Set<number>();
    routes.forEach((route) => {
      const { prefix } = route;
      if (!this.#byPrefix.has(prefix)) this.#byPrefix.set(prefix, route);
      lengths.add(prefix.length);
    });
    this.#prefixLengths = [...lengths].sort((a, b) => b - a);
    this.#regions = routes.some(({ regions }) => regions === undefined)
      ? undefined
      : [...new Set(routes.flatMap(({ regions = [] }) => regions))];
  }

  /** Union of the regions of all routes; undefined if one of them allows all. */
  get regions(): AllowedRegions {
    return this.#regions;
  }

  /** @param path - path of a request. @returns the route with the longest prefix of it */
  find(path: string): Route | undefined {
    for (const length of this.#prefixLengths) {
      const route = length <= path.length && this.#byPrefix.get(path.slice(0, length));
      if (route) return route;
    }
    return undefined;
  }

  /** @returns prefixes of the routes, each of them once */
  listPrefixes(): Iterable<string> {
    return this.#byPrefix.keys();
  }
}
