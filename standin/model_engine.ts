/**
 * A stand-in model engine.
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

/** What a stand-in engine can be told at its start. */
export interface ModelEngineOptions extends BackendStandInOptions, EngineSpeed {
  readonly models: readonly string[];
  /** Blocks that the prefix cache holds. */
  readonly cacheBlocks: number;
  /** How late cache events are published, in milliseconds. */
  readonly cacheEventLagMs: number;
  /** Calls that may wait for a place in the batch; more are refused. */
  readonly maxWaiting: number;
}

interface KeptStream {
  readonly stream: AnswerStream;
  readonly run: RunRecord;
}

/** A finished stream can be read for a minute. */
const KEEP_STREAM_MS = 60_000;
const STREAMS_PATH = '/v1/streams/';

/** Batches continuously, caches prefixes, knows no priorities, resumes and cancels streams. */
export class ModelEngine extends BackendStandIn {
  readonly #streams = new Map<string, KeptStream>();

  readonly #events: CacheEventFeed;

  readonly #batch: Batch;

  /** @param options - what it is told at its start */
  constructor(readonly options: ModelEngineOptions) {
    super(options);
    this.#events = new CacheEventFeed(options.cacheEventLagMs);
    this.#batch = new Batch(
      options,
      new PrefixCache(options.cacheBlocks, this.#events),
      () => this.faults.slowness,
      () => {
        this.recordLoad({ running: this.#batch.runningCount, waiting: this.#batch.waitingCount });
      },
    );
  }

  protected override isWork(request: IncomingMessage): boolean {
    return request.method === 'POST' && parseTarget(request).pathname === '/v1/chat/completions';
  }

  protected override isFull(): boolean {
    return this.#batch.waitingCount >= this.options.maxWaiting;
  }

  protected override handleCall({ response, body, run }: StartedCall): void {
    const prompt = this.#parse(body, response, run);
    if (!prompt) return;
    const contentType = prompt.streamed ? 'text/event-stream' : 'application/json';
    const stream = new AnswerStream(randomUUID(), contentType, this.faults);
    this.#streams.set(stream.id, { stream, run });
    stream.send(response, 0);
    this.#batch.add({
      run,
      promptTokens: prompt.tokens,
      blockHashes: prompt.blockHashes,
      outputTokens: prompt.outputTokens,
      onPrefilled: () => this.runs.update(run),
      ...this.#buildCallbacks(prompt, stream, run),
    });
  }

  protected override handleOther(request: IncomingMessage, response: ServerResponse): void {
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

  protected override stopRuns(): void {
    this.#batch.stop();
  }

  /** What can't be read ends at once; the run is recorded, since the body had arrived. */
  #parse(body: Buffer, response: ServerResponse, run: RunRecord): Prompt | undefined {
    try {
      return parsePrompt(body);
    } catch (error) {
      this.closeRun(run);
      const message = `Cannot read the body: ${String(error)}`;
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
        if (!this.#isWhole(stream)) return;
        this.closeRun(run);
        setTimeout(() => this.#streams.delete(stream.id), KEEP_STREAM_MS).unref();
      },
    };
  }

  #isRunning(stream: AnswerStream): boolean {
    this.#removeIfBroken(stream);
    return stream.state === StreamState.Running;
  }

  #isWhole(stream: AnswerStream): boolean {
    this.#removeIfBroken(stream);
    return stream.state === StreamState.Whole;
  }

  /** A stream that died midway is forgotten, as after a crash of its engine. */
  #removeIfBroken(stream: AnswerStream): void {
    if (stream.state === StreamState.Broken) this.#streams.delete(stream.id);
  }

  /** Finds a stream by the name that its head told, or by the request's own ID. */
  #findStream(id: string): KeptStream | undefined {
    return (
      this.#streams.get(id) ?? [...this.#streams.values()].find(({ run }) => run.requestId === id)
    );
  }

  #resume(id: string, offset: number, response: ServerResponse): void {
    const kept = this.#findStream(id);
    if (kept) kept.stream.send(response, offset);
    else sendJson(response, 404, { error: { message: `no stream ${id}` } });
  }

  #cancel(id: string, response: ServerResponse): void {
    const kept = this.#findStream(id);
    if (!kept) {
      sendJson(response, 404, { error: { message: `no stream ${id}` } });
      return;
    }
    const cancels = kept.stream.state === StreamState.Running;
    if (cancels) {
      kept.run.cancelled = true;
      this.runs.update(kept.run);
      this.#batch.remove(kept.run);
      kept.stream.closeBroken();
      this.#streams.delete(kept.stream.id);
    }
    sendJson(response, 200, { cancelled: cancels });
  }

  #sendModels(response: ServerResponse): void {
    const data = this.options.models.map((id) => ({ id, object: 'model', owned_by: 'stand-in' }));
    sendJson(response, 200, { object: 'list', data });
  }
}
