/**
 * Reads the body of a backend server's answer and checks how it ends.
 *
 * @module
 */
import {
  AnswerEnd,
  classifyAnswerEnd,
  describeBrokenEnd,
  EventSplitter,
} from '../../domain/streams/mod.js';
import { BackendCallError, BackendCallStage } from '../../ports/mod.js';
import type { BackendAnswer } from '../../ports/mod.js';

const EVENT_STREAM = 'text/event-stream';

/**
 * Reads a body to its end.
 *
 * @param answer - the answer, or the rest of one that is resumed
 * @param isMarkPromised - whether the head that the caller gets promises a mark at the end
 * @returns the chunks as they arrive
 * @throws BackendCallError when the answer breaks off
 */
export async function* readCheckedBody(
  answer: BackendAnswer,
  isMarkPromised: boolean,
): AsyncGenerator<Uint8Array> {
  const splitter = isUncompressedEventStream(answer) ? new EventSplitter(Infinity) : undefined;
  for await (const bytes of answer.body) {
    splitter?.split(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength));
    yield bytes;
  }
  const facts = {
    isFramed: answer.isFramed,
    isInsideEvent: splitter?.isInsideEvent === true,
    // The caller has the head already, so that no other answer can replace an empty one.
    isEmpty: false,
    isMarkPromised,
  };
  if (classifyAnswerEnd(facts) === AnswerEnd.BrokenOff)
    throw new BackendCallError(BackendCallStage.Answering, describeBrokenEnd(facts));
}

/** In a compressed stream, events can't be told apart. */
function isUncompressedEventStream({ headers }: BackendAnswer): boolean {
  const isEventStream = headers['content-type']?.startsWith(EVENT_STREAM) === true;
  return isEventStream && headers['content-encoding'] === undefined;
}
