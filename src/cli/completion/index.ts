import { BaseCommand } from '../base-command.ts'
import { renderCompletion } from './script.ts'

/** Prints the script that completes command lines. */
export default class Completion extends BaseCommand {
  static override summary = 'Print a script by which bash completes commands and flags.'
  static override examples = [
    'source <(<%= config.bin %> completion)',
    { description: 'In zsh:', command: 'autoload -U bashcompinit && bashcompinit && source <(<%= config.bin %> completion)' }
  ]

  async run (): Promise<void> {
    await this.parse(Completion)
    const commands = this.config.commands.map(({ id, flags }) => ({
      words: id.replaceAll(':', ' '),
      flags: [...Object.keys(flags).map(name => `--${name}`), '--help'].sort()
    }))
    process.stdout.write(renderCompletion(commands))
  }
}
