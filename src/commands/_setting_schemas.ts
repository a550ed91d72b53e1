/**
 * Schemas of single settings. Each takes the text of a flag or environment
 * variable and gives the typed value.
 *
 * @module
 */
import { accessSync, constants, readFileSync } from 'node:fs';
import { isIP } from 'node:net';
import path from 'node:path';
import * as z from 'zod';

const MAX_PORT = 65_535;
const MAX_LISTED_VALUE_LENGTH = 80;

/** Where a listener binds. */
export interface ListenAddress {
  /** IP number, without brackets. */
  readonly host: string;
  /** TCP port; 0 lets the operating system choose. */
  readonly port: number;
}

/**
 * Formats a value for a fault's line, so that no value can break the line.
 *
 * @param value - what was given
 * @returns the value quoted, cut where it is long
 */
export function formatGiven(value: string): string {
  const cut =
    value.length > MAX_LISTED_VALUE_LENGTH ? `${value.slice(0, MAX_LISTED_VALUE_LENGTH)}…` : value;
  return JSON.stringify(cut);
}

/** Builds a schema from a function that gives undefined for what it cannot take. */
function createSchema<T>(expected: string, parse: (text: string) => T | undefined) {
  return z.string().transform((text, context): T => {
    const value = parse(text);
    if (value !== undefined) return value;
    context.addIssue({ code: 'custom', message: `expected ${expected}, got ${formatGiven(text)}` });
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

/** A listener's address: an IP number and a port. */
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
 * A base URL without credentials, query and fragment; the slash at its end is taken off.
 *
 * @param schemes - schemes that may be used, such as `http`
 * @returns the schema
 */
export function createUrlSchema(schemes: readonly string[]) {
  const protocols = schemes.map((scheme) => `${scheme}:`);
  const expected = `a URL with ${schemes.map((scheme) => `${scheme}://`).join(' or ')}`;
  return createSchema(expected, (text) => parseUrl(text, protocols));
}

/**
 * URLs with commas between them; may be empty.
 *
 * @param schemes - schemes that may be used
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

/** A name that can stand in URLs, logs and metrics as it is. */
export function createNameSchema() {
  return createSchema('a name of letters, digits, dots, dashes and underscores', (text) =>
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(text) ? text : undefined,
  );
}

/**
 * A whole number within bounds.
 *
 * @param least - least value that is taken
 * @param most - greatest value that is taken
 * @returns the schema
 */
export function createIntegerSchema(least: number, most: number) {
  return createSchema(`a whole number from ${least} to ${most}`, (text) => {
    const value = Number(text);
    return /^\d{1,15}$/.test(text) && value >= least && value <= most ? value : undefined;
  });
}

/**
 * @param most - greatest value
 * @returns schema of a part from 0 to that
 */
export function createPartSchema(most: number) {
  return createSchema(`a number from 0 to ${most}`, (text) => {
    const part = Number(text);
    const isPart = text.trim() !== '' && part >= 0 && part <= most;
    return isPart ? part : undefined;
  });
}

/**
 * One of a closed list of words.
 *
 * @param words - the words
 * @returns the schema
 */
export function createChoiceSchema<T extends string>(words: readonly T[]) {
  return createSchema(`one of ${words.join(', ')}`, (text) => words.find((word) => word === text));
}

/**
 * A key written as text. Its faults never print what was given.
 *
 * @param leastLength - least length in characters
 * @returns the schema
 */
export function createSecretSchema(leastLength: number) {
  return z
    .string()
    .min(leastLength, `expected at least ${leastLength} characters; the value is not shown`);
}

/**
 * A key written in hex. Its faults never print what was given.
 *
 * @param leastBytes - least length in bytes
 * @returns the schema
 */
export function createHexKeySchema(leastBytes: number) {
  return z.string().transform((text, context): Uint8Array => {
    if (/^(?:[0-9a-fA-F]{2})+$/.test(text) && text.length >= leastBytes * 2)
      return Uint8Array.from(Buffer.from(text, 'hex'));
    const message = `expected at least ${leastBytes} bytes in hex; the value is not shown`;
    context.addIssue({ code: 'custom', message });
    return z.NEVER;
  });
}

/** A file in PEM; the value is the file's text. */
export function createPemFileSchema() {
  return createSchema('a file in PEM that can be read', (file) => {
    try {
      const text = readFileSync(file, 'utf8');
      return text.includes('-----BEGIN ') ? text : undefined;
    } catch {
      return undefined;
    }
  });
}

/** A file that can be created or appended to: its folder is there and may be written. */
export function createWritableFileSchema() {
  return createSchema('a file in a folder that can be written', (text) => {
    try {
      accessSync(path.dirname(path.resolve(text)), constants.W_OK);
      return text;
    } catch {
      return undefined;
    }
  });
}
