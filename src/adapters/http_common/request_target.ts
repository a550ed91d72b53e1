/**
 * Parses the target of the request line.
 *
 * @module
 */
import { URLSearchParams } from 'node:url';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';

/** Parts of a request target, which is not normalized. */
export interface RequestTarget {
  /** Path as received, still percent-encoded. */
  readonly path: string;
  /** Path segments, percent-decoded. */
  readonly segments: readonly string[];
  /** Query as received, with its `?`; empty when there is none. */
  readonly search: string;
  readonly query: URLSearchParams;
}

const ABSOLUTE_TARGET = /^https?:\/\/[^/?#]*/i;

/**
 * Splits a request target into its parts.
 *
 * @param target - target of the request line, in origin or absolute form
 * @returns its parts
 * @throws SchedulerError of kind MalformedRequest
 */
export function parseRequestTarget(target: string): RequestTarget {
  const origin = target.replace(ABSOLUTE_TARGET, '') || '/';
  if (!origin.startsWith('/')) throw createTargetError('it does not start with a slash');
  if (origin.includes('#')) throw createTargetError('it has a fragment');
  const queryIndex = origin.indexOf('?');
  const path = queryIndex < 0 ? origin : origin.slice(0, queryIndex);
  const search = queryIndex < 0 ? '' : origin.slice(queryIndex);
  const segments = path.split('/').slice(1).map(decodeSegment);
  // Contracts allow calls to a service by path prefix. A backend server would resolve a
  // forwarded "/status/../admin" to a path that no contract allows.
  const hasDotSegment = segments.some((segment) => segment.split(/[/\\]/).some(isDotSegment));
  if (hasDotSegment) throw createTargetError('its path has "." or ".." segments');
  return { path, segments, search, query: new URLSearchParams(search) };
}

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    throw createTargetError('its percent-encoding is invalid');
  }
}

function isDotSegment(segment: string): boolean {
  return segment === '.' || segment === '..';
}

function createTargetError(reason: string): SchedulerError {
  return new SchedulerError(ErrorKind.MalformedRequest, {
    message: `Cannot accept the request target: ${reason}`,
  });
}
