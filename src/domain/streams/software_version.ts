/**
 * Software versions of backend servers, and the one rule about streams that they follow from.
 *
 * @module
 */

/** Longest name of a version, in characters; a longer text names none. */
const MAX_VERSION_LENGTH = 200;

/** Names the software that a backend server runs. Versions have no order. */
export type SoftwareVersion = string & { readonly brand: 'SoftwareVersion' };

/**
 * Reads the name of a software version.
 *
 * @param text - the name that a server gives; undefined if it gives none
 * @returns the version; undefined if the text names none
 */
export function parseSoftwareVersion(text: string | undefined): SoftwareVersion | undefined {
  const isName = text !== undefined && text.length > 0 && text.length <= MAX_VERSION_LENGTH;
  return isName ? (text as SoftwareVersion) : undefined;
}

/** Where a stream began, which is fixed by its first event that reaches the caller. */
export interface StreamOrigin {
  readonly serviceId: string;
  /** Software that wrote the first event; undefined if its server named none. */
  readonly version: SoftwareVersion | undefined;
}

/**
 * Decides whether a server may continue a stream. Events that two versions write don't fit
 * together, and a server whose version is not known may run any.
 *
 * @param origin - where the stream began; undefined while its caller has no event
 * @param version - software of the server; undefined if it names none
 * @returns whether the server may send the next event
 */
export function mayContinueStream(
  origin: StreamOrigin | undefined,
  version: SoftwareVersion | undefined,
): boolean {
  return origin === undefined || (version !== undefined && version === origin.version);
}
