/**
 * Generates the demo's work: requests as the teams of the two example users send them.
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

/** Frequency and lengths of one kind of work. */
interface WorkProfile {
  readonly kind: string;
  /** Relative frequency of this kind of work. */
  readonly share: number;
  readonly isStreamed: boolean;
  readonly prompt: TokenRange;
  readonly output: TokenRange;
}

/** One piece of work, ready to send. */
export interface Work {
  readonly number: number;
  readonly kind: string;
  readonly tier: TierName;
  readonly repeatable: boolean;
  readonly deadlineMs: number;
  readonly method: string;
  readonly path: string;
  readonly body: string | undefined;
  /** Number of complete cache blocks in the prefix shared by prompts of this kind and length. */
  readonly prefixBlocks: number;
  /** Whether a response body is the complete, expected answer to this work. */
  readonly isCorrectAnswer: (body: string) => boolean;
}

/** The members of a piece of work that depend on the service it calls. */
type WorkCall = Pick<Work, 'method' | 'path' | 'body' | 'prefixBlocks' | 'isCorrectAnswer'>;

const CHARACTERS_PER_TOKEN = 4;
const CHARACTERS_PER_BLOCK = 256;
/** Longest shared prefix: four cache blocks. */
const MAX_PREFIX_CHARACTERS = 1024;
const NO_TOKENS: TokenRange = { least: 0, most: 0 };

/** Work of each example user, by shape name. Lengths of prompts and answers vary a hundredfold. */
const WORK_PROFILES: Readonly<Record<string, readonly WorkProfile[]>> = {
  Moulinet: [
    {
      kind: 'summary',
      share: 45,
      isStreamed: true,
      prompt: { least: 40, most: 600 },
      output: { least: 4, most: 24 },
    },
    {
      kind: 'report',
      share: 15,
      isStreamed: true,
      prompt: { least: 400, most: 4000 },
      output: { least: 60, most: 400 },
    },
    {
      kind: 'classification',
      share: 20,
      isStreamed: false,
      prompt: { least: 500, most: 2000 },
      output: { least: 4, most: 16 },
    },
    { kind: 'status', share: 15, isStreamed: false, prompt: NO_TOKENS, output: NO_TOKENS },
    { kind: 'billing', share: 5, isStreamed: false, prompt: NO_TOKENS, output: NO_TOKENS },
  ],
  Padmaraag: [
    {
      kind: 'lookup',
      share: 40,
      isStreamed: true,
      prompt: { least: 40, most: 400 },
      output: { least: 4, most: 24 },
    },
    {
      kind: 'clearance',
      share: 15,
      isStreamed: true,
      prompt: { least: 200, most: 1000 },
      output: { least: 30, most: 120 },
    },
    {
      kind: 'audit',
      share: 10,
      isStreamed: true,
      prompt: { least: 1000, most: 4000 },
      output: { least: 100, most: 400 },
    },
    { kind: 'ping', share: 20, isStreamed: false, prompt: NO_TOKENS, output: NO_TOKENS },
    { kind: 'notice', share: 15, isStreamed: false, prompt: NO_TOKENS, output: NO_TOKENS },
  ],
};

function pickProfile(profiles: readonly WorkProfile[], random: SeededRandom): WorkProfile {
  const total = profiles.reduce((sum, each) => sum + each.share, 0);
  let remaining = random.nextFraction() * total;
  const found = profiles.find((each) => {
    remaining -= each.share;
    return remaining < 0;
  });
  return found ?? (profiles[0] as WorkProfile);
}

/** Draws a length from a log-uniform distribution, in which short lengths are most frequent. */
function pickLength({ least, most }: TokenRange, random: SeededRandom): number {
  return Math.round(least * (most / least) ** random.nextFraction());
}

/** Builds the prefix that prompts of a kind share: half of a prompt, so that caching pays off. */
function buildPrefix(kind: string, tokens: number): string {
  const length = Math.min(MAX_PREFIX_CHARACTERS, (tokens * CHARACTERS_PER_TOKEN) / 2);
  return `You write for ${kind}. `.repeat(MAX_PREFIX_CHARACTERS).slice(0, length);
}

function buildPromptText(kind: string, number: number, tokens: number): string {
  const shared = buildPrefix(kind, tokens);
  const own = `${shared} Case ${number}: `;
  return own.padEnd(tokens * CHARACTERS_PER_TOKEN, `damp ${number} `);
}

function readStreamText(body: string): string {
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

function isCompleteAnswer(body: string, isStreamed: boolean, expected: string): boolean {
  if (isStreamed) return body.endsWith('data: [DONE]\n\n') && readStreamText(body) === expected;
  return (JSON.parse(body) as Completion).choices[0]?.message.content === expected;
}

/** Generates a sequence of work that is determined by the seed. */
export class WorkMix {
  #count = 0;

  /**
   * @param shape - the fleet shape whose work to generate
   * @param random - the seeded generator
   */
  constructor(
    readonly shape: FleetShape,
    readonly random: SeededRandom,
  ) {}

  /** @returns the next piece of work */
  buildNext(): Work {
    this.#count += 1;
    const profile = pickProfile(WORK_PROFILES[this.shape.name] ?? [], this.random);
    const contractWork = this.shape.contracts[0]?.work.find((each) => each.kind === profile.kind);
    if (!contractWork) throw new Error(`Cannot send work "${profile.kind}": no contract names it`);
    const { kind, tier, repeatable, deadlineMs } = contractWork;
    const common = { number: this.#count, kind, tier, repeatable, deadlineMs };
    if (contractWork.service === this.shape.plainService) {
      return { ...common, ...this.#buildPlain(contractWork.methods?.[0] === 'GET') };
    }
    return { ...common, ...this.#buildPrompt(profile) };
  }

  #buildPrompt(profile: WorkProfile): WorkCall {
    const promptTokens = pickLength(profile.prompt, this.random);
    const outputTokens = pickLength(profile.output, this.random);
    const text = buildPromptText(profile.kind, this.#count, promptTokens);
    const { model } = this.shape;
    const messages = [{ role: 'user', content: text }];
    const { isStreamed } = profile;
    return {
      method: 'POST',
      path: '/v1/chat/completions',
      body: JSON.stringify({ model, messages, stream: isStreamed, max_tokens: outputTokens }),
      prefixBlocks: Math.floor(
        buildPrefix(profile.kind, promptTokens).length / CHARACTERS_PER_BLOCK,
      ),
      isCorrectAnswer: (body) =>
        isCompleteAnswer(body, isStreamed, buildAnswerText(text, outputTokens)),
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
      isCorrectAnswer: (answer) => {
        const echo = JSON.parse(answer) as { query: string; body: string };
        return echo.query === `?number=${number}` && echo.body === (body ?? '');
      },
    };
  }
}
