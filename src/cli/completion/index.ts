import { BaseCommand } from '../base-command.ts'
import { renderCompletion } from './script.ts'

export default class Completion extends BaseCommand {
  static override summary = 'Print a bash script that completes commands and flags.'
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
