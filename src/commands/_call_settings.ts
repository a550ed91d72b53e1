/**
 * Settings of `monsoonhall call`.
 *
 * @module
 */
import type { z } from 'zod';
import type { CallerRequest } from '../caller/mod.js';
import {
  createIntegerSchema,
  createNameSchema,
  createPemFileSchema,
  createUrlListSchema,
  createUrlSchema,
  createWritableFileSchema,
} from './_setting_schemas.js';
import { SettingsError } from './settings.js';

const MAX_DEADLINE_MS = 86_400_000;
const MAX_MAX_TOKENS = 1_000_000;

/** Texts of the flags. */
export interface CallFlags {
  readonly urls?: readonly string[] | undefined;
  readonly key?: string | undefined;
  readonly certificateAuthority?: string | undefined;
  readonly model?: string | undefined;
  readonly service?: string | undefined;
  readonly servicePath?: string | undefined;
  readonly method?: string | undefined;
  readonly workKind?: string | undefined;
  readonly deadlineMs?: string | undefined;
  readonly maxTokens?: string | undefined;
  readonly idempotencyKey?: string | undefined;
  readonly traceparent?: string | undefined;
  readonly traceFile?: string | undefined;
  readonly otlpUrl?: string | undefined;
  readonly stream: boolean;
  readonly prompt?: string | undefined;
}

/** Checked settings of one call. */
export interface CallSettings {
  readonly urls: readonly string[];
  readonly key: string;
  /** In PEM. */
  readonly certificateAuthority: string | undefined;
  readonly model: string | undefined;
  readonly service: string | undefined;
  readonly path: string;
  readonly method: string;
  readonly workKind: string | undefined;
  readonly deadlineMs: number | undefined;
  readonly maxTokens: number | undefined;
  readonly idempotencyKey: string | undefined;
  readonly traceparent: string | undefined;
  readonly traceFile: string | undefined;
  readonly otlpUrl: string | undefined;
  readonly stream: boolean;
  readonly prompt: string | undefined;
}

/** Collects what is wrong with each flag. */
class FaultList {
  readonly faults: string[] = [];

  /** @returns the value, or undefined when the text is absent or faulty */
  parse<T>(schema: z.ZodType<T, string>, flag: string, text: string | undefined): T | undefined {
    if (text === undefined) return undefined;
    const result = schema.safeParse(text);
    if (!result.success) this.faults.push(`${flag}: ${result.error.issues[0]?.message}`);
    return result.data;
  }

  /** Notes a fault where a condition doesn't hold. */
  check(holds: boolean, fault: string): void {
    if (!holds) this.faults.push(fault);
  }
}

function checkTarget(faults: FaultList, flags: CallFlags): void {
  const { model, service, servicePath, prompt } = flags;
  faults.check(
    (model === undefined) !== (service === undefined),
    '--model, --service: one of them must be given, and not both',
  );
  if (model !== undefined)
    faults.check(prompt !== undefined, 'PROMPT: it must be given with --model');
  if (service !== undefined)
    faults.check(
      servicePath?.startsWith('/') ?? false,
      '--path: expected a path that starts with /',
    );
}

/**
 * Checks the flags of one call, all at once.
 *
 * @param flags - texts of the flags
 * @param env - environment variables
 * @returns the settings
 * @throws SettingsError with every fault, one line each; none shows the key
 */
export function parseCallSettings(flags: CallFlags, env: NodeJS.ProcessEnv): CallSettings {
  const faults = new FaultList();
  const urlText = flags.urls?.join(',') ?? env.MONSOONHALL_URL ?? '';
  const urlSource = '--url (MONSOONHALL_URL)';
  const urls = faults.parse(createUrlListSchema(['http', 'https']), urlSource, urlText);
  faults.check(urls === undefined || urls.length > 0, `${urlSource}: it must be given`);
  faults.check(Boolean(flags.key), '--key (MONSOONHALL_KEY): it must be given');
  const deadlineMs = faults.parse(
    createIntegerSchema(1, MAX_DEADLINE_MS),
    '--deadline-ms',
    flags.deadlineMs,
  );
  const maxTokens = faults.parse(
    createIntegerSchema(1, MAX_MAX_TOKENS),
    '--max-tokens',
    flags.maxTokens,
  );
  const certificateAuthority = faults.parse(
    createPemFileSchema(),
    '--certificate-authority (MONSOONHALL_CERTIFICATE_AUTHORITY)',
    flags.certificateAuthority,
  );
  const traceFile = faults.parse(
    createWritableFileSchema(),
    '--trace-file (MONSOONHALL_TRACE_FILE)',
    flags.traceFile,
  );
  const otlpUrl = faults.parse(
    createUrlSchema(['http', 'https']),
    '--otlp-url (MONSOONHALL_OTLP_URL)',
    flags.otlpUrl,
  );
  const service = faults.parse(createNameSchema(), '--service', flags.service);
  const workKind = faults.parse(createNameSchema(), '--work-kind', flags.workKind);
  checkTarget(faults, flags);
  if (faults.faults.length > 0) throw new SettingsError(faults.faults);
  return {
    urls: urls ?? [],
    key: flags.key ?? '',
    certificateAuthority,
    model: flags.model,
    service,
    path: flags.servicePath ?? '',
    method: flags.method ?? 'GET',
    workKind,
    deadlineMs,
    maxTokens,
    idempotencyKey: flags.idempotencyKey,
    traceparent: flags.traceparent,
    traceFile,
    otlpUrl,
    stream: flags.stream,
    prompt: flags.prompt,
  };
}

/**
 * Builds the call that the settings name.
 *
 * @param settings - checked settings
 * @returns the call
 */
export function buildCallRequest(settings: CallSettings): CallerRequest {
  const { workKind, deadlineMs, idempotencyKey, traceparent } = settings;
  const common = { workKind, deadlineMs, idempotencyKey, traceparent };
  if (settings.model === undefined)
    return {
      ...common,
      method: settings.method,
      path: `/v1/services/${settings.service}${settings.path}`,
      body: settings.prompt,
    };
  const messages = [{ role: 'user', content: settings.prompt }];
  return {
    ...common,
    method: 'POST',
    path: '/v1/chat/completions',
    body: JSON.stringify({
      model: settings.model,
      messages,
      stream: settings.stream,
      max_tokens: settings.maxTokens,
    }),
  };
}
