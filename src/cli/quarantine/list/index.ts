import { BaseCommand } from '../../base-command.ts'
import { isRequestDigest, toStoredRecord } from '../../../core/quarantine/index.ts'
import { storeFlags, withStore } from '../../store-flags.ts'
import { renderTable } from '../../table.ts'
import { readRecords } from '../records.ts'

export default class QuarantineList extends BaseCommand {
  static override summary = 'List requests and prompts that are refused because backend servers crashed on them.'
  static override description = 'Exit codes: 0 shown, 2 usage, 7 the key-value service did not respond.'
  static override examples = [
    '<%= config.bin %> quarantine list',
    '<%= config.bin %> quarantine list --json'
  ]

  static override enableJsonFlag = true
  static override flags = storeFlags

  async run (): Promise<Array<ReturnType<typeof toStoredRecord>>> {
    const { flags } = await this.parse(QuarantineList)
    return await withStore(flags, async ({ store, deadlineAtMs }) => {
      const { records } = this.unwrap(await readRecords(store, deadlineAtMs))
      const rows = records.map(({ service, features, state, sinceMs, untilMs, crashes, backends, origin }) => {
        return [service, features.join(' '), state, new Date(sinceMs).toISOString(), new Date(untilMs).toISOString(), String(crashes), backends.join(' '), features.some(isRequestDigest) ? 'request' : 'prompt', origin?.team ?? '', origin?.route ?? '']
      })
      this.log(renderTable(['service', 'parts', 'state', 'since', 'until', 'crashes', 'backends', 'kind', 'team', 'route'], rows))
      return records.map(toStoredRecord)
    })
  }
}
