/**
 * A fake backend server in the process of the test. It records each run, streams a response
 * that is derived from the request body, and fails as the test configures.
 *
 * @module
 */
import { BackendCallError, BackendCallStage, BackendServerClient } from '../../src/ports/mod.js';
import type {
  BackendAnswer,
  BackendCall,
  BackendLoad,
  CacheEvent,
  Clock,
  ResumePoint,
} from '../../src/ports/mod.js';
import type { ProcessGate } from './process_gate.js';

/** Behaviour of the fake backend server for one call. */
export enum CallBehaviour {
  Answered = 'answered',
  /** The call is refused instead of receiving 100 Continue. */
  Refused = 'refused',
  /** The connection is dead, and 100 Continue never arrives. */
  SilentBeforeContinue = 'silent_before',
  /** The body arrives, then the connection breaks before the response head. */
  LostAfterBody = 'lost_after',
  /** The body arrives, but no response is sent. */
  SilentAfterBody = 'silent_after',
  /** The connection breaks within the response; the stream continues and can be resumed. */
  CutMidway = 'cut_midway',
  /** The backend server crashes within the response, and the stream is lost. */
  DiesMidway = 'dies_midway',
  /** The response is complete and has status 500. */
  ServerError = 'erred',
  /** The response has neither a length nor chunked framing that marks its end. */
  Unframed = 'unframed',
}

const CONTINUE_DELAY_MS = 15;
const CHUNK_INTERVAL_MS = 20;
const CHUNK_COUNT = 4;

/** One run, which starts when the body arrives. */
export interface FakeRun {
  readonly requestId: string;
  readonly text: string;
  behaviour: CallBehaviour;
  startedAtMs: number;
}

/** @returns the complete response body for a request body */
export function buildExpectedAnswer(body: string): string {
  return Array.from({ length: CHUNK_COUNT }, (_, at) => `<${body}:${at}>`).join('');
}

/** State of one fake backend server, which its clients share. */
export class FakeBackend {
  readonly runs: FakeRun[] = [];

  /** Behaviour for each of the next calls; once the list is empty, calls are answered. */
  readonly behaviours: CallBehaviour[] = [];

  constructor(readonly clock: Clock) {}

  /** Waits on the clock of the test. @param delayMs - duration in milliseconds */
  wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(delayMs, resolve);
    });
  }
}

/** The client of one entry host for a {@link FakeBackend}. */
export class FakeBackendClient extends BackendServerClient {
  readonly cancelled: string[] = [];

  constructor(
    readonly backend: FakeBackend,
    readonly gate: ProcessGate,
  ) {
    super();
  }

  override async dispatch(call: BackendCall): Promise<BackendAnswer> {
    const { backend, gate } = this;
    const behaviour = backend.behaviours.shift() ?? CallBehaviour.Answered;
    await backend.wait(CONTINUE_DELAY_MS);
    await gate.waitUntilRunning();
    if (behaviour === CallBehaviour.SilentBeforeContinue)
      await backend.wait(call.continueTimeoutMs);
    if (
      behaviour === CallBehaviour.SilentBeforeContinue ||
      behaviour === CallBehaviour.Refused ||
      !call.mayHandOver()
    ) {
      throw new BackendCallError(BackendCallStage.BeforeHandOver, behaviour);
    }
    call.onHandOver();
    const run = {
      requestId: call.headers['request-id'] ?? '',
      text: buildExpectedAnswer(Buffer.from(call.body).toString()),
      behaviour,
      startedAtMs: backend.clock.nowMs(),
    };
    backend.runs.push(run);
    await backend.wait(CHUNK_INTERVAL_MS);
    await gate.waitUntilRunning();
    if (behaviour === CallBehaviour.LostAfterBody) {
      throw new BackendCallError(BackendCallStage.AfterHandOver, behaviour);
    }
    if (behaviour === CallBehaviour.SilentAfterBody) await waitForAbort(call.signal);
    return { ...this.#buildAnswer(run, 0, behaviour), streamId: run.requestId };
  }

  override async resume(point: ResumePoint): Promise<BackendAnswer> {
    await this.gate.waitUntilRunning();
    const run = this.backend.runs.find((candidate) => candidate.requestId === point.streamId);
    if (!run || run.behaviour === CallBehaviour.DiesMidway) {
      throw new BackendCallError(BackendCallStage.Answering, 'no such stream');
    }
    return this.#buildAnswer(run, point.offset, CallBehaviour.Answered);
  }

  override cancel(_server: unknown, streamId: string): Promise<void> {
    this.cancelled.push(streamId);
    return Promise.resolve();
  }

  override readLoad(): Promise<BackendLoad> {
    return Promise.resolve({ running: 0, waiting: 0, leaving: false });
  }

  override readCacheEvents(): Promise<readonly CacheEvent[]> {
    return Promise.resolve([]);
  }

  #buildAnswer(run: FakeRun, offset: number, behaviour: CallBehaviour): BackendAnswer {
    return {
      status: behaviour === CallBehaviour.ServerError ? 500 : 200,
      headers: {},
      isFramed: behaviour !== CallBehaviour.Unframed,
      streamId: run.requestId,
      body: this.#streamChunks(run, offset, behaviour),
    };
  }

  async *#streamChunks(
    run: FakeRun,
    offset: number,
    behaviour: CallBehaviour,
  ): AsyncGenerator<Uint8Array> {
    const chunkLength = run.text.length / CHUNK_COUNT;
    for (let at = 0; at < CHUNK_COUNT; at += 1) {
      await this.backend.wait(CHUNK_INTERVAL_MS);
      await this.gate.waitUntilRunning();
      const from = Math.max(offset, Math.floor(chunkLength * at));
      const to = at === CHUNK_COUNT - 1 ? run.text.length : Math.floor(chunkLength * (at + 1));
      if (to > from) yield Buffer.from(run.text.slice(from, to));
      if (
        at === 1 &&
        (behaviour === CallBehaviour.CutMidway || behaviour === CallBehaviour.DiesMidway)
      ) {
        throw new BackendCallError(BackendCallStage.Answering, behaviour);
      }
    }
  }
}

function waitForAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_, reject) => {
    const fail = (): void => {
      reject(new BackendCallError(BackendCallStage.AfterHandOver, 'aborted'));
    };
    if (signal.aborted) fail();
    else signal.addEventListener('abort', fail, { once: true });
  });
}
