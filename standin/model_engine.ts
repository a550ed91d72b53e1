/**
 * A stand-in model engine with an OpenAI-compatible API.
 *
 * @module
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { AnswerStream, StreamState } from './_answer_stream.js';
import { BackendStandIn } from './_backend_stand_in.js';
import type { BackendStandInOptions, StartedCall } from './_backend_stand_in.js';
import { Batch } from './_batch.js';
import type { EngineSpeed } from './_batch.js';
import { CacheEventFeed } from './_cache_event_feed.js';
import { CompletionWriter } from './_completion_writer.js';
import { parseTarget, sendJson } from './_http.js';
import { PrefixCache } from './_prefix_cache.js';
import { parsePrompt } from './_prompt.js';
import type { Prompt } from './_prompt.js';
import type { RunRecord } from './_run_log.js';

/** Options of a stand-in engine. */
export interface ModelEngineOptions extends BackendStandInOptions, EngineSpeed {
  readonly models: readonly string[];
  /** Capacity of the prefix cache in blocks. */
  readonly cacheBlocks: number;
  /** Delay before a cache event is published, in milliseconds. */
  readonly cacheEventLagMs: number;
  /** Maximum number of calls that wait for a place in the batch; further calls are refused. */
  readonly maxWaiting: number;
}

interface RetainedStream {
  readonly stream: AnswerStream;
  readonly run: RunRecord;
}

/** A complete stream can still be read for one minute. */
const STREAM_RETENTION_MS = 60_000;
const STREAMS_PATH = '/v1/streams/';

/**
 * Simulates an engine with continuous batching and a prefix cache but without priorities.
 * Clients can resume and cancel its streams.
 */
export class ModelEngine extends BackendStandIn {
  readonly #streams = new Map<string, RetainedStream>();

  readonly #events: CacheEventFeed;

  readonly #batch: Batch;

  /** @param options - options of the engine */
  constructor(readonly options: ModelEngineOptions) {
    super(options);
    this.#events = new CacheEventFeed(options.cacheEventLagMs);
    this.#batch = new Batch(
      options,
      new PrefixCache(options.cacheBlocks, this.#events),
      () => this.faults.slowdownFactor,
      () => {
        this.recordLoad({ running: this.#batch.runningCount, waiting: this.#batch.waitingCount });
      },
    );
  }

  protected override isRunRequest(request: IncomingMessage): boolean {
    return request.method === 'POST' && parseTarget(request).pathname === '/v1/chat/completions';
  }

  protected override isFull(): boolean {
    return this.#batch.waitingCount >= this.options.maxWaiting;
  }

  protected override handleCall({ response, body, run }: StartedCall): void {
    const prompt = this.#parse(body, response, run);
    if (!prompt) return;
    const contentType = prompt.isStreaming ? 'text/event-stream' : 'application/json';
    const stream = new AnswerStream(randomUUID(), contentType, this.faults);
    this.#streams.set(stream.id, { stream, run });
    stream.sendFrom(response, 0);
    this.#batch.add({
      run,
      promptTokens: prompt.tokens,
      blockHashes: prompt.blockHashes,
      outputTokens: prompt.outputTokens,
      onPrefilled: () => this.runs.update(run),
      ...this.#buildCallbacks(prompt, stream, run),
    });
  }

  protected override handleOtherRequest(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    const { pathname, searchParams } = parseTarget(request);
    if (pathname === '/v1/models') this.#sendModels(response);
    else if (pathname === '/v1/cache-events') {
      sendJson(response, 200, {
        events: this.#events.list(Number(searchParams.get('after') ?? 0)),
      });
    } else if (pathname.startsWith(STREAMS_PATH)) {
      const id = pathname.slice(STREAMS_PATH.length);
      if (request.method === 'DELETE') this.#cancel(id, response);
      else this.#resume(id, Number(searchParams.get('offset') ?? 0), response);
    } else sendJson(response, 404, { error: { message: `no ${pathname}` } });
  }

  protected override clearTimers(): void {
    this.#batch.stop();
  }

  /**
   * Parses the body of a call. A malformed body finishes the run at once; the run stays
   * recorded, since the body had arrived.
   */
  #parse(body: Buffer, response: ServerResponse, run: RunRecord): Prompt | undefined {
    try {
      return parsePrompt(body);
    } catch (error) {
      this.finishRun(run);
      const message = `Cannot parse the body: ${String(error)}`;
      sendJson(response, 400, { error: { message, type: 'invalid_request_error' } });
      return undefined;
    }
  }

  #buildCallbacks(
    prompt: Prompt,
    stream: AnswerStream,
    run: RunRecord,
  ): { onToken: (index: number) => boolean; onEnd: () => void } {
    const writer = new CompletionWriter(prompt, stream);
    return {
      onToken: (index) => {
        writer.writeToken(index);
        return this.#isRunning(stream);
      },
      onEnd: () => {
        writer.writeEnd(prompt.outputTokens);
        if (!this.#isComplete(stream)) return;
        this.finishRun(run);
        setTimeout(() => this.#streams.delete(stream.id), STREAM_RETENTION_MS).unref();
      },
    };
  }

  #isRunning(stream: AnswerStream): boolean {
    this.#removeIfBroken(stream);
    return stream.state === StreamState.Running;
  }

  #isComplete(stream: AnswerStream): boolean {
    this.#removeIfBroken(stream);
    return stream.state === StreamState.Complete;
  }

  /** Deletes a stream that broke midway, since a crash of a real engine loses its streams. */
  #removeIfBroken(stream: AnswerStream): void {
    if (stream.state === StreamState.Broken) this.#streams.delete(stream.id);
  }

  /** Finds a stream by its ID from the `stream-id` response header, or by the request ID. */
  #findStream(id: string): RetainedStream | undefined {
    return (
      this.#streams.get(id) ?? [...this.#streams.values()].find(({ run }) => run.requestId === id)
    );
  }

  #resume(id: string, offset: number, response: ServerResponse): void {
    const retained = this.#findStream(id);
    if (retained) retained.stream.sendFrom(response, offset);
    else sendJson(response, 404, { error: { message: `no stream ${id}` } });
  }

  #cancel(id: string, response: ServerResponse): void {
    const retained = this.#findStream(id);
    if (!retained) {
      sendJson(response, 404, { error: { message: `no stream ${id}` } });
      return;
    }
    const isCancelled = retained.stream.state === StreamState.Running;
    if (isCancelled) {
      retained.run.cancelled = true;
      this.runs.update(retained.run);
      this.#batch.remove(retained.run);
      retained.stream.abort();
      this.#streams.delete(retained.stream.id);
    }
    sendJson(response, 200, { cancelled: isCancelled });
  }

  #sendModels(response: ServerResponse): void {
    const data = this.options.models.map((id) => ({ id, object: 'model', owned_by: 'stand-in' }));
    sendJson(response, 200, { object: 'list', data });
  }
}
