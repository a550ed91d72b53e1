import t from 'tap';
import { buildErrorBody, ERROR_TABLE, ErrorKind, RunOutcome, SchedulerError } from './mod.js';

t.test('ERROR_TABLE has one answer per kind', async (t) => {
  t.same(Object.keys(ERROR_TABLE).sort(), Object.values(ErrorKind).sort());
});

t.test('ERROR_TABLE answers with 4xx or 5xx and an integer retry-after time', async (t) => {
  Object.values(ErrorKind).forEach((kind) => {
    const answer = ERROR_TABLE[kind];
    t.ok(answer.status >= 400 && answer.status < 600, `${kind} has an error status`);
    t.ok(
      Number.isInteger(answer.retryAfterMs) && answer.retryAfterMs >= 0,
      `${kind} has a retry-after time`,
    );
  });
});

t.test('ERROR_TABLE has a retry-after time for every refusal for lack of capacity', async (t) => {
  Object.values(ErrorKind)
    .filter((kind) => [429, 503].includes(ERROR_TABLE[kind].status))
    .forEach((kind) => {
      t.ok(ERROR_TABLE[kind].retryAfterMs > 0, kind);
      t.equal(ERROR_TABLE[kind].run, RunOutcome.NotRun, kind);
    });
});

t.test('buildErrorBody() fills every field for every kind', async (t) => {
  Object.values(ErrorKind).forEach((kind) => {
    const { error } = buildErrorBody(new SchedulerError(kind));
    t.equal(error.code, kind);
    t.equal(error.run, ERROR_TABLE[kind].run);
    t.equal(error.type, ERROR_TABLE[kind].type);
    t.equal(error.retryAfterMs, ERROR_TABLE[kind].retryAfterMs);
    t.ok(error.message.length > 0);
  });
});
