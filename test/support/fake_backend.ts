/**
 * A backend server in the test's own process: records each run, streams an
 * answer that follows from the call's body, and fails as it is told.
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
import type { ProcessGate } from './frozen_host.js';

/** How the next call fares. */
export enum CallFate {
  Answered = 'answered',
  /** Refused in place of the 100. */
  Refused = 'refused',
  /** The connection is dead: no 100 ever comes. */
  SilentBefore = 'silent_before',
  /** The body arrives, the connection breaks before the head. */
  LostAfter = 'lost_after',
  /** The body arrives, nothing comes back. */
  SilentAfter = 'silent_after',
  /** The connection breaks inside the answer; the stream goes on. */
  CutMidway = 'cut_midway',
  /** The backend server dies inside the answer. */
  DiesMidway = 'dies_midway',
  /** A whole answer with status 500. */
  Erred = 'erred',
  /** An answer whose end isn't marked. */
  Unframed = 'unframed',
}

const CONTINUE_MS = 15;
const PART_MS = 20;
const PARTS = 4;

/** One run that a body started. */
export interface FakeRun {
  readonly requestId: string;
  readonly text: string;
  fate: CallFate;
  startedAtMs: number;
}

/** @returns the whole answer to a body */
export function buildExpectedAnswer(body: string): string {
  return Array.from({ length: PARTS }, (_, at) => `<${body}:${at}>`).join('');
}

/** What every client of one fake backend server shares. */
export class FakeBackend {
  readonly runs: FakeRun[] = [];

  /** Fates of the next calls; answered when it is empty. */
  readonly fates: CallFate[] = [];

  constructor(readonly clock: Clock) {}

  /** @returns when the time has passed */
  wait(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.clock.setTimer(delayMs, resolve);
    });
  }
}

/** One entry host's client of a {@link FakeBackend}. */
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
    const fate = backend.fates.shift() ?? CallFate.Answered;
    await backend.wait(CONTINUE_MS);
    await gate.pass();
    if (fate === CallFate.SilentBefore) await backend.wait(call.continueTimeoutMs);
    if (fate === CallFate.SilentBefore || fate === CallFate.Refused || !call.mayHandOver()) {
      throw new BackendCallError(BackendCallStage.BeforeHandOver, fate);
    }
    call.onHandOver();
    const run = {
      requestId: call.headers['request-id'] ?? '',
      text: buildExpectedAnswer(Buffer.from(call.body).toString()),
      fate,
      startedAtMs: backend.clock.nowMs(),
    };
    backend.runs.push(run);
    await backend.wait(PART_MS);
    await gate.pass();
    if (fate === CallFate.LostAfter) {
      throw new BackendCallError(BackendCallStage.AfterHandOver, fate);
    }
    if (fate === CallFate.SilentAfter) await waitForAbort(call.signal);
    return { ...this.#answer(run, 0, fate), streamId: run.requestId };
  }

  override async resume(point: ResumePoint): Promise<BackendAnswer> {
    await this.gate.pass();
    const run = this.backend.runs.find((candidate) => candidate.requestId === point.streamId);
    if (!run || run.fate === CallFate.DiesMidway) {
      throw new BackendCallError(BackendCallStage.Answering, 'no such stream');
    }
    return this.#answer(run, point.offset, CallFate.Answered);
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

  #answer(run: FakeRun, offset: number, fate: CallFate): BackendAnswer {
    return {
      status: fate === CallFate.Erred ? 500 : 200,
      headers: {},
      isFramed: fate !== CallFate.Unframed,
      streamId: run.requestId,
      body: this.#read(run, offset, fate),
    };
  }

  async *#read(run: FakeRun, offset: number, fate: CallFate): AsyncGenerator<Uint8Array> {
    const partLength = run.text.length / PARTS;
    for (let at = 0; at < PARTS; at += 1) {
      await this.backend.wait(PART_MS);
      await this.gate.pass();
      const from = Math.max(offset, Math.floor(partLength * at));
      const to = at === PARTS - 1 ? run.text.length : Math.floor(partLength * (at + 1));
      if (to > from) yield Buffer.from(run.text.slice(from, to));
      if (at === 1 && (fate === CallFate.CutMidway || fate === CallFate.DiesMidway)) {
        throw new BackendCallError(BackendCallStage.Answering, fate);
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
