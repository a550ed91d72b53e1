/**
 * Formats log records as lines of `key=value` pairs.
 *
 * @module
 */
import type { LogFields } from '../../ports/mod.js';

const MAX_VALUE_LENGTH = 2048;

/** Matches values that are written without quotes; all others are quoted. */
const UNQUOTED_VALUE = /^[A-Za-z0-9_.:/@+%,-]+$/;

/** Control, invisible and bidirectional characters that JSON does not escape. */
const UNSAFE_CHARACTERS =
  /[\u007f-\u009f\u00ad\u061c\u200b-\u200f\u2028-\u202e\u2060-\u2069\ufeff]/g;

const RESERVED_FIELD_NAMES = new Set(['time', 'level', 'event']);

/** Names of fields that are never logged, in lower case and without separators. */
const SECRET_FIELD_NAMES = new Set([
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

/** Most field names whose formatted form is kept: bounds memory should names ever be generated. */
const MAX_KEPT_NAMES = 1_000;

/** Formatted names of fields; empty for those that are not logged. */
const formattedNames = new Map<string, string>();

/** One event before it is formatted. */
export interface LogRecord {
  /** Time of the event in ISO 8601, UTC. */
  readonly time: string;
  readonly level: string;
  readonly event: string;
  readonly fields: LogFields;
}

/**
 * Formats one value. Text from a client may contain line breaks that would forge further log
 * lines; quoting and escaping keep it a single value on one line.
 *
 * @param value - the value; text longer than 2048 characters is truncated
 * @returns the plain value, or the value quoted as JSON
 */
export function formatLogValue(value: string | number | boolean): string {
  const text = String(value);
  if (text.length <= MAX_VALUE_LENGTH && UNQUOTED_VALUE.test(text)) return text;
  const truncatedText =
    text.length > MAX_VALUE_LENGTH ? `${text.slice(0, MAX_VALUE_LENGTH)}…` : text;
  return JSON.stringify(truncatedText).replace(
    UNSAFE_CHARACTERS,
    (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`,
  );
}

function formatFieldName(name: string): string {
  const sanitizedName = name.replace(/[^A-Za-z0-9_]/g, '_');
  return RESERVED_FIELD_NAMES.has(sanitizedName) ? `${sanitizedName}_` : sanitizedName;
}

function mayLogField(name: string): boolean {
  return name !== '' && !SECRET_FIELD_NAMES.has(name.replace(/[^A-Za-z0-9]/g, '').toLowerCase());
}

/** Returns the formatted name of a field; empty if it is not logged. */
function getFieldName(name: string): string {
  const kept = formattedNames.get(name);
  if (kept !== undefined) return kept;
  const formattedName = mayLogField(name) ? formatFieldName(name) : '';
  if (formattedNames.size < MAX_KEPT_NAMES) formattedNames.set(name, formattedName);
  return formattedName;
}

/**
 * Formats one record. Omits fields whose value is undefined and fields whose name indicates
 * a secret or the content of a request or response.
 *
 * @param record - the event with its time, level and fields
 * @returns one line without a trailing line break
 */
export function formatLogLine(record: LogRecord): string {
  const { time, level, event, fields } = record;
  let line = `time=${time} level=${level} event=${formatLogValue(event)}`;
  Object.keys(fields).forEach((name) => {
    const value = fields[name];
    const fieldName = value === undefined ? '' : getFieldName(name);
    if (value !== undefined && fieldName !== '') line += ` ${fieldName}=${formatLogValue(value)}`;
  });
  return line;
}
