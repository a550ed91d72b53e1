/**
 * Help on the command line.
 *
 * @module
 */
import { Command } from 'clipanion';

/** How clipanion writes the value of an option, and the room behind it. */
const VALUE_PATTERN = /#0 {3}/g;
const VALUE_NAME = 'VALUE';

/**
 * Puts a name in the place of an option's value.
 *
 * @param usage - help as clipanion writes it
 * @returns the help as it is printed
 */
export function formatUsage(usage: string): string {
  return usage.replace(VALUE_PATTERN, VALUE_NAME);
}

/** Lists the commands; their options would fill several screens here. */
export class HelpCommand extends Command {
  static override paths = [['--help'], ['-h']];

  /** @returns the exit code */
  override async execute(): Promise<number> {
    const { binaryName, binaryVersion } = this.cli;
    const commands = this.cli
      .definitions()
      .map(({ path, description }) => ({
        path: path.replace(/ \[.*$/, ''),
        description: description?.trim() ?? '',
      }))
      .sort((a, b) => (a.path < b.path ? -1 : 1));
    const width = Math.max(...commands.map(({ path }) => path.length));
    const lines = commands.map(
      ({ path, description }) => `  ${path.padEnd(width)}  ${description}`,
    );
    this.context.stdout.write(
      `${binaryName} ${binaryVersion}, a request scheduler for unlike model engines\n\n` +
        `${lines.join('\n')}\n\nEach command explains its options: ${binaryName} COMMAND --help\n`,
    );
    return 0;
  }
}
