/**
 * The request line's target.
 *
 * @module
 */
import { URLSearchParams } from 'node:url';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';

/** A request's target, taken apart but not normalised. */
export interface RequestTarget {
  /** Path as it came, still percent-encoded. */
  readonly path: string;
  /** Path segments, percent-decoded. */
  readonly segments: readonly string[];
  /** Query as it came, with its `?`; empty when there is none. */
  readonly search: string;
  readonly query: URLSearchParams;
}

const ABSOLUTE_TARGET = /^https?:\/\/[^/?#]*/i;

/**
 * Takes a request's target apart.
 *
 * @param target - as the request line has it, in origin or absolute form
 * @returns its parts
 * @throws SchedulerError of kind MalformedRequest
 */
export function parseRequestTarget(target: string): RequestTarget {
  const origin = target.replace(ABSOLUTE_TARGET, '') || '/';
  if (!origin.startsWith('/')) throw refuseTarget('it does not begin with a slash');
  if (origin.includes('#')) throw refuseTarget('it has a fragment');
  const queryAt = origin.indexOf('?');
  const path = queryAt < 0 ? origin : origin.slice(0, queryAt);
  const search = queryAt < 0 ? '' : origin.slice(queryAt);
  const segments = path.split('/').slice(1).map(decodeSegment);
  // A contract allows a plain service's calls by path prefix. Were "/status/../admin"
  // passed on, the backend server would resolve it to a path that no contract allows.
  const isEscaping = segments.some((segment) => segment.split(/[/\\]/).some(isDotSegment));
  if (isEscaping) throw refuseTarget('its path has "." or ".." segments');
  return { path, segments, search, query: new URLSearchParams(search) };
}

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    throw refuseTarget('its percent-encoding is broken');
  }
}

function isDotSegment(segment: string): boolean {
  return segment === '.' || segment === '..';
}

function refuseTarget(reason: string): SchedulerError {
  return new SchedulerError(ErrorKind.MalformedRequest, {
    message: `Cannot take the request's target: ${reason}`,
  });
}
