/**
 * `monsoonhall status`: what entry hosts now believe.
 *
 * @module
 */
import { Command, Option } from 'clipanion';
import { createSecretSchema, createUrlListSchema } from './_setting_schemas.js';
import { formatStatus, statusSchema } from './_status_report.js';
import type { StatusAnswer } from './_status_report.js';
import { SettingsError } from './settings.js';

const TIMEOUT_MS = 5000;
const FAILURE_EXIT_CODE = 1;

/** Asks one or more entry hosts. Exit code 0 when each has answered, 1 otherwise. */
export class StatusCommand extends Command {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'show what entry hosts now believe',
    details:
      'Shows revision in force, peers, backend servers, queues by tier and refusals by kind. ' +
      'Exits with 0 when each entry host has answered, with 1 otherwise, with 2 for bad settings.',
    examples: [
      ['One entry host', 'monsoonhall status --admin-url http://10.0.0.1:9090 --admin-key KEY'],
      ['Two, as JSON', 'monsoonhall status --admin-url URL --admin-url URL --json'],
    ],
  });

  adminUrls = Option.Array('--admin-url', {
    description: 'base URL of an administration listener; repeat it (MONSOONHALL_ADMIN_URL)',
  });

  adminKey = Option.String('--admin-key', {
    env: 'MONSOONHALL_ADMIN_KEY',
    description: 'key of the administration API (MONSOONHALL_ADMIN_KEY)',
  });

  json = Option.Boolean('--json', false, { description: 'print JSON' });

  /** @returns the exit code */
  override async execute(): Promise<number> {
    const { urls, key } = this.#readSettings();
    const answers = await Promise.all(urls.map((url) => readStatus(url, key)));
    const text = this.json ? `${JSON.stringify(answers, undefined, 2)}\n` : formatStatus(answers);
    this.context.stdout.write(text);
    return answers.every(({ status }) => status) ? 0 : FAILURE_EXIT_CODE;
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

async function readStatus(adminUrl: string, adminKey: string): Promise<StatusAnswer> {
  try {
    const response = await fetch(`${adminUrl}/v1/status`, {
      headers: { authorization: `Bearer ${adminKey}` },
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    if (!response.ok) return { adminUrl, error: `it answered ${response.status}` };
    return { adminUrl, status: statusSchema.parse(await response.json()) };
  } catch (error) {
    return { adminUrl, error: formatCause(error) };
  }
}

/** Of a failed fetch, the cause tells what happened. */
function formatCause(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.cause instanceof Error ? error.cause.message : error.message;
}
