/**
 * Checks the transfer codings of a message (RFC 9112, sections 6 and 7).
 *
 * @module
 */

/** Node reads chunks only if the text ends like this; otherwise it passes their framing on. */
const CHUNKED_LAST_PATTERN = /(?:^|,)\s*chunked\s*$/i;

/** A coding of RFC 2616 that changes nothing. */
const IDENTITY_CODING = 'identity';

/**
 * @param coding - value of the `Transfer-Encoding` header
 * @returns whether the end of the body is its last chunk
 */
export function isChunkedLast(coding: string): boolean {
  return CHUNKED_LAST_PATTERN.test(coding);
}

/**
 * @param coding - value of the `Transfer-Encoding` header; undefined without one
 * @returns whether Node decodes all codings, so that the message may be passed on without them
 */
export function isDecoded(coding: string | undefined): boolean {
  const codings = (coding ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase())
    .filter((name) => name !== '' && name !== IDENTITY_CODING);
  if (codings.length === 0) return true;
  return codings.length === 1 && isChunkedLast(coding ?? '');
}
