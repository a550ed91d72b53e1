import t from 'tap';
import OpenAI, {
  APIError,
  AuthenticationError,
  BadRequestError,
  InternalServerError,
  NotFoundError,
  PermissionDeniedError,
  RateLimitError,
} from 'openai';
import { ErrorKind, SchedulerError } from '../../domain/errors/mod.js';
import { API_KEY, buildAnswer, startFixture } from './_test_fixture.js';

const CHAT = { model: 'monsoon-draft', messages: [{ role: 'user' as const, content: 'x' }] };

function createClient(url: string, apiKey = API_KEY, maxRetries = 0): OpenAI {
  return new OpenAI({ baseURL: `${url}/v1`, apiKey, maxRetries });
}

t.test(
  'openai client reads complete answers, streamed answers and the list of models',
  async (t) => {
    const { url, gateway } = await startFixture(t);
    const client = createClient(url);
    gateway.answer = async () => buildAnswer(['{"choices":[{"message":{"content":', '"whole"}}]}']);
    const whole = await client.chat.completions.create(CHAT);
    t.equal(whole.choices[0]?.message.content, 'whole');

    const events = ['a', 'b'].map((content) => ({ choices: [{ delta: { content } }] }));
    const text = `${events.map((event) => `data: ${JSON.stringify(event)}\n\n`).join('')}data: [DONE]\n\n`;
    gateway.answer = async () => buildAnswer(text.split(/(?=[b:])/), 'text/event-stream');
    const pieces: string[] = [];
    for await (const event of await client.chat.completions.create({ ...CHAT, stream: true })) {
      pieces.push(event.choices[0]?.delta.content ?? '');
    }
    t.same(pieces, ['a', 'b']);

    const models = await client.models.list();
    t.same(
      models.data.map(({ id }) => id),
      ['monsoon-draft'],
    );
  },
);

t.test('openai client maps refusals to its own error classes', async (t) => {
  const { url, gateway } = await startFixture(t);
  const cases: [ErrorKind, new (...args: never[]) => Error][] = [
    [ErrorKind.Unauthenticated, AuthenticationError],
    [ErrorKind.RateLimited, RateLimitError],
    [ErrorKind.ServiceNotAllowed, PermissionDeniedError],
    [ErrorKind.UnknownModel, NotFoundError],
    [ErrorKind.DeadlineTooLong, BadRequestError],
    [ErrorKind.QueueFull, InternalServerError],
    [ErrorKind.OwnerUnreachable, InternalServerError],
  ];
  for (const [kind, errorClass] of cases) {
    gateway.answer = async () => {
      throw new SchedulerError(kind);
    };
    const error = await createClient(url)
      .chat.completions.create(CHAT)
      .catch((thrown) => thrown);
    t.ok(error instanceof errorClass, kind);
    t.match(error, { code: kind });
  }
  const unauthenticated = await createClient(url, 'wrong')
    .models.list()
    .catch((thrown: unknown) => thrown);
  t.ok(unauthenticated instanceof AuthenticationError);
});

t.test('openai client throws when a stream breaks off', async (t) => {
  const { url, gateway } = await startFixture(t);
  const lost = new SchedulerError(ErrorKind.BackendServerLost);
  gateway.answer = async () =>
    buildAnswer(['data: {"choices":[]}\n\ndata: {"cho', lost], 'text/event-stream');
  const stream = await createClient(url).chat.completions.create({ ...CHAT, stream: true });
  const error = await (async () => {
    for await (const event of stream) t.ok(event.choices);
    return undefined;
  })().catch((thrown: unknown) => thrown);
  t.ok(error instanceof APIError);
  t.match(error, { code: ErrorKind.BackendServerLost });
});

t.test('openai client does not retry a request that must not be sent again', async (t) => {
  // Guards against work that may have run being sent three times: the library retries
  // every 5xx answer unless a header of the answer forbids it.
  const { url, gateway } = await startFixture(t);
  gateway.answer = async () => {
    throw new SchedulerError(ErrorKind.OwnerGone);
  };
  const client = createClient(url, API_KEY, 2);
  const error = await client.chat.completions.create(CHAT).catch((thrown) => thrown);
  t.ok(error instanceof InternalServerError);
  t.equal(gateway.calls.length, 1);
});
