/**
 * The demo's work: what the two users' teams send.
 *
 * @module
 */
import { buildAnswerText } from '../standin/mod.js';
import type { FleetShape } from '../test/fleet/mod.js';
import type { SeededRandom } from '../test/support/fakes.js';

/** Names of the tiers, highest first. */
export const TIER_NAMES = ['urgent', 'standard', 'batch'] as const;

/** Name of a tier. */
export type TierName = (typeof TIER_NAMES)[number];

/** A range of lengths in tokens. */
interface TokenRange {
  readonly least: number;
  readonly most: number;
}

/** How often a kind of work comes, and how long it is. */
interface WorkShare {
  readonly kind: string;
  readonly share: number;
  readonly streamed: boolean;
  readonly prompt: TokenRange;
  readonly output: TokenRange;
}

/** One piece of work, ready to be sent. */
export interface Work {
  readonly number: number;
  readonly kind: string;
  readonly tier: TierName;
  readonly repeatable: boolean;
  readonly deadlineMs: number;
  readonly method: string;
  readonly path: string;
  readonly body: string | undefined;
  /** Full cache blocks with which every prompt of this kind and length begins. */
  readonly prefixBlocks: number;
  /** Whether an answer's body is whole and this work's own. */
  readonly isAnsweredBy: (body: string) => boolean;
}

/** The part of a piece of work that its service decides. */
type WorkCall = Pick<Work, 'method' | 'path' | 'body' | 'prefixBlocks' | 'isAnsweredBy'>;

const CHARACTERS_PER_TOKEN = 4;
const CHARACTERS_PER_BLOCK = 256;
const MAX_PREFIX_CHARACTERS = 1024;
const NOTHING: TokenRange = { least: 0, most: 0 };

/** Prompts and answers differ in length a hundredfold. */
const SHARES: Readonly<Record<string, readonly WorkShare[]>> = {
  Moulinet: [
    {
      kind: 'summary',
      share: 45,
      streamed: true,
      prompt: { least: 40, most: 600 },
      output: { least: 4, most: 24 },
    },
    {
      kind: 'report',
      share: 15,
      streamed: true,
      prompt: { least: 400, most: 4000 },
      output: { least: 60, most: 400 },
    },
    {
      kind: 'classification',
      share: 20,
      streamed: false,
      prompt: { least: 500, most: 2000 },
      output: { least: 4, most: 16 },
    },
    { kind: 'status', share: 15, streamed: false, prompt: NOTHING, output: NOTHING },
    { kind: 'billing', share: 5, streamed: false, prompt: NOTHING, output: NOTHING },
  ],
  Padmaraag: [
    {
      kind: 'lookup',
      share: 40,
      streamed: true,
      prompt: { least: 40, most: 400 },
      output: { least: 4, most: 24 },
    },
    {
      kind: 'clearance',
      share: 15,
      streamed: true,
      prompt: { least: 200, most: 1000 },
      output: { least: 30, most: 120 },
    },
    {
      kind: 'audit',
      share: 10,
      streamed: true,
      prompt: { least: 1000, most: 4000 },
      output: { least: 100, most: 400 },
    },
    { kind: 'ping', share: 20, streamed: false, prompt: NOTHING, output: NOTHING },
    { kind: 'notice', share: 15, streamed: false, prompt: NOTHING, output: NOTHING },
  ],
};

function pickShare(shares: readonly WorkShare[], random: SeededRandom): WorkShare {
  const total = shares.reduce((sum, each) => sum + each.share, 0);
  let point = random.nextFraction() * total;
  const found = shares.find((each) => {
    point -= each.share;
    return point < 0;
  });
  return found ?? (shares[0] as WorkShare);
}

/** Short lengths are the most frequent: even on a scale of powers. */
function pickLength({ least, most }: TokenRange, random: SeededRandom): number {
  return Math.round(least * (most / least) ** random.nextFraction());
}

/** Prompts of a kind begin alike over half their length, so that caches can help. */
function buildPrefix(kind: string, tokens: number): string {
  const length = Math.min(MAX_PREFIX_CHARACTERS, (tokens * CHARACTERS_PER_TOKEN) / 2);
  return `You write for ${kind}. `.repeat(MAX_PREFIX_CHARACTERS).slice(0, length);
}

function buildPromptText(kind: string, number: number, tokens: number): string {
  const shared = buildPrefix(kind, tokens);
  const own = `${shared} Case ${number}: `;
  return own.padEnd(tokens * CHARACTERS_PER_TOKEN, `damp ${number} `);
}

function readSseText(body: string): string {
  return body
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice('data: '.length)) as CompletionChunk)
    .map((chunk) => chunk.choices[0]?.delta.content ?? '')
    .join('');
}

interface CompletionChunk {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
}

interface Completion {
  readonly choices: readonly { readonly message: { readonly content: string } }[];
}

function isWholeCompletion(body: string, streamed: boolean, expected: string): boolean {
  if (streamed) return body.endsWith('data: [DONE]\n\n') && readSseText(body) === expected;
  return (JSON.parse(body) as Completion).choices[0]?.message.content === expected;
}

/** Builds one piece of work after another, the same for the same seed. */
export class WorkMix {
  #count = 0;

  /**
   * @param shape - whose work
   * @param random - the seeded generator
   */
  constructor(
    readonly shape: FleetShape,
    readonly random: SeededRandom,
  ) {}

  /** @returns the next piece of work */
  buildNext(): Work {
    this.#count += 1;
    const share = pickShare(SHARES[this.shape.name] ?? [], this.random);
    const facts = this.shape.contracts[0]?.work.find((each) => each.kind === share.kind);
    if (!facts) throw new Error(`Cannot send work "${share.kind}": no contract names it`);
    const { kind, tier, repeatable, deadlineMs } = facts;
    const common = { number: this.#count, kind, tier, repeatable, deadlineMs };
    if (facts.service === this.shape.plainService) {
      return { ...common, ...this.#buildPlain(facts.methods?.[0] === 'GET') };
    }
    return { ...common, ...this.#buildPrompt(share) };
  }

  #buildPrompt(share: WorkShare): WorkCall {
    const promptTokens = pickLength(share.prompt, this.random);
    const outputTokens = pickLength(share.output, this.random);
    const text = buildPromptText(share.kind, this.#count, promptTokens);
    const { model } = this.shape;
    const messages = [{ role: 'user', content: text }];
    const { streamed } = share;
    return {
      method: 'POST',
      path: '/v1/chat/completions',
      body: JSON.stringify({ model, messages, stream: streamed, max_tokens: outputTokens }),
      prefixBlocks: Math.floor(buildPrefix(share.kind, promptTokens).length / CHARACTERS_PER_BLOCK),
      isAnsweredBy: (body) =>
        isWholeCompletion(body, streamed, buildAnswerText(text, outputTokens)),
    };
  }

  #buildPlain(isPing: boolean): WorkCall {
    const number = this.#count;
    const path = isPing ? '/status' : '/records';
    const body = isPing ? undefined : JSON.stringify({ number });
    return {
      method: isPing ? 'GET' : 'POST',
      path: `/v1/services/${this.shape.plainService}${path}?number=${number}`,
      body,
      prefixBlocks: 0,
      isAnsweredBy: (answer) => {
        const echo = JSON.parse(answer) as { query: string; body: string };
        return echo.query === `?number=${number}` && echo.body === (body ?? '');
      },
    };
  }
}
