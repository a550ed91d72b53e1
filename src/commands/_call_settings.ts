/**
 * Parses and checks the settings of `monsoonhall call` and builds its request.
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
const MAX_TOKENS_LIMIT = 1_000_000;

/** Flag values as they were given, before any check. */
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

/** Checked settings of one call. Either `model` or `service` is set, never both. */
export interface CallSettings {
  readonly urls: readonly string[];
  /** API key. */
  readonly key: string;
  /** Trusted CA certificates, as PEM text. */
  readonly certificateAuthority: string | undefined;
  readonly model: string | undefined;
  readonly service: string | undefined;
  /** Path and query at the plain service; empty for a model. */
  readonly path: string;
  /** HTTP method at the plain service. */
  readonly method: string;
  /** Kind of work, as the account's contract names it. */
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

/** Collects one fault message for each invalid flag. */
class FaultCollector {
  readonly faults: string[] = [];

  /** @returns the parsed value, or undefined if the text is missing or invalid */
  parse<T>(schema: z.ZodType<T, string>, flag: string, text: string | undefined): T | undefined {
    if (text === undefined) return undefined;
    const result = schema.safeParse(text);
    if (!result.success) this.faults.push(`${flag}: ${result.error.issues[0]?.message}`);
    return result.data;
  }

  /** Records a fault unless the condition is met. */
  check(isMet: boolean, fault: string): void {
    if (!isMet) this.faults.push(fault);
  }
}

function checkTarget(collector: FaultCollector, flags: CallFlags): void {
  const { model, service, servicePath, prompt } = flags;
  collector.check(
    (model === undefined) !== (service === undefined),
    '--model, --service: one of them must be given, but not both',
  );
  if (model !== undefined)
    collector.check(prompt !== undefined, 'PROMPT: it must be given with --model');
  if (service !== undefined)
    collector.check(
      servicePath?.startsWith('/') ?? false,
      '--path: expected a path that starts with /',
    );
}

/**
 * Checks all flags of one call and reports every fault together.
 *
 * @param flags - flag values as they were given
 * @param env - environment variables
 * @returns the checked settings
 * @throws SettingsError with one line for each fault; no line contains the API key
 */
export function parseCallSettings(flags: CallFlags, env: NodeJS.ProcessEnv): CallSettings {
  const collector = new FaultCollector();
  const urlText = flags.urls?.join(',') ?? env.MONSOONHALL_URL ?? '';
  const urlSource = '--url (MONSOONHALL_URL)';
  const urls = collector.parse(createUrlListSchema(['http', 'https']), urlSource, urlText);
  collector.check(urls === undefined || urls.length > 0, `${urlSource}: it must be given`);
  collector.check(Boolean(flags.key), '--key (MONSOONHALL_KEY): it must be given');
  const deadlineMs = collector.parse(
    createIntegerSchema(1, MAX_DEADLINE_MS),
    '--deadline-ms',
    flags.deadlineMs,
  );
  const maxTokens = collector.parse(
    createIntegerSchema(1, MAX_TOKENS_LIMIT),
    '--max-tokens',
    flags.maxTokens,
  );
  const certificateAuthority = collector.parse(
    createPemFileSchema(),
    '--certificate-authority (MONSOONHALL_CERTIFICATE_AUTHORITY)',
    flags.certificateAuthority,
  );
  const traceFile = collector.parse(
    createWritableFileSchema(),
    '--trace-file (MONSOONHALL_TRACE_FILE)',
    flags.traceFile,
  );
  const otlpUrl = collector.parse(
    createUrlSchema(['http', 'https']),
    '--otlp-url (MONSOONHALL_OTLP_URL)',
    flags.otlpUrl,
  );
  const service = collector.parse(createNameSchema(), '--service', flags.service);
  const workKind = collector.parse(createNameSchema(), '--work-kind', flags.workKind);
  checkTarget(collector, flags);
  if (collector.faults.length > 0) throw new SettingsError(collector.faults);
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
 * Builds the request for a call: a chat completion for a model, or a request that is passed
 * to a plain service.
 *
 * @param settings - checked settings
 * @returns the request to send
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
