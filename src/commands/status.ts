/**
 * Implements `monsoonhall status`, which prints the state that entry hosts report.
 *
 * @module
 */
import { Command, Option } from 'clipanion';
import { createSecretSchema, createUrlListSchema } from './_setting_schemas.js';
import { formatStatus, statusSchema } from './_status_report.js';
import type { StatusResult } from './_status_report.js';
import { SettingsError } from './settings.js';

const RESPONSE_TIMEOUT_MS = 5000;
const FAILURE_EXIT_CODE = 1;

/** Queries one or more entry hosts. Exits with 0 when each has responded, with 1 otherwise. */
export class StatusCommand extends Command {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'show the state that entry hosts report',
    details:
      'Shows the configuration in effect, peers, backend servers, queues by tier and refusals ' +
      'by kind. Exits with 0 if all entry hosts responded, 1 if not, 2 for bad settings.',
    examples: [
      ['One entry host', 'monsoonhall status --admin-url http://10.0.0.1:9090 --admin-key KEY'],
      ['Two entry hosts, as JSON', 'monsoonhall status --admin-url URL --admin-url URL --json'],
    ],
  });

  adminUrls = Option.Array('--admin-url', {
    description: 'base URL of an administration listener; may be repeated (MONSOONHALL_ADMIN_URL)',
  });

  adminKey = Option.String('--admin-key', {
    env: 'MONSOONHALL_ADMIN_KEY',
    description: 'key of the administration API (MONSOONHALL_ADMIN_KEY)',
  });

  json = Option.Boolean('--json', false, { description: 'print JSON' });

  /** @returns the exit code */
  override async execute(): Promise<number> {
    const { urls, key } = this.#readSettings();
    const results = await Promise.all(urls.map((url) => readStatus(url, key)));
    const text = this.json ? `${JSON.stringify(results, undefined, 2)}\n` : formatStatus(results);
    this.context.stdout.write(text);
    return results.every(({ status }) => status) ? 0 : FAILURE_EXIT_CODE;
  }

  #readSettings(): { urls: readonly string[]; key: string } {
    const text = this.adminUrls?.join(',') ?? this.context.env.MONSOONHALL_ADMIN_URL ?? '';
    const urls = createUrlListSchema(['http', 'https']).safeParse(text);
    const key = createSecretSchema(1).safeParse(this.adminKey ?? '');
    const faults: string[] = [];
    const source = '--admin-url (MONSOONHALL_ADMIN_URL)';
    if (!urls.success) faults.push(`${source}: ${urls.error.issues[0]?.message}`);
    else if (urls.data.length === 0) faults.push(`${source}: it must be given`);
    if (!key.success) faults.push('--admin-key (MONSOONHALL_ADMIN_KEY): it must be given');
    if (!urls.success || !key.success || faults.length > 0) throw new SettingsError(faults);
    return { urls: urls.data, key: key.data };
  }
}

async function readStatus(adminUrl: string, adminKey: string): Promise<StatusResult> {
  try {
    const response = await fetch(`${adminUrl}/v1/status`, {
      headers: { authorization: `Bearer ${adminKey}` },
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    if (!response.ok) return { adminUrl, error: `it answered ${response.status}` };
    return { adminUrl, status: statusSchema.parse(await response.json()) };
  } catch (error) {
    return { adminUrl, error: formatFetchError(error) };
  }
}

/** Prefers the cause: the message of a failed fetch itself names no reason. */
function formatFetchError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.cause instanceof Error ? error.cause.message : error.message;
}
