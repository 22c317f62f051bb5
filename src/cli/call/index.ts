import { randomUUID } from 'node:crypto'
import { Args, Flags } from '@oclif/core'
import { createCallerClient } from '../../core/client/index.ts'
import { createSystemClock } from '../../core/clock/index.ts'
import { BaseCommand } from '../base-command.ts'
import { callerFlags, readInput, readToken } from '../caller-flags.ts'

/** JSON output of the command. */
interface CallOutput {
  key: string
  status: number
  contentType: string
  body: string
}

export default class Call extends BaseCommand {
  static override summary = 'Make one call to a plain service, such as a registration or a lookup.'
  static override description = 'The call runs at most once per idempotency key, however often it is retried. ' +
    'Exit codes: 0 response received, 2 usage, 5 refused and not run, 6 unknown whether it ran, 7 no node responded.'

  static override examples = [
    '<%= config.bin %> call reminder.json --team agency-north --route registrations --key reminder-4711-1',
    'echo \'{"holder":"..."}\' | <%= config.bin %> call - --team radio --route holders --json'
  ]

  static override enableJsonFlag = true
  static override args = {
    file: Args.string({ description: 'File with the request body; "-" for standard input.', required: true })
  }

  static override flags = {
    ...callerFlags,
    'content-type': Flags.string({ description: 'Content type of the request body.', default: 'application/json' })
  }

  async run (): Promise<CallOutput> {
    const { args, flags } = await this.parse(Call)
    const key = flags.key ?? randomUUID()
    const clock = createSystemClock()
    const body = await readInput(args.file)
    const client = createCallerClient({
      urls: flags.url,
      token: await readToken(flags['token-file']),
      clock,
      onRetry: ({ url, cause }) => this.logToStderr(`Retrying at ${url}: ${cause}`)
    })
    if (flags.key === undefined) this.logToStderr(`Idempotency key: ${key}`)
    try {
      const answer = this.unwrap(await client.call({
        team: flags.team,
        route: flags.route,
        key,
        contentType: flags['content-type'],
        body,
        deadlineAtMs: clock.wallMs() + flags['deadline-in'] * 1000
      }))
      const text = answer.body.toString('utf8')
      this.log(text)
      return { key, status: answer.status, contentType: answer.contentType, body: text }
    } finally {
      await client.close()
    }
  }
}
