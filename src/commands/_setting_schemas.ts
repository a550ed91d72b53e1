/**
 * Provides schemas for single settings. Each schema parses the text of a flag or environment
 * variable into a typed value.
 *
 * @module
 */
import { accessSync, constants, readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import path from 'node:path';
import * as z from 'zod';

const MAX_PORT = 65_535;
const MAX_SHOWN_VALUE_LENGTH = 80;

/** Address that a listener binds to. */
export interface ListenAddress {
  /** IP address, without brackets. */
  readonly host: string;
  /** TCP port; 0 lets the operating system choose. */
  readonly port: number;
}

/**
 * Quotes a value for a fault message, so that line breaks in the value can't split the message.
 *
 * @param value - text as it was given
 * @returns the value as a JSON string, truncated if it is long
 */
export function quoteValue(value: string): string {
  const shown =
    value.length > MAX_SHOWN_VALUE_LENGTH ? `${value.slice(0, MAX_SHOWN_VALUE_LENGTH)}…` : value;
  return JSON.stringify(shown);
}

/** Creates a schema from a parser that returns undefined for invalid text. */
function createSchema<T>(expected: string, parse: (text: string) => T | undefined) {
  return z.string().transform((text, context): T => {
    const value = parse(text);
    if (value !== undefined) return value;
    context.addIssue({ code: 'custom', message: `expected ${expected}, got ${quoteValue(text)}` });
    return z.NEVER;
  });
}

function parseAddress(text: string): ListenAddress | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([^:\s]+)):(\d{1,5})$/.exec(text);
  if (!match) return undefined;
  const host = match[1] ?? match[2] ?? '';
  const port = Number(match[3]);
  if (isIP(host) !== (match[1] === undefined ? 4 : 6) || port > MAX_PORT) return undefined;
  return { host, port };
}

/** Creates the schema of a listener's address: an IP address and a port. */
export function createAddressSchema() {
  return createSchema('an IP number and a port such as 127.0.0.1:8080', parseAddress);
}

function parseUrl(text: string, protocols: readonly string[]): string | undefined {
  if (!URL.canParse(text)) return undefined;
  const url = new URL(text);
  if (!protocols.includes(url.protocol) || url.hostname === '') return undefined;
  if (url.username !== '' || url.password !== '' || url.search !== '' || url.hash !== '')
    return undefined;
  return url.href.replace(/\/$/, '');
}

/**
 * Creates the schema of a base URL without credentials, query or fragment. The parsed value has
 * no trailing slash.
 *
 * @param schemes - allowed schemes, such as `http`
 * @returns the schema
 */
export function createUrlSchema(schemes: readonly string[]) {
  const protocols = schemes.map((scheme) => `${scheme}:`);
  const expected = `a URL with ${schemes.map((scheme) => `${scheme}://`).join(' or ')}`;
  return createSchema(expected, (text) => parseUrl(text, protocols));
}

/**
 * Creates the schema of a list of URLs, separated by commas. The list may be empty.
 *
 * @param schemes - allowed schemes, such as `http`
 * @returns the schema
 */
export function createUrlListSchema(schemes: readonly string[]) {
  const protocols = schemes.map((scheme) => `${scheme}:`);
  const expected = `URLs with ${schemes.map((scheme) => `${scheme}://`).join(' or ')}, with commas between them`;
  return createSchema(expected, (text): readonly string[] | undefined => {
    const parts = text.split(',').map((part) => part.trim());
    const urls = parts.filter((part) => part !== '').map((part) => parseUrl(part, protocols));
    return urls.every((url) => url !== undefined) ? urls : undefined;
  });
}

/** Creates the schema of a name that needs no escaping in URLs, logs and metrics. */
export function createNameSchema() {
  return createSchema('a name of letters, digits, dots, dashes and underscores', (text) =>
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(text) ? text : undefined,
  );
}

/**
 * Creates the schema of a whole number within bounds.
 *
 * @param min - least allowed value
 * @param max - greatest allowed value
 * @returns the schema
 */
export function createIntegerSchema(min: number, max: number) {
  return createSchema(`a whole number from ${min} to ${max}`, (text) => {
    const value = Number(text);
    return /^\d{1,15}$/.test(text) && value >= min && value <= max ? value : undefined;
  });
}

/**
 * Creates the schema of a fraction from 0 to a maximum.
 *
 * @param max - greatest allowed value
 * @returns the schema
 */
export function createFractionSchema(max: number) {
  return createSchema(`a number from 0 to ${max}`, (text) => {
    const value = Number(text);
    const isInRange = text.trim() !== '' && value >= 0 && value <= max;
    return isInRange ? value : undefined;
  });
}

/**
 * Creates the schema of a setting with a fixed set of values.
 *
 * @param choices - allowed values
 * @returns the schema
 */
export function createChoiceSchema<T extends string>(choices: readonly T[]) {
  return createSchema(`one of ${choices.join(', ')}`, (text) =>
    choices.find((word) => word === text),
  );
}

/**
 * Creates the schema of a secret in plain text. Fault messages never contain the given value.
 *
 * @param minLength - least length in characters
 * @returns the schema
 */
export function createSecretSchema(minLength: number) {
  return z
    .string()
    .min(minLength, `expected at least ${minLength} characters; the value is not shown`);
}

/**
 * Creates the schema of a key in hexadecimal. Fault messages never contain the given value.
 *
 * @param minBytes - least length in bytes
 * @returns the schema
 */
export function createHexKeySchema(minBytes: number) {
  return z.string().transform((text, context): Uint8Array => {
    if (/^(?:[0-9a-fA-F]{2})+$/.test(text) && text.length >= minBytes * 2)
      return Uint8Array.from(Buffer.from(text, 'hex'));
    const message = `expected at least ${minBytes} bytes in hex; the value is not shown`;
    context.addIssue({ code: 'custom', message });
    return z.NEVER;
  });
}

/** Creates the schema of a path to a PEM file. The parsed value is the text of the file. */
export function createPemFileSchema() {
  return createSchema('a file in PEM that can be read', (filePath) => {
    try {
      const text = readFileSync(filePath, 'utf8');
      return text.includes('-----BEGIN ') ? text : undefined;
    } catch {
      return undefined;
    }
  });
}

/** Creates the schema of an output file, whose directory must exist and be writable. */
export function createWritableFileSchema() {
  return createSchema('a file in a folder that can be written', (filePath) => {
    try {
      accessSync(path.dirname(path.resolve(filePath)), constants.W_OK);
      return filePath;
    } catch {
      return undefined;
    }
  });
}
