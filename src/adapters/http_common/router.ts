/**
 * A small router: literal segments, `:name` for one segment, `*` for the rest.
 *
 * @module
 */
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import type { RequestTarget } from './request_target.js';

/** One route of a listener. */
export interface Route<Handler> {
  /** Name in logs and metrics. */
  readonly name: string;
  /** The method it takes; undefined: all. */
  readonly method: string | undefined;
  /** Such as `/v1/requests/:id`. */
  readonly pattern: string;
  readonly handler: Handler;
}

/** A route that fits a request. */
export interface FoundRoute<Handler> {
  readonly route: Route<Handler>;
  /** Values of the pattern's named segments, percent-decoded. */
  readonly params: Readonly<Record<string, string>>;
}

/**
 * Finds the first route that fits.
 *
 * @param routes - the listener's routes, most specific first
 * @param method - the request's method
 * @param target - the request's target
 * @param onOtherMethods - told which methods the path takes, when only the method doesn't fit
 * @returns the route and its parameters
 * @throws SchedulerError of kind NotFound or MethodNotAllowed
 */
export function findRoute<Handler>(
  routes: readonly Route<Handler>[],
  method: string,
  target: RequestTarget,
  onOtherMethods: (allowed: readonly string[]) => void,
): FoundRoute<Handler> {
  const fitting = routes.flatMap((route) => {
    const params = findParams(route.pattern, target.segments);
    return params ? [{ route, params }] : [];
  });
  const found = fitting.find(({ route }) => !route.method || route.method === method);
  if (found) return found;
  if (fitting.length === 0) {
    throw new SchedulerError(ErrorKind.NotFound, { message: 'Cannot find anything at this path' });
  }
  onOtherMethods(fitting.map(({ route }) => route.method ?? method));
  throw new SchedulerError(ErrorKind.MethodNotAllowed, {
    message: `Cannot take the method ${method} at this path`,
  });
}

function findParams(
  pattern: string,
  segments: readonly string[],
): Record<string, string> | undefined {
  const parts = pattern.split('/').slice(1);
  const isOpen = parts.at(-1) === '*';
  const fixed = isOpen ? parts.slice(0, -1) : parts;
  if (segments.length < fixed.length) return undefined;
  if (!isOpen && segments.length > fixed.length) return undefined;
  const isFitting = fixed.every((part, index) => {
    const segment = segments[index] ?? '';
    return part.startsWith(':') ? segment !== '' : part === segment;
  });
  if (!isFitting) return undefined;
  const named = fixed.flatMap((part, index) =>
    part.startsWith(':') ? [[part.slice(1), segments[index] ?? '']] : [],
  );
  return Object.fromEntries(named) as Record<string, string>;
}
