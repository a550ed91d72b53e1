/**
 * A small router. Patterns have literal segments, `:name` for one segment and `*` for the rest.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { RequestTarget } from './request_target.js';

/** One route of a listener. */
export interface Route<Handler> {
  /** Name of the route in logs and metrics. */
  readonly name: string;
  /** HTTP method that the route accepts; undefined accepts all. */
  readonly method: string | undefined;
  /** Pattern of the path, such as `/v1/requests/:id`. */
  readonly pattern: string;
  readonly handler: Handler;
}

/** A route that matches a request. */
export interface RouteMatch<Handler> {
  readonly route: Route<Handler>;
  /** Values of the pattern's named segments, percent-decoded. */
  readonly params: Readonly<Record<string, string>>;
}

/**
 * Finds the first route that matches a request.
 *
 * @param routes - the listener's routes, most specific first
 * @param method - the request's method
 * @param target - the request's target
 * @param onMethodMismatch - receives the methods that the path accepts, when only the method
 *   does not match
 * @returns the route and its parameters
 * @throws SchedulerError of kind NotFound or MethodNotAllowed
 */
export function findRoute<Handler>(
  routes: readonly Route<Handler>[],
  method: string,
  target: RequestTarget,
  onMethodMismatch: (allowed: readonly string[]) => void,
): RouteMatch<Handler> {
  const matches = routes.flatMap((route) => {
    const params = matchPattern(route.pattern, target.segments);
    return params ? [{ route, params }] : [];
  });
  const match = matches.find(({ route }) => !route.method || route.method === method);
  if (match) return match;
  if (matches.length === 0) {
    throw new SchedulerError(ErrorKind.NotFound, {
      message: 'Cannot find a resource at this path',
    });
  }
  onMethodMismatch(matches.map(({ route }) => route.method ?? method));
  throw new SchedulerError(ErrorKind.MethodNotAllowed, {
    message: `Cannot accept the method ${method} at this path`,
  });
}

function matchPattern(
  pattern: string,
  segments: readonly string[],
): Record<string, string> | undefined {
  const parts = pattern.split('/').slice(1);
  const hasWildcard = parts.at(-1) === '*';
  const fixedParts = hasWildcard ? parts.slice(0, -1) : parts;
  if (segments.length < fixedParts.length) return undefined;
  if (!hasWildcard && segments.length > fixedParts.length) return undefined;
  const isMatch = fixedParts.every((part, index) => {
    const segment = segments[index] ?? '';
    return part.startsWith(':') ? segment !== '' : part === segment;
  });
  if (!isMatch) return undefined;
  const entries = fixedParts.flatMap((part, index) =>
    part.startsWith(':') ? [[part.slice(1), segments[index] ?? '']] : [],
  );
  return Object.fromEntries(entries) as Record<string, string>;
}
