/**
 * Implements `monsoonhall call`, which sends one call and prints its answer as it arrives.
 *
 * @module
 */
import { once } from 'node:events';
import { Command, Option } from 'clipanion';
import { OtelTracer } from '../adapters/tracing/mod.js';
import { CallerClient, CallerError } from '../caller/mod.js';
import type { CallerReply } from '../caller/mod.js';
import { RunOutcome } from '../domain/errors/mod.js';
import { Hop } from '../ports/mod.js';
import type { Span } from '../ports/mod.js';
import { buildCallRequest, parseCallSettings } from './_call_settings.js';
import type { CallSettings } from './_call_settings.js';
import { EventTextReader } from './_event_text_reader.js';

const FIRST_ERROR_STATUS = 400;
const ERROR_RESPONSE_EXIT_CODE = 1;
const INTERRUPTED_EXIT_CODE = 130;

const EXIT_CODES: Readonly<Record<RunOutcome, number>> = {
  [RunOutcome.NotRun]: 3,
  [RunOutcome.MayHaveRun]: 4,
  [RunOutcome.Ran]: 5,
};

const OUTCOME_TEXTS: Readonly<Record<RunOutcome, string>> = {
  [RunOutcome.NotRun]: 'refused, it has not run',
  [RunOutcome.MayHaveRun]: 'it may have run',
  [RunOutcome.Ran]: 'it ran, but its answer is lost',
};

/** Sends one call through the entry hosts. */
export class CallCommand extends Command {
  static override paths = [['call']];

  static override usage = Command.Usage({
    description: 'send one call and print its answer',
    details:
      'Gets a request ID and an address to use, sends the call once, and resumes reading its ' +
      'answer through other entry hosts when a connection breaks. Exits with 0 when it was ' +
      'answered, 1 when the backend server answered with an error, 2 for bad settings, 3 when it ' +
      'was refused and has not run, 4 when it may have run, 5 when it ran and its answer is lost.',
    examples: [
      [
        'A prompt',
        'monsoonhall call --url http://10.0.0.1:8080 --model monsoon-draft "Summarise …"',
      ],
      [
        'A plain service',
        'monsoonhall call --url URL --service case-app --method GET --path /status/7',
      ],
    ],
  });

  urls = Option.Array('--url', {
    description: 'base URL of an entry host; may be repeated (MONSOONHALL_URL)',
  });

  key = Option.String('--key', {
    env: 'MONSOONHALL_KEY',
    description: 'API key; prefer MONSOONHALL_KEY, as other users of the machine can see flags',
  });

  certificateAuthority = Option.String('--certificate-authority', {
    env: 'MONSOONHALL_CERTIFICATE_AUTHORITY',
    description: 'file of certificates to trust, in PEM (MONSOONHALL_CERTIFICATE_AUTHORITY)',
  });

  model = Option.String('--model', { description: 'model that receives the prompt' });

  service = Option.String('--service', { description: 'plain service (instead of a model)' });

  servicePath = Option.String('--path', { description: 'path and query at the plain service' });

  method = Option.String('--method', { description: 'method at the plain service; default GET' });

  workKind = Option.String('--work-kind', { description: 'kind of work in the contract' });

  deadlineMs = Option.String('--deadline-ms', { description: 'deadline in milliseconds' });

  maxTokens = Option.String('--max-tokens', {
    description: 'longest answer that a model may generate, in tokens',
  });

  idempotencyKey = Option.String('--idempotency-key', {
    description: 'gives a repeated call the same request ID until that ID expires',
  });

  traceparent = Option.String('--traceparent', {
    env: 'TRACEPARENT',
    description: 'W3C trace context that the call belongs to (TRACEPARENT)',
  });

  traceFile = Option.String('--trace-file', {
    env: 'MONSOONHALL_TRACE_FILE',
    description: "file that the call's span is appended to (MONSOONHALL_TRACE_FILE)",
  });

  otlpUrl = Option.String('--otlp-url', {
    env: 'MONSOONHALL_OTLP_URL',
    description: "URL that the call's span is sent to by OTLP over HTTP (MONSOONHALL_OTLP_URL)",
  });

  stream = Option.Boolean('--stream', false, {
    description: 'print the answer as it is generated',
  });

  prompt = Option.String({ name: 'PROMPT', required: false });

  /** @returns the exit code */
  override async execute(): Promise<number> {
    const settings = parseCallSettings(this, this.context.env);
    const client = new CallerClient({
      urls: settings.urls,
      apiKey: settings.key,
      certificateAuthority: settings.certificateAuthority,
    });
    const { traceFile, otlpUrl, traceparent } = settings;
    const tracer = new OtelTracer({ entryHostId: 'caller', traceFile, otlpUrl });
    const span = tracer.startSpan(Hop.Caller, traceparent);
    const interrupt = new AbortController();
    const onInterrupt = (): void => interrupt.abort();
    process.once('SIGINT', onInterrupt);
    try {
      const tracedSettings = { ...settings, traceparent: span.traceparent };
      const exitCode = await this.#send(client, tracedSettings, interrupt.signal);
      span.end();
      return exitCode;
    } catch (error) {
      endFailedSpan(span, error);
      return this.#printFailure(error, interrupt.signal);
    } finally {
      process.removeListener('SIGINT', onInterrupt);
      client.close();
      await tracer.stop();
    }
  }

  async #send(client: CallerClient, settings: CallSettings, signal: AbortSignal): Promise<number> {
    const reply = await client.send({ ...buildCallRequest(settings), signal });
    try {
      await this.#printBody(reply, settings);
    } catch (error) {
      // An interrupted call is cancelled, so that the backend server does no more work for it.
      if (signal.aborted) await client.cancel(reply.requestId).catch(() => undefined);
      throw error;
    }
    if (reply.status < FIRST_ERROR_STATUS) return 0;
    this.context.stderr.write(`monsoonhall call: the backend server answered ${reply.status}\n`);
    return ERROR_RESPONSE_EXIT_CODE;
  }

  async #printBody(reply: CallerReply, settings: CallSettings): Promise<void> {
    let hasPrinted = false;
    const isEventStream = reply.headers['content-type']?.startsWith('text/event-stream') ?? false;
    const reader =
      isEventStream && settings.model !== undefined ? new EventTextReader() : undefined;
    try {
      for await (const bytes of reply.body) {
        const chunk = reader ? reader.read(bytes) : bytes;
        hasPrinted ||= chunk.length > 0;
        if (chunk.length > 0 && !this.context.stdout.write(chunk))
          await once(this.context.stdout, 'drain');
      }
    } finally {
      // The line break makes the shell prompt or an error message start on a line of its own.
      if (hasPrinted) this.context.stdout.write('\n');
    }
  }

  #printFailure(error: unknown, signal: AbortSignal): number {
    if (signal.aborted) {
      this.context.stderr.write('monsoonhall call: interrupted, it may have run\n');
      return INTERRUPTED_EXIT_CODE;
    }
    if (!(error instanceof CallerError)) throw error;
    const retry = error.retryAfterMs > 0 ? `; try again in ${error.retryAfterMs} ms` : '';
    const id = error.requestId === undefined ? '' : ` (request ${error.requestId})`;
    this.context.stderr.write(
      `monsoonhall call: ${OUTCOME_TEXTS[error.run]}: ${error.message} [${error.code}]${retry}${id}\n`,
    );
    return EXIT_CODES[error.run];
  }
}

function endFailedSpan(span: Span, error: unknown): void {
  span.end(error instanceof CallerError ? error.code : 'interrupted');
}
