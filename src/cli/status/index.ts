import { BaseCommand } from '../base-command.ts'
import { nodeFlags, readToken } from '../caller-flags.ts'
import { fetchStatus } from './fetch-status.ts'
import { renderStatus } from './render-status.ts'

export default class Status extends BaseCommand {
  static override summary = 'Show nodes, backend servers and teams as one node sees them.'
  static override description = 'Requires an operator\'s token. Exit codes: 0 shown, 2 usage, 5 refused, 7 no node responded.'
  static override examples = [
    '<%= config.bin %> status --url http://10.10.1.11:8080',
    '<%= config.bin %> status --token-file operator.token --json'
  ]

  static override enableJsonFlag = true
  static override flags = nodeFlags

  async run (): Promise<unknown> {
    const { flags } = await this.parse(Status)
    const status = this.unwrap(await fetchStatus(flags.url, await readToken(flags['token-file'])))
    this.log(renderStatus(status))
    return status
  }
}
