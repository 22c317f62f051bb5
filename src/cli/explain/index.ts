import { Args } from '@oclif/core'
import { BaseCommand } from '../base-command.ts'
import { findExplanations } from './explanations.ts'
import type { Explanation } from './explanations.ts'

function render ({ kind, name, number, level, text, remedy }: Explanation): string {
  const heading = [kind, name, number, level].filter(part => part !== undefined).join(' ')
  return `${heading}\n  ${text}\n  What to do: ${remedy}`
}

export default class Explain extends BaseCommand {
  static override summary = 'Explain an error kind, a log event by number or name, or a reason of a refusal, retry or recomputation.'
  static override examples = [
    '<%= config.bin %> explain KeyValueAmbiguous',
    '<%= config.bin %> explain 102',
    '<%= config.bin %> explain queue-full --json'
  ]

  static override enableJsonFlag = true
  static override args = {
    what: Args.string({ description: 'Name of an error, event or reason, or number of an event.', required: true })
  }

  async run (): Promise<Explanation[]> {
    const { args } = await this.parse(Explain)
    const found = this.unwrap(findExplanations(args.what))
    this.log(found.map(render).join('\n\n'))
    return found
  }
}
