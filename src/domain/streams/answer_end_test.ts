import t from 'tap';
import { AnswerEnd, classifyAnswerEnd } from './answer_end.js';

t.test('classifyAnswerEnd() marks no end that its server did not mark', async (t) => {
  const flags = [false, true];
  for (const isFramed of flags) {
    for (const isInsideEvent of flags) {
      for (const isEmpty of flags) {
        for (const isMarkPromised of flags) {
          const facts = { isFramed, isInsideEvent, isEmpty, isMarkPromised };
          const end = classifyAnswerEnd(facts);
          const name = JSON.stringify(facts);
          t.equal(end === AnswerEnd.Marked, isFramed && !isInsideEvent, name);
          if (end === AnswerEnd.Unmarked) t.notOk(isMarkPromised || isEmpty || isInsideEvent, name);
        }
      }
    }
  }
});
