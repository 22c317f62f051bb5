import { randomUUID } from 'node:crypto'
import { Args, Flags } from '@oclif/core'
import { createCallerClient } from '../../core/client/index.ts'
import { createSystemClock } from '../../core/clock/index.ts'
import { BaseCommand } from '../base-command.ts'
import { callerFlags, readInput, readToken } from '../caller-flags.ts'
import { readAnswer } from './read-answer.ts'
import type { CompleteAnswer } from './read-answer.ts'

export default class Draft extends BaseCommand {
  static override summary = 'Draft an answer for a text file and stream it.'
  static override description = 'A stream that breaks is resumed where it stopped, through any of the addresses. ' +
    'On a terminal the answer is printed while it is generated; otherwise it is printed once it is complete, so that scripts never read a partial answer. ' +
    'Exit codes: 0 complete answer, 2 usage, 5 refused, 6 outcome unknown, 7 no node responded.'

  static override examples = [
    '<%= config.bin %> draft case-4711.txt --team agency-north --route letters',
    '<%= config.bin %> draft - --team agency-north --route summaries --max-tokens 400 < dossier.txt',
    '<%= config.bin %> draft contract.txt --team radio --route opinions --url http://10.20.1.11:8080 --url http://10.20.2.11:8080 --json'
  ]

  static override enableJsonFlag = true
  static override args = {
    file: Args.string({ description: 'Text file with the prompt; "-" for standard input.', required: true })
  }

  static override flags = {
    ...callerFlags,
    'max-tokens': Flags.integer({ description: 'Maximum number of tokens of the answer.', default: 512, min: 1 }),
    stream: Flags.boolean({ description: 'Print the answer while it is generated, even if the output is not a terminal.', default: false }),
    after: Flags.string({ description: 'Id of the last event received by an earlier run; only later events are printed.', dependsOn: ['key'] })
  }

  async run (): Promise<CompleteAnswer & { key: string }> {
    const { args, flags } = await this.parse(Draft)
    const key = flags.key ?? randomUUID()
    const clock = createSystemClock()
    const client = createCallerClient({
      urls: flags.url,
      token: await readToken(flags['token-file']),
      clock,
      onRetry: ({ url, cause }) => this.logToStderr(`Retrying at ${url}: ${cause}`)
    })
    const writesAsGenerated = !this.jsonEnabled() && (flags.stream || process.stdout.isTTY)
    try {
      const events = client.draft({
        team: flags.team,
        route: flags.route,
        prompt: (await readInput(args.file)).toString('utf8'),
        maxTokens: flags['max-tokens'],
        key,
        ...(flags.after === undefined ? {} : { afterEventId: flags.after }),
        deadlineAtMs: clock.wallMs() + flags['deadline-in'] * 1000
      })
      const answer = this.unwrap(await readAnswer(events, {
        onText: text => { if (writesAsGenerated) process.stdout.write(text) },
        onRestart: () => this.logToStderr('The answer restarts from the beginning.')
      }))
      if (!this.jsonEnabled()) process.stdout.write(writesAsGenerated ? '\n' : `${answer.text}\n`)
      return { key, ...answer }
    } finally {
      await client.close()
    }
  }
}
