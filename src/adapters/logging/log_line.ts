/**
 * The form of a log line.
 *
 * @module
 */
import type { LogFields } from '../../ports/mod.js';

const MAX_VALUE_LENGTH = 2048;

/** Values made of these characters stand as they are; all others are quoted. */
const PLAIN_VALUE = /^[A-Za-z0-9_.:/@+%,-]+$/;

/** Characters that JSON leaves as they are, though they break a line or turn its direction. */
const UNSAFE_CHARACTERS =
  /[\u007f-\u009f\u00ad\u061c\u200b-\u200f\u2028-\u202e\u2060-\u2069\ufeff]/g;

const RESERVED_NAMES = new Set(['time', 'level', 'event']);

/** Names without their separators, in lower case, of what must never stand in a log. */
const FORBIDDEN_NAMES = new Set([
  'key',
  'apikey',
  'adminkey',
  'clusterkey',
  'tlskey',
  'authorization',
  'proxyauthorization',
  'cookie',
  'setcookie',
  'password',
  'secret',
  'prompt',
  'messages',
  'body',
  'content',
  'answer',
]);

/** One event, before it is formatted. */
export interface LogLine {
  /** ISO 8601, UTC. */
  readonly time: string;
  readonly level: string;
  readonly event: string;
  readonly fields: LogFields;
}

/**
 * Formats one value. A caller's text may hold line breaks that would pass for
 * another line of the log; quoted and escaped, it stays one value of one line.
 *
 * @param value - the value; text longer than 2048 characters is cut
 * @returns the value as it stands, or quoted as JSON
 */
export function formatLogValue(value: string | number | boolean): string {
  const text = String(value);
  if (text.length <= MAX_VALUE_LENGTH && PLAIN_VALUE.test(text)) return text;
  const cut = text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}…` : text;
  return JSON.stringify(cut).replace(
    UNSAFE_CHARACTERS,
    (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}

function formatName(name: string): string {
  const plain = name.replace(/[^A-Za-z0-9_]/g, '_');
  return RESERVED_NAMES.has(plain) ? `${plain}_` : plain;
}

function mayWrite(name: string): boolean {
  return name !== '' && !FORBIDDEN_NAMES.has(name.replace(/[^A-Za-z0-9]/g, '').toLowerCase());
}

/**
 * Formats one event. Fields that are undefined are left out, and so are fields
 * whose name says that they hold a key or a prompt.
 *
 * @param line - the event
 * @returns one line without the line break at its end
 */
export function formatLogLine(line: LogLine): string {
  const { time, level, event, fields } = line;
  const pairs = [`time=${time}`, `level=${level}`, `event=${formatLogValue(event)}`];
  Object.entries(fields).forEach(([name, value]) => {
    if (value === undefined || !mayWrite(name)) return;
    pairs.push(`${formatName(name)}=${formatLogValue(value)}`);
  });
  return pairs.join(' ');
}
